package main

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"syscall"
	"time"

	"github.com/cowslipstage/cowslipstage/platform/fake"
)

const (
	// eventCount and eventPause make a turn of 1.4 s.
	eventCount = 7
	eventPause = 200 * time.Millisecond
)

// runner is a runner's process as the case sees it.
type runner struct {
	id, addr, zone, service string
	born                    int64
	sequence                int
	last                    int
	cmd                     *exec.Cmd
	// down is set from downSince on, and expired once the entry has been removed.
	down, expired bool
	downSince     time.Time
	// lines is what the runner has told of its runs.
	lines []string
}

// stop ends the process.
func (r *runner) stop() { end(r.cmd) }

// addRunner starts a runner and registers it.
func (d *deployment) addRunner(service string, last int, zone string) (*runner, error) {
	r := &runner{
		id: fmt.Sprintf("i-%08x", time.Now().UnixNano()&0xffffffff), addr: fmt.Sprintf("%s%d:8165", d.network, last),
		zone: zone, service: service, born: time.Now().UnixMilli(), last: last,
	}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	r.cmd = exec.Command(self, "runner", "--id", r.id, "--addr", r.addr, "--service", service)
	r.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := r.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := r.cmd.Start(); err != nil {
		return nil, err
	}
	lines := bufio.NewScanner(out)
	if !lines.Scan() {
		return nil, errSetup
	}
	go func() {
		for lines.Scan() {
			d.note("runner %s: %s", r.id, lines.Text())
			d.mu.Lock()
			r.lines = append(r.lines, lines.Text())
			d.mu.Unlock()
		}
	}()
	d.mu.Lock()
	d.runners = append(d.runners, r)
	d.mu.Unlock()
	d.register(r)
	d.note("runner %s of %s serves at %s in %s", r.id, service, r.addr, zone)
	return r, nil
}

// allRunners returns the runners that were started.
func (d *deployment) allRunners() []*runner {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]*runner(nil), d.runners...)
}

// entryKey returns the key of a runner's entry.
func entryKey(id string) string {
	key, _ := fake.EndpointEntry(id, "", "", "", false, 0)
	return key
}

// ranAt returns what a runner has told of its runs.
func (d *deployment) ranAt(r *runner) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]string(nil), r.lines...)
}

// register writes a runner's entry, as the runner does.
func (d *deployment) register(r *runner) {
	d.mu.Lock()
	r.sequence++
	value := fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":1,"slots":16,"state":"ready","coldLeftMs":0,"seq":%d,"born":%d}`,
		r.service, r.addr, r.zone, r.sequence, r.born)
	d.mu.Unlock()
	d.store.Set(entryKey(r.id), value)
}

// beat writes the entries of the runners that are up, as the runners do. The platform's entry
// changes only when more than seq does, so nothing is written here; entries of runners that are
// down expire after three intervals.
func (d *deployment) beat() {
	for range time.Tick(heartbeat / 10) {
		for _, r := range d.allRunners() {
			d.mu.Lock()
			expired := r.down && !r.expired && time.Since(r.downSince) >= 3*heartbeat
			r.expired = r.expired || expired
			d.mu.Unlock()
			if expired {
				d.store.Set(entryKey(r.id), "")
				d.note("the entry of %s has expired", r.id)
			}
		}
	}
}

// crash kills runners at the same moment.
func (d *deployment) crash(runners []*runner) {
	for _, r := range runners {
		_ = r.cmd.Process.Kill() // it runs
	}
	for _, r := range runners {
		_ = r.cmd.Wait() // it was killed
		d.mu.Lock()
		r.down, r.downSince = true, time.Now()
		d.mu.Unlock()
		d.note("runner %s in %s has crashed", r.id, r.zone)
	}
}

// runRunner serves requests until the process ends.
func runRunner(args []string) {
	flags := flag.NewFlagSet("runner", flag.ExitOnError)
	id := flags.String("id", "", "the runner's id")
	addr := flags.String("addr", "", "where it listens")
	service := flags.String("service", "engines", "the service that it belongs to")
	_ = flags.Parse(args) // it exits on errors
	l, err := net.Listen("tcp", *addr)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(cannotRun)
	}
	fmt.Println("listening")
	_ = http.Serve(l, &engine{id: *id, streams: *service == "engines"}) //nolint:gosec // it ends with the process
}

// engine answers as a model runner or a desk does.
type engine struct {
	id string
	// streams is set at engines; desks answer at once and whole.
	streams bool
}

// ServeHTTP runs one request.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // it was not read to its end, so it does not run
	}
	h := w.Header()
	attempt, wanted := fake.ParseRequest(r.Header)
	if wanted != "" && wanted != e.id {
		fake.SetNotRun(h, attempt)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	sum := sha256.Sum256(body)
	fmt.Printf("runs %s %s %s, body of %d bytes %s\n", attempt, r.Method, r.RequestURI, len(body), hex.EncodeToString(sum[:4]))
	fake.SetAnswerHeaders(h, attempt, e.id)
	if !e.streams {
		time.Sleep(eventPause / 4)
		_, _ = io.WriteString(w, "done "+attempt+"\n") // the caller may have left
		return
	}
	h.Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for n := range eventCount {
		select {
		case <-time.After(eventPause):
		case <-r.Context().Done():
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", n+1, attempt, n+1); err != nil || control.Flush() != nil {
			return
		}
	}
	fmt.Printf("ends %s\n", attempt)
}
