package crowd

import (
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/cowslipstage/cowslipstage/platform/fake"
)

// turns has a crowd send turns to the gates, so many at a time, and counts their answers by
// status.
func (s *system) turns(n, atOnce int, path string, turn func(i int) (body string, r fake.Request)) {
	var counts [600]atomic.Int64
	var sending sync.WaitGroup
	slots := make(chan struct{}, atOnce)
	for i := range n {
		slots <- struct{}{}
		sending.Go(func() {
			defer func() { <-slots }()
			body, r := turn(i)
			r.ID, r.Timeout = s.nextID(), routeTimeout
			code, _ := s.send(s.gates[i%len(s.gates)], http.MethodPost, path, body, r)
			counts[code].Add(1)
		})
	}
	sending.Wait()
	for code := range counts {
		if n := counts[code].Load(); n > 0 {
			s.t.Logf("%d turns ended with %d", n, code)
		}
	}
}

// restart kills a vault and starts it again.
func (s *system) restart(h *host) {
	_ = h.cmd.Process.Kill()
	<-h.ended
	h.FirstStart = false
	s.startHost(h, "vault")
}

// Vaults keep what programs spend. A crowd of programs must not take their memory, whether their
// turns are refused or run, nor after a restart.
func TestProgramsAtVaults(t *testing.T) {
	long := strings.Repeat("p", 3<<10)
	for _, k := range []struct {
		name             string
		programs, atOnce int
		id               string
		most, budget     int
	}{
		{"refused with 402, long ids", 12000, 32, long, 300, 30},
		{"that run, long ids", 10000, 32, long, 30, 300},
		{"refused or run, long ids", 12000, 128, long, 30, 300},
		{"refused or run", 60000, 128, "p", 30, 300},
	} {
		t.Run(k.name, func(t *testing.T) {
			s := startSystem(t, options{gateMB: 2 * gateMB, vaultMB: vaultMB, engines: 8})
			s.turns(k.programs, k.atOnce, fake.ConversationPath, func(int) (string, fake.Request) {
				return "x", fake.Request{Program: k.id + s.nextID(), Budget: k.budget, PromptTokens: 10, MaxTokens: k.most}
			})
			s.check("after the crowd")
			s.restart(s.vaults[0])
			s.check("after a restart")
		})
	}
}

// Turns as long as the users' limit are kept by the vaults, many at a time.
func TestLongTurnsAtVaults(t *testing.T) {
	long := limits
	long.BodyBytes = 4 << 20
	s := startSystem(t, options{gates: 2, gateMB: 134, vaultMB: 96, diskMB: 1000, engines: 8, limits: long})
	body := strings.Repeat("x", long.BodyBytes)
	s.turns(180, 60, fake.ConversationPath, func(int) (string, fake.Request) { return body, turnOf(s.nextID(), "") })
	s.check("after the crowd")
	s.restart(s.vaults[0])
	s.check("after a restart")
}

// Long turns fill the disks of the vaults.
func TestLongTurnsFillTheDisks(t *testing.T) {
	s := startSystem(t, options{gateMB: 2 * gateMB, vaultMB: 2 * vaultMB, diskMB: 64})
	body := strings.Repeat("x", limits.BodyBytes)
	s.turns(160, 4, fake.ConversationPath, func(int) (string, fake.Request) { return body, turnOf(s.nextID(), "") })
	s.check("after the crowd")
}

// Chains grow by turns as long as the limit, and each turn has its whole chain as its prompt.
func TestChainsOfLongTurns(t *testing.T) {
	const programs, length = 8, 20
	s := startSystem(t, options{gates: 2, gateMB: gateMB, vaultMB: vaultMB, diskMB: 400})
	body := strings.Repeat("x", limits.BodyBytes)
	var running sync.WaitGroup
	var whole atomic.Int64
	for range programs {
		running.Go(func() {
			program, previous := s.nextID(), ""
			for i := range length {
				r := turnOf(program, previous)
				r.ID, r.Timeout = s.nextID(), routeTimeout
				code, _ := s.send(s.gates[i%len(s.gates)], http.MethodPost, fake.ConversationPath, body, r)
				if code == http.StatusOK {
					whole.Add(1)
					previous = r.ID
				}
			}
		})
	}
	running.Wait()
	t.Logf("%d turns of %d ended whole", whole.Load(), programs*length)
	s.check("after the crowd")
}

// What callers name a program, a turn or a session is logged with each request. The log is not
// read for a while.
func TestLongIDsInLogs(t *testing.T) {
	s := startSystem(t, options{gateMB: gateMB, vaultMB: vaultMB})
	s.gates[0].holdLog()
	long := strings.Repeat("\xff", 5<<10)
	s.turns(6000, 32, fake.OrderPath, func(int) (string, fake.Request) { return "x", fake.Request{Program: long, Previous: long} })
	s.gates[0].releaseLog()
	s.check("after the crowd")
}
