package proof

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// knownRedEnv is the variable that selects the specs listed in KNOWN-RED.txt; without
// it they are skipped.
const knownRedEnv = "COWSLIPSTAGE_RED"

func TestProof(t *testing.T) {
	RegisterFailHandler(Fail)
	suite, report := GinkgoConfiguration()
	suite.RandomSeed = 1
	if suite.LabelFilter == "" {
		suite.LabelFilter = "!red"
		if os.Getenv(knownRedEnv) != "" {
			suite.LabelFilter = "red"
		}
	}
	RunSpecs(t, "proof", suite, report)
}

// binary is the program under test, built once.
var binary string

var _ = BeforeSuite(func() {
	binary = filepath.Join(GinkgoT().TempDir(), "cowslipstage")
	out, err := exec.Command("go", "build", "-o", binary, "../cmd/cowslipstage").CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(out))
})

// process is a child process, which is killed at the end of the spec.
type process struct {
	name string
	args []string
	cmd  *exec.Cmd
	log  *logBuffer
	done chan struct{}
}

// logBuffer keeps the output of a process.
type logBuffer struct {
	mu   sync.Mutex
	data bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.Write(p)
}

func (b *logBuffer) lastLines(lines int) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := strings.Split(strings.TrimSpace(b.data.String()), "\n")
	return strings.Join(all[max(0, len(all)-lines):], "\n")
}

// logLines is how many log lines of each process a failed spec prints.
const logLines = 40

// stackLines is how many log lines are printed for a process that does not answer:
// enough for the stacks of some hundred goroutines.
const stackLines = 3000

func startProcess(name string, args ...string) *process {
	p := &process{name: name, args: args, log: &logBuffer{}}
	p.spawn()
	DeferCleanup(func() {
		p.signal(syscall.SIGKILL)
		<-p.done
		if CurrentSpecReport().Failed() {
			_, _ = fmt.Fprintf(GinkgoWriter, "---- %s\n%s\n", p.name, p.log.lastLines(logLines))
		}
	})
	return p
}

// spawn starts the process, or restarts it if it has ended.
func (p *process) spawn() {
	p.cmd = exec.Command(binary, p.args...)
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	// The kernel kills the process when the test process dies.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	Expect(p.cmd.Start()).To(Succeed())
	cmd, done := p.cmd, make(chan struct{})
	p.done = done
	go func() {
		defer close(done)
		_ = cmd.Wait()
	}()
}

func (p *process) signal(s syscall.Signal) {
	select {
	case <-p.done:
	default:
		_ = p.cmd.Process.Signal(s)
	}
}

// kill ends the process with SIGKILL and waits for it.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

func (p *process) pause() { p.signal(syscall.SIGSTOP) }

func (p *process) resume() { p.signal(syscall.SIGCONT) }

// dumpStacks describes a process that does not answer: how it ended, or its status and
// its log with the stacks that SIGQUIT makes it print.
func (p *process) dumpStacks() string {
	select {
	case <-p.done:
		return fmt.Sprintf("%s ended: %v", p.name, p.cmd.ProcessState)
	default:
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	p.signal(syscall.SIGQUIT)
	select {
	case <-p.done:
	case <-time.After(2 * time.Second):
	}
	return fmt.Sprintf("%s runs but does not answer\n%s%v\n%s", p.name, status, err, p.log.lastLines(stackLines))
}

// stop sends SIGTERM and waits until the process has ended.
func (p *process) stop() {
	p.signal(syscall.SIGTERM)
	Eventually(p.done, maxWait).Should(BeClosed(), "%s does not end", p.name)
}

// maxWait bounds every wait that has no target of its own.
const maxWait = 20 * time.Second

// portCounter hands out each port once, from below the ephemeral range, so that no other
// program takes it before its process listens.
var portCounter atomic.Uint32

const (
	firstPort = 18000
	portSpan  = 12000
)

// freeAddr returns a loopback address on which nothing listens.
func freeAddr() string {
	for {
		port := firstPort + (uint32(os.Getpid())*97+portCounter.Add(1))%portSpan
		addr := fmt.Sprintf("127.0.0.1:%d", port)
		if l, err := net.Listen("tcp", addr); err == nil {
			Expect(l.Close()).To(Succeed())
			return addr
		}
	}
}

func listening(addr string) bool {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}
