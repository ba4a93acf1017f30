package crowd

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/cowslipstage/cowslipstage/platform/fake"
)

const (
	// gateMB and vaultMB are the memory of the machines, lowered.
	gateMB  = 64
	vaultMB = 64
	// legalHead is a head within the operators' limit, longHead one beyond it.
	legalHead = 15 << 10
	longHead  = 60 << 10
	// gateFDs are the descriptors of the gates where connections are many.
	gateFDs = 300
	// behindBytes is how much a client sends behind a request that has not been answered.
	behindBytes = 1 << 20
	// bodyClients is how many clients send bodies as long as the limit.
	bodyClients = 60
)

// callersCase is a crowd at the door for callers.
type callersCase struct {
	name    string
	clients int
	fds     int
	send    func(s *system, c net.Conn) error
}

// post returns the head of an order whose body follows.
func (s *system) post(more ...string) string {
	return s.head(http.MethodPost, fake.OrderPath+"a", fake.Request{}, more...)
}

// unread returns a request for an answer that is not read, with so many bytes of short header lines.
func (s *system) unread(lineBytes int) string {
	return s.head(http.MethodGet, fake.LookupPath+unreadPath, fake.Request{}) + lines(lineBytes) + "\r\n"
}

// The crowds that have ended gates, or took more descriptors than a gate has.
var callersCases = []callersCase{
	{"heads of short lines, a byte of the body missing", 300, 0, func(s *system, c net.Conn) error {
		return write(c, s.post(bodyOf(10))+lines(legalHead)+"\r\n", "123456789")
	}},
	{"heads of short lines, passed on", 300, 0, func(s *system, c net.Conn) error {
		return write(c, s.post(bodyOf(10))+lines(legalHead)+"\r\n", "1234567890")
	}},
	{"header lines without end", 100, 0, func(s *system, c net.Conn) error { return write(c, s.post()+lines(longHead)) }},
	{"a header line without end", 500, 0, func(s *system, c net.Conn) error {
		return write(c, s.post()+"A: "+strings.Repeat("x", longHead))
	}},
	{"empty lines before a request", 300, 0, func(_ *system, c net.Conn) error { return write(c, strings.Repeat("\r\n", longHead/2)) }},
	{"bodies, a byte missing", bodyClients, 0, func(s *system, c net.Conn) error {
		return write(c, s.post(bodyOf(limits.BodyBytes))+"\r\n"+strings.Repeat("x", limits.BodyBytes-1))
	}},
	{"bodies that are whole", bodyClients, 0, func(s *system, c net.Conn) error {
		return write(c, s.post(bodyOf(limits.BodyBytes))+"\r\n"+strings.Repeat("x", limits.BodyBytes))
	}},
	{"bodies in chunks without end", bodyClients, 0, func(s *system, c net.Conn) error {
		return write(c, s.post(chunked)+"\r\n", strings.Repeat(chunk, limits.BodyBytes/(32<<10)-1))
	}},
	{"chunk extensions without end", 300, 0, func(s *system, c net.Conn) error {
		return write(c, s.post(chunked)+"\r\n", "5;", strings.Repeat("x", longHead))
	}},
	{"trailers without end", 300, 0, func(s *system, c net.Conn) error {
		return write(c, s.post(chunked)+"\r\n", "5\r\nhello\r\n0\r\n", lines(longHead))
	}},
	{"requests on one connection that are not waited for", 200, 0, func(s *system, c net.Conn) error {
		return writeTimes(c, s.post(bodyOf(10))+lines(legalHead)+"\r\n1234567890", 8)
	}},
	{"long answers that nobody reads", 200, 0, func(s *system, c net.Conn) error {
		return write(c, s.head(http.MethodGet, fake.LookupPath+longPath, fake.Request{})+"\r\n")
	}},
	{"long streams that nobody reads", 200, 0, func(s *system, c net.Conn) error {
		return write(c, s.head(http.MethodPost, fake.UnkeptPath+longPath, fake.Request{}, bodyOf(1))+"\r\nx")
	}},
	{"connections without a request", 600, gateFDs, func(*system, net.Conn) error { return nil }},
	{"short bodies, a byte missing", 600, gateFDs, func(s *system, c net.Conn) error {
		return write(c, s.post(bodyOf(10))+"\r\n123456789")
	}},
	{"connections that have been used", 600, gateFDs, func(s *system, c net.Conn) error {
		return write(c, s.head(http.MethodGet, "/none", fake.Request{})+"\r\n")
	}},
}

// Whatever a crowd of callers sends, the gate lives, stays within its memory and its descriptors,
// and answers ordinary requests, both while the crowd holds its connections and afterwards.
func TestCallers(t *testing.T) {
	for _, k := range callersCases {
		t.Run(k.name, func(t *testing.T) {
			s := startSystem(t, options{gateMB: gateMB, vaultMB: vaultMB, gateFDs: k.fds})
			cr := gather(t, s.gates[0].Frontend, k.clients, func(c net.Conn, _ int) error { return k.send(s, c) })
			s.check("beside the crowd")
			cr.leave()
			s.check("after the crowd")
		})
	}
}

// Bytes that have arrived take memory of the machine before the gate reads them, and also if it never does.
func TestUnreadBytes(t *testing.T) {
	const clients = 300
	for _, k := range []struct {
		name string
		send func(s *system, c net.Conn) error
	}{
		{"of bodies, a byte missing", func(s *system, c net.Conn) error {
			return write(c, s.post(bodyOf(limits.BodyBytes))+"\r\n"+strings.Repeat("x", limits.BodyBytes-1))
		}},
		{"of bodies over the limit", func(s *system, c net.Conn) error {
			return write(c, s.post(bodyOf(2*limits.BodyBytes))+"\r\n"+strings.Repeat("x", 2*limits.BodyBytes))
		}},
		{"behind requests in progress", func(s *system, c net.Conn) error {
			return write(c, s.unread(0), strings.Repeat("x", behindBytes))
		}},
	} {
		t.Run(k.name, func(t *testing.T) {
			s := startSystem(t, options{gateMB: gateMB, vaultMB: vaultMB})
			cr := gatherBy(t, narrow, s.gates[0].Frontend, clients, func(c net.Conn, _ int) error { return k.send(s, c) })
			s.check("beside the crowd")
			cr.leave()
			s.check("after the crowd")
		})
	}
}

// A gate without a configuration bounds its callers as well. It cannot answer any.
func TestCallersOfAGateWithoutConfiguration(t *testing.T) {
	s := startSystem(t, options{gateMB: gateMB, vaultMB: vaultMB, noConfig: true})
	s.awaitStatus(http.StatusServiceUnavailable)
	for _, send := range []func(c net.Conn) error{
		func(c net.Conn) error { return write(c, s.post()+lines(longHead)) },
		func(c net.Conn) error { return write(c, s.post(bodyOf(10))+lines(legalHead)+"\r\n", "123456789") },
	} {
		gather(t, s.gates[0].Frontend, 300, func(c net.Conn, _ int) error { return send(c) })
	}
	s.configure()
	s.awaitService()
	s.check("after the crowd")
}

// A gate that is stopped while a crowd holds its connections ends by itself.
func TestCallersOfAStoppingGate(t *testing.T) {
	s := startSystem(t, options{gateMB: gateMB, vaultMB: vaultMB, gateFDs: 4 * gateFDs})
	h := s.gates[0]
	for _, send := range []func(c net.Conn) error{
		func(c net.Conn) error { return write(c, s.post(bodyOf(10))+lines(legalHead)+"\r\n", "123456789") },
		func(c net.Conn) error {
			return write(c, s.head(http.MethodGet, fake.LookupPath+longPath, fake.Request{})+"\r\n")
		},
	} {
		gather(t, h.Frontend, 200, func(c net.Conn, _ int) error { return send(c) })
	}
	h.check(t)
	s.stop(h)
}

// A crowd that sends everything that the other crowds do returns as soon as it is refused. Ordinary
// requests are answered meanwhile.
func TestACrowdThatReturns(t *testing.T) {
	const clients, rounds = 64, 40
	s := startSystem(t, options{gateMB: gateMB, vaultMB: vaultMB, gateFDs: gateFDs})
	var returning sync.WaitGroup
	for i := range clients {
		returning.Go(func() {
			for j := range rounds {
				c, err := net.DialTimeout("tcp", s.gates[0].Frontend, connectTime)
				if err != nil {
					continue
				}
				_ = c.SetDeadline(time.Now().Add(time.Second))
				if callersCases[(i+j)%len(callersCases)].send(s, c) == nil {
					_, _ = io.Copy(io.Discard, io.LimitReader(c, 1)) // until it is answered or refused
				}
				_ = c.Close()
			}
		})
	}
	s.check("beside the crowd")
	returning.Wait()
	s.check("after the crowd")
}

// A single request within the limits is served in calm on the smallest machine, at its first
// attempt, whatever the shape of its head.
func TestLongRequestsInCalm(t *testing.T) {
	long := limits
	long.BodyBytes = 4 << 20
	s := startSystem(t, options{gateMB: 88, vaultMB: 88, diskMB: 400, limits: long})
	body := strings.Repeat("x", long.BodyBytes)
	for _, path := range []string{fake.LookupPath, fake.OrderPath, fake.UnkeptPath, fake.ConversationPath} {
		for _, more := range []string{"A: " + strings.Repeat("x", legalHead) + "\r\n", lines(legalHead)} {
			for _, framing := range []string{bodyOf(len(body)), chunked} {
				c, err := net.DialTimeout("tcp", s.gates[0].Frontend, connectTime)
				g := gomega.NewWithT(t)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				sent := []string{s.head(http.MethodPost, path+"a", turnOf(s.nextID(), ""), framing) + more + "\r\n", body}
				if framing == chunked {
					sent[1] = strings.Repeat(chunk, len(body)/(32<<10)) + "0\r\n\r\n"
				}
				g.Expect(write(c, sent...)).To(gomega.Succeed())
				a, err := http.ReadResponse(bufio.NewReader(c), nil)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				_, err = io.Copy(io.Discard, a.Body)
				g.Expect(err).NotTo(gomega.HaveOccurred(), "%s, %s", path, framing)
				g.Expect(a.StatusCode).To(gomega.Equal(http.StatusOK), "%s, %s", path, framing)
				_, _ = a.Body.Close(), c.Close()
			}
		}
	}
	s.check("in calm")
}

// Callers that leave an answer unread hold their connections, or with heads of some lines the memory, for
// as long as the operators' limit on idle clients. Others are answered meanwhile.
func TestUnreadAnswersLeaveRoom(t *testing.T) {
	patient := limits
	patient.IdleTime = 2 * maxWait
	for _, k := range []struct {
		name  string
		fds   int
		lines int
	}{{"connections", gateFDs, 0}, {"memory", 0, 3400}} {
		t.Run(k.name, func(t *testing.T) {
			s := startSystem(t, options{gateMB: gateMB, vaultMB: vaultMB, gateFDs: k.fds, limits: patient})
			cr := gatherBy(t, narrow, s.gates[0].Frontend, 200, func(c net.Conn, _ int) error { return write(c, s.unread(k.lines)) })
			s.check("beside the crowd")
			cr.leave()
			s.check("after the crowd")
		})
	}
}
