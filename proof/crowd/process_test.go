package crowd

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

const (
	// crowdEnv is the variable without which these tests are skipped.
	crowdEnv = "COWSLIPSTAGE_CROWD"
	// memoryDir is Linux's file system in memory.
	memoryDir = "/dev/shm"
	// maxWait bounds the wait for any event.
	maxWait = 30 * time.Second
	// sampleEvery is the pause between two counts of a process's descriptors.
	sampleEvery = 20 * time.Millisecond
	// logBytes is how much of a process's log a failed test prints.
	logBytes = 4 << 10
)

// binary is the program under test.
var binary string

func TestMain(m *testing.M) { os.Exit(runAll(m)) }

func runAll(m *testing.M) int {
	if os.Getenv(crowdEnv) == "" {
		return m.Run()
	}
	// The vaults keep their data in memory: what a slow disk does is shown elsewhere.
	parent := memoryDir
	if info, err := os.Stat(parent); err != nil || !info.IsDir() {
		parent = ""
	}
	folder, err := os.MkdirTemp(parent, "crowd-")
	if err == nil {
		err = os.Setenv("TMPDIR", folder)
	}
	if err != nil {
		fmt.Println(err)
		return 1
	}
	defer func() { _ = os.RemoveAll(folder) }()
	binary = filepath.Join(folder, "cowslipstage")
	if out, err := exec.Command("go", "build", "-o", binary, "../../cmd/cowslipstage").CombinedOutput(); err != nil {
		fmt.Println(string(out))
		return 1
	}
	return m.Run()
}

// needsCrowd skips a test unless tests of crowds are asked for.
func needsCrowd(t *testing.T) {
	if os.Getenv(crowdEnv) == "" {
		t.Skip(crowdEnv + " is not set; CI runs these tests apart")
	}
}

// process is a child process with bounds on its memory and descriptors.
type process struct {
	name string
	cmd  *exec.Cmd
	// memoryMB and maxFDs are the bounds; no bound on descriptors if maxFDs is 0.
	memoryMB, maxFDs int
	ended, sampled   chan struct{}

	mu  sync.Mutex
	log bytes.Buffer
	// peakFDs is the highest number of descriptors that was seen.
	peakFDs int
	// held is held while the log is not read.
	held sync.Mutex
}

// holdLog leaves what the process logs unread until releaseLog.
func (p *process) holdLog()    { p.held.Lock() }
func (p *process) releaseLog() { p.held.Unlock() }

// Write keeps the end of the process's log.
func (p *process) Write(data []byte) (int, error) {
	p.held.Lock()
	defer p.held.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.log.Len() > 64*logBytes {
		p.log.Next(p.log.Len() - logBytes)
	}
	return p.log.Write(data)
}

// startProcess starts the program under test. It is killed at the end of the test.
func startProcess(t *testing.T, name string, memoryMB, maxFDs int, args ...string) *process {
	p := &process{name: name, memoryMB: memoryMB, maxFDs: maxFDs, ended: make(chan struct{}), sampled: make(chan struct{})}
	p.cmd = exec.Command(binary, args...)
	p.cmd.Stdout, p.cmd.Stderr = p, p
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	gomega.NewWithT(t).Expect(p.cmd.Start()).To(gomega.Succeed())
	go func() {
		defer close(p.ended)
		_ = p.cmd.Wait() // the log shows why it ended
	}()
	go p.sample()
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill() // it may have ended
		<-p.ended
		<-p.sampled
		if t.Failed() {
			p.mu.Lock()
			defer p.mu.Unlock()
			text := p.log.Bytes()
			t.Logf("---- %s: %s\n%s", p.name, p.cmd.ProcessState, text[max(0, len(text)-logBytes):])
		}
	})
	return p
}

// sample counts the process's descriptors until it ends.
func (p *process) sample() {
	defer close(p.sampled)
	for {
		if entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid)); err == nil {
			p.mu.Lock()
			p.peakFDs = max(p.peakFDs, len(entries))
			p.mu.Unlock()
		}
		select {
		case <-p.ended:
			return
		case <-time.After(sampleEvery):
		}
	}
}

// peakMB returns the most memory that the process has had resident, in MB.
func (p *process) peakMB(g *gomega.WithT) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			n, err := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(rest), " kB"))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			return n >> 10
		}
	}
	g.Expect(string(text)).To(gomega.ContainSubstring("VmHWM:"))
	return 0
}

// check expects that the process lives and has kept its bounds.
func (p *process) check(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(p.ended).NotTo(gomega.BeClosed(), "%s has ended", p.name)
	peak := p.peakMB(g)
	p.mu.Lock()
	fds := p.peakFDs
	p.mu.Unlock()
	t.Logf("%s: %d of %d MB, %d of %d descriptors at the peak", p.name, peak, p.memoryMB, fds, p.maxFDs)
	if peak > p.memoryMB {
		t.Errorf("%s took %d MB, its machine has %d", p.name, peak, p.memoryMB)
	}
	if p.maxFDs > 0 && fds > p.maxFDs {
		t.Errorf("%s had %d descriptors, %d are allowed", p.name, fds, p.maxFDs)
	}
}
