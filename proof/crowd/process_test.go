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
	// sampleEvery is the pause between two counts of a process's descriptors, unreadEvery between two
	// looks at the bytes that have arrived on them.
	sampleEvery = 20 * time.Millisecond
	unreadEvery = 100 * time.Millisecond
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
	// peakFDs is the highest number of descriptors that was seen, and peakWithUnread the most memory with
	// the bytes that have arrived and are not yet read, in bytes: the platform counts them too.
	peakFDs        int
	peakWithUnread int64
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

// sample counts the process's descriptors and the bytes that it has not read until it ends.
func (p *process) sample() {
	defer close(p.sampled)
	var looked time.Time
	for {
		folder := fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid)
		if entries, err := os.ReadDir(folder); err == nil {
			taken := int64(0)
			if time.Since(looked) >= unreadEvery {
				looked = time.Now()
				taken = p.statusKB("VmRSS")<<10 + unreadBytes(folder, entries)
			}
			p.mu.Lock()
			p.peakFDs, p.peakWithUnread = max(p.peakFDs, len(entries)), max(p.peakWithUnread, taken)
			p.mu.Unlock()
		}
		select {
		case <-p.ended:
			return
		case <-time.After(sampleEvery):
		}
	}
}

// unreadBytes returns how many bytes have arrived on the sockets among a process's descriptors and are
// not yet read.
func unreadBytes(folder string, descriptors []os.DirEntry) int64 {
	own := map[string]bool{}
	for _, d := range descriptors {
		target, err := os.Readlink(filepath.Join(folder, d.Name())) // it may be closed by now
		if inode, ok := strings.CutPrefix(target, "socket:["); err == nil && ok {
			own[strings.TrimSuffix(inode, "]")] = true
		}
	}
	text, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	const state, queues, inode, listening = 3, 4, 9, "0A"
	total := int64(0)
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		if len(fields) <= inode || fields[state] == listening || !own[fields[inode]] {
			continue
		}
		_, received, _ := strings.Cut(fields[queues], ":")
		n, err := strconv.ParseInt(received, 16, 64)
		if err == nil {
			total += n
		}
	}
	return total
}

// statusKB returns a figure of the process's status in KB, 0 if it has ended.
func (p *process) statusKB(name string) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, name+":"); ok {
			n, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 10, 64)
			if err == nil {
				return n
			}
		}
	}
	return 0
}

// peakMB returns the most memory that the process has had resident, and the most with the bytes that it
// had not read, in MB.
func (p *process) peakMB(g *gomega.WithT) (resident, withUnread int) {
	resident = int(p.statusKB("VmHWM") >> 10)
	g.Expect(resident).To(gomega.BeNumerically(">", 0))
	p.mu.Lock()
	defer p.mu.Unlock()
	return resident, int(p.peakWithUnread >> 20)
}

// check expects that the process lives and has kept its bounds.
func (p *process) check(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(p.ended).NotTo(gomega.BeClosed(), "%s has ended", p.name)
	peak, withUnread := p.peakMB(g)
	p.mu.Lock()
	fds := p.peakFDs
	p.mu.Unlock()
	t.Logf("%s: %d of %d MB, %d with unread bytes, %d of %d descriptors at the peak", p.name, peak, p.memoryMB, withUnread, fds, p.maxFDs)
	if max(peak, withUnread) > p.memoryMB {
		t.Errorf("%s took %d MB, %d with unread bytes, its machine has %d", p.name, peak, withUnread, p.memoryMB)
	}
	if p.maxFDs > 0 && fds > p.maxFDs {
		t.Errorf("%s had %d descriptors, %d are allowed", p.name, fds, p.maxFDs)
	}
}
