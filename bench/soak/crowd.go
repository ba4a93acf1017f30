package soak

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cowslipstage/cowslipstage/platform/fake"
)

const (
	// crowdClients is how many clients press against one listener at a time.
	crowdClients = 150
	// crowdBody is how long their bodies are, crowdHead their heads.
	crowdBody = 1 << 20
	crowdHead = 15 << 10
)

// crowds lists what clients send that do not behave. None of it is a whole request.
var crowds = []func(id string) string{
	// Nothing.
	func(string) string { return "" },
	// A head of short lines that stops.
	func(id string) string {
		return crowdRequest(id, 10) + strings.Repeat("a:\r\n", crowdHead/4) + "\r\n123456789"
	},
	// A head longer than allowed.
	func(id string) string { return crowdRequest(id, 10) + strings.Repeat("a:\r\n", 4*crowdHead) },
	// A body without its end.
	func(id string) string { return crowdRequest(id, crowdBody) + "\r\n" + strings.Repeat("x", crowdBody-1) },
}

// crowdRequest returns the head of an order without the empty line that ends it.
func crowdRequest(id string, length int) string {
	h := http.Header{}
	fake.Request{ID: id, Program: id, Timeout: requestTimeout}.SetHeaders(h)
	h.Set("Content-Length", strconv.Itoa(length))
	var b bytes.Buffer
	_, _ = fmt.Fprintf(&b, "POST %sa HTTP/1.1\r\nHost: %s\r\n", fake.OrderPath, fake.RouteHost)
	_ = h.Write(&b) // it cannot fail
	return b.String()
}

// crowdFault has clients that do not behave press against a gate, or against the address at which
// gates reach a vault.
var crowdFault = fault{"clients that don't behave", func(dp *deployment, r *rand.Rand, d time.Duration) error {
	addr := dp.gates[r.IntN(len(dp.gates))].Frontend
	if r.IntN(4) == 0 {
		addr = net.JoinHostPort(dp.vaults[r.IntN(len(dp.vaults))].IP, strconv.Itoa(basePort))
	}
	text, name := crowds[r.IntN(len(crowds))], fmt.Sprintf("crowd-%x", r.Uint64())
	var clients sync.WaitGroup
	for i := range crowdClients {
		clients.Go(func() {
			c, err := net.DialTimeout("tcp", addr, d)
			if err != nil {
				return // the host is down, or full
			}
			defer func() { _ = c.Close() }() // nothing is expected of it
			_ = c.SetDeadline(time.Now().Add(d))
			if _, err := io.WriteString(c, text(fmt.Sprintf("%s-%d", name, i))); err == nil {
				_, _ = io.Copy(io.Discard, c) // until it is closed, or the time is over
			}
		})
	}
	clients.Wait()
	return nil
}}

// checkMemory records each running process that has taken more memory than its machine has.
func (dp *deployment) checkMemory() error {
	for _, h := range append(append([]*host{}, dp.gates...), dp.vaults...) {
		h.mu.Lock()
		process := h.cmd.Process
		h.mu.Unlock()
		status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", process.Pid))
		if errors.Is(err, os.ErrNotExist) {
			continue // it has ended, which is noticed elsewhere
		}
		if err != nil {
			return errors.Wrap(err, "soak: memory")
		}
		_, rest, _ := strings.Cut(string(status), "VmHWM:")
		kb, err := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(strings.SplitN(rest, "\n", 2)[0]), " kB"))
		if err != nil {
			return errors.Wrap(err, "soak: memory")
		}
		if most := fake.DefaultMemoryMB; kb>>10 > most {
			dp.ledger.recordNotRecovered(fmt.Sprintf("%s has taken %d MB of %d", h.Name, kb>>10, most))
		}
	}
	return nil
}
