package crowd

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/onsi/gomega"
)

const (
	// serveMB is the memory that a node may take.
	serveMB = 256
	// serveProgramsMB is that of a node that many programs use, the least that the settings allow.
	serveProgramsMB = 64
	// serveBody is the most that a body may have at the node.
	serveBody = 4 << 20
	operation = "/v1/services/yard/space"
)

const nodeSettings = `[node]
name = n
centre = a
listen = %s
link = %s
body = %d
memory = %d
[store]
addr = %s
[links]
secret = loopback
`

const ticket = `[ticket]
number = 1
author = operations
reason = first deployment
[customer c]
rate = 10000
burst = 10000
active = 1000
[service yard]
kind = plain
pool = desks
timeout = 5s
[operation yard/space]
idempotent = true
timeout = 5s
[endpoint d1]
kind = desk
pool = desks
addr = %s
slots = 8
`

// node is one node of serve with stand-ins.
type node struct {
	*process
	t            *testing.T
	listen, link string
}

// startNode starts a node that may take so many MB, and waits until it answers.
func startNode(t *testing.T, memoryMB int) *node {
	needsCrowd(t)
	g := gomega.NewWithT(t)
	folder := t.TempDir()
	store, desk := freeAddr(g), freeAddr(g)
	n := &node{t: t, listen: freeAddr(g), link: freeAddr(g)}
	startProcess(t, "keyval", 0, 0, "standin", "keyval", "--listen", store)
	startProcess(t, "desk", 0, 0, "standin", "desk", "--listen", desk)
	for _, addr := range []string{store, desk} {
		g.Eventually(func() error {
			c, err := net.Dial("tcp", addr)
			if err == nil {
				_ = c.Close()
			}
			return err
		}).WithTimeout(maxWait).Should(gomega.Succeed())
	}
	write := func(name, text string) string {
		path := filepath.Join(folder, name)
		g.Expect(os.WriteFile(path, []byte(text), 0o600)).To(gomega.Succeed())
		return path
	}
	apply := startProcess(t, "ticket", 0, 0, "ticket", "apply", write("ticket.ini", fmt.Sprintf(ticket, desk)), "--store", store)
	g.Eventually(apply.ended).WithTimeout(maxWait).Should(gomega.BeClosed())
	g.Expect(apply.cmd.ProcessState.Success()).To(gomega.BeTrue(), apply.log.String())
	n.process = startProcess(t, "node", memoryMB, 0, "serve", "--config", write("node.ini", fmt.Sprintf(nodeSettings, n.listen, n.link, serveBody, memoryMB<<20, store)))
	n.checkAnswers("before the crowd")
	return n
}

// freeAddr returns a loopback address on which nothing listens.
func freeAddr(g *gomega.WithT) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// check expects that the node lives within its memory and answers.
func (n *node) check(when string) {
	n.checkAnswers(when)
	n.process.check(n.t)
}

// checkAnswers expects an ordinary call to be answered.
func (n *node) checkAnswers(when string) {
	var last string
	client := &http.Client{Timeout: routeTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	gomega.NewWithT(n.t).Eventually(func() int {
		code, text := n.call(client, operation)
		last = text
		return code
	}).WithTimeout(maxWait).Should(gomega.Equal(http.StatusOK), func() string { return when + ": " + last })
}

// call sends an ordinary call and returns its status and answer, 0 and the error if there is none.
func (n *node) call(client *http.Client, path string) (int, string) {
	r, err := http.NewRequest(http.MethodPost, "http://"+n.listen+path, strings.NewReader(`{"yard":"north"}`))
	if err != nil {
		return 0, err.Error()
	}
	r.Header.Set("X-Customer", "c")
	a, err := client.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = a.Body.Close() }()
	text, _ := io.ReadAll(a.Body)
	return a.StatusCode, string(text)
}

// Whatever a crowd of callers sends to a node of serve, the node lives, stays within its memory
// and answers an ordinary call.
func TestCallersOfANode(t *testing.T) {
	head := "POST " + operation + " HTTP/1.1\r\nHost: h\r\nX-Customer: c\r\n"
	chatHead := "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nX-Customer: c\r\n"
	for _, k := range []struct {
		name     string
		clients  int
		memoryMB int
		addr     func(n *node) string
		send     func(c net.Conn) error
	}{
		{"heads of short lines, a byte of the body missing", 400, serveMB, (*node).callers, func(c net.Conn) error {
			return write(c, head+bodyOf(10)+"\r\n"+lines(longHead)+"\r\n", "123456789")
		}},
		{"header lines without end", 400, serveMB, (*node).callers, func(c net.Conn) error { return write(c, head+lines(longHead)) }},
		{"heads at the link", 400, serveMB, (*node).peers, func(c net.Conn) error { return write(c, "GET /link HTTP/1.1\r\nHost: h\r\n"+lines(longHead)) }},
		{"bodies, a byte missing", bodyClients, serveMB, (*node).callers, func(c net.Conn) error {
			return write(c, head+bodyOf(serveBody)+"\r\n\r\n"+strings.Repeat("x", serveBody-1))
		}},
		{"bodies that are whole", 2 * bodyClients, serveMB, (*node).callers, func(c net.Conn) error {
			return write(c, head+bodyOf(serveBody)+"\r\n\r\n"+strings.Repeat("x", serveBody))
		}},
		{"bodies of empty messages", 2 * bodyClients, serveMB / 2, (*node).callers, func(c net.Conn) error {
			body := `{"model":"yard","messages":[{}` + strings.Repeat(",{}", serveBody/3-16) + "]}"
			return write(c, chatHead+bodyOf(len(body))+"\r\n\r\n"+body)
		}},
		{"bodies of empty parts of a message", 2 * bodyClients, serveMB / 2, (*node).callers, func(c net.Conn) error {
			body := `{"model":"yard","messages":[{"role":"user","content":[{}` + strings.Repeat(",{}", serveBody/3-32) + "]}]}"
			return write(c, chatHead+bodyOf(len(body))+"\r\n\r\n"+body)
		}},
	} {
		t.Run(k.name, func(t *testing.T) {
			n := startNode(t, k.memoryMB)
			cr := gather(t, k.addr(n), k.clients, func(c net.Conn, _ int) error { return k.send(c) })
			n.check("beside the crowd")
			cr.leave()
			n.check("after the crowd")
		})
	}
}

// The answers of calls can be fetched for an hour, and refusals are remembered for delayed duplicates. A
// crowd of calls, each a program of its own, must not take the node's memory by them.
func TestProgramsAtANode(t *testing.T) {
	for _, k := range []struct {
		name      string
		programs  int
		operation string
	}{{"that run", 12000, operation}, {"that are refused", 120000, "/v1/services/yard/none"}} {
		t.Run(k.name, func(t *testing.T) {
			n := startNode(t, serveProgramsMB)
			n.calls(k.programs, k.operation)
			n.check("after the crowd")
		})
	}
}

// calls has a crowd send calls and counts their answers by status.
func (n *node) calls(count int, path string) {
	const atOnce = 64
	client := &http.Client{Timeout: routeTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: atOnce}}
	var counts [600]atomic.Int64
	var calling sync.WaitGroup
	slots := make(chan struct{}, atOnce)
	for range count {
		slots <- struct{}{}
		calling.Go(func() {
			defer func() { <-slots }()
			code, _ := n.call(client, path)
			counts[code].Add(1)
		})
	}
	calling.Wait()
	for code := range counts {
		if c := counts[code].Load(); c > 0 {
			n.t.Logf("%d calls ended with %d", c, code)
		}
	}
}

func (n *node) callers() string { return n.listen }
func (n *node) peers() string   { return n.link }
