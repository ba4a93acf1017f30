package soak

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cowslipstage/cowslipstage/platform/fake"
)

// restartPause is the pause before a process that ended starts again.
const restartPause = 200 * time.Millisecond

// host is one gate or vault as a process of its own.
type host struct {
	fake.Host
	binary, role, folder string
	log                  *os.File

	mu  sync.Mutex
	cmd *exec.Cmd
	// ended is closed when the process has ended.
	ended chan struct{}
	// from is the length of the log when the life began.
	from int64
	// busy is held while a fault is at work on it.
	busy sync.Mutex
}

// start begins a life. Only the first one of all hosts is fresh.
func (h *host) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	settings := filepath.Join(h.folder, h.Name+".json")
	if err := os.WriteFile(settings, h.Settings(), 0o600); err != nil {
		return errors.Wrap(err, "soak: settings")
	}
	h.FirstStart = false
	info, err := h.log.Stat()
	if err != nil {
		return errors.Wrap(err, "soak: log")
	}
	h.from = info.Size()
	cmd := exec.Command(h.binary, h.role, "--settings", settings)
	cmd.Stdout, cmd.Stderr = h.log, h.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return errors.Wrapf(err, "soak: starting %s", h.Name)
	}
	ended := make(chan struct{})
	h.cmd, h.ended = cmd, ended
	go func() {
		_ = cmd.Wait() // how it ended is in its log
		close(ended)
	}()
	return nil
}

// signal reaches only the process that was started here.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	select {
	case <-h.ended:
	default:
		_ = h.cmd.Process.Signal(s) // it may end at this moment
	}
}

// lifeFrom returns where in the log the last life begins.
func (h *host) lifeFrom() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.from
}

func (h *host) done() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ended
}

// kill ends the process at once and waits for it.
func (h *host) kill() {
	h.signal(syscall.SIGKILL)
	<-h.done()
}

// stop asks the process to end and tells whether it did within its grace.
func (h *host) stop() bool {
	h.signal(syscall.SIGTERM)
	select {
	case <-h.done():
		return true
	case <-time.After(h.Grace):
		h.kill()
		return false
	}
}

// wipe empties the data folder of a process that has ended.
func (h *host) wipe() error {
	if err := os.RemoveAll(h.Data); err != nil {
		return errors.Wrap(err, "soak: wiping")
	}
	return errors.Wrap(os.MkdirAll(h.Data, 0o700), "soak: wiping")
}

// tear leaves half a record at the end of the newest file of the log, as a loss
// of power does with a write that nobody was told of.
func (h *host) tear(garbage []byte) error {
	var newest string
	err := filepath.WalkDir(filepath.Join(h.Data, "log"), func(path string, d os.DirEntry, err error) error {
		if err == nil && !d.IsDir() && path > newest {
			newest = path
		}
		return err
	})
	if err != nil || newest == "" {
		return errors.Wrap(err, "soak: tearing")
	}
	f, err := os.OpenFile(newest, os.O_WRONLY|os.O_APPEND, 0)
	if err != nil {
		return errors.Wrap(err, "soak: tearing")
	}
	_, err = f.Write(garbage)
	return errors.CombineErrors(err, f.Close())
}
