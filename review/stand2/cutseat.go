package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	// freezeTime is how long a store machine stands still, wipeTime how long one that loses its disk is
	// down. recoveryTime is recoveryS, and a little more.
	freezeTime   = 3 * time.Second
	wipeTime     = 2 * time.Second
	recoveryTime = 13 * time.Second
	// keptPrograms is how many programs go on after the losses, and as many begin.
	keptPrograms = 12
)

// roster is what the vaults write to the store of their seats.
type roster struct {
	Version int `json:"version"`
	Seats   []struct {
		Node string `json:"node"`
	} `json:"seats"`
}

func (r roster) has(node string) bool {
	for _, s := range r.Seats {
		if s.Node == node {
			return true
		}
	}
	return false
}

// storeFront passes calls to the store and sees the rosters that are written.
type storeFront struct {
	next http.Handler

	mu     sync.Mutex
	newest roster
	// changed is called with each roster before its writer is answered.
	changed func(r roster)
}

// ServeHTTP serves one call of the store.
func (f *storeFront) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		f.next.ServeHTTP(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the caller has left
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	answer := httptest.NewRecorder()
	f.next.ServeHTTP(answer, r)
	if answer.Code == http.StatusOK {
		f.see(body)
	}
	w.WriteHeader(answer.Code)
	_, _ = w.Write(answer.Body.Bytes()) // the caller may have left
}

// see notes the roster of a transaction that has been done.
func (f *storeFront) see(body []byte) {
	var in struct {
		Puts []struct {
			Key   string
			Value []byte
		}
	}
	if json.Unmarshal(body, &in) != nil {
		return
	}
	for _, p := range in.Puts {
		var r roster
		if p.Key != "cowslip/roster" || json.Unmarshal(p.Value, &r) != nil {
			continue
		}
		f.mu.Lock()
		f.newest = r
		changed := f.changed
		f.mu.Unlock()
		if changed != nil {
			changed(r)
		}
	}
}

func (f *storeFront) seats() roster {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.newest
}

// cutSeat: one store machine stands still for some seconds, and another loses its disk while a spare that
// has taken the first one's seat catches up. Once all are back, turns must be served again.
func cutSeat(d *deployment, trouble bool) (bool, error) {
	time.Sleep(3 * time.Second)
	var kept []turn
	for n, a := range d.manyTurns(keptPrograms, nil) {
		if a != "" {
			kept = append(kept, turn{program: fmt.Sprintf("kept%d", n), previous: a, words: "go on", client: 100 + n})
		}
	}
	if 4*len(kept) < 3*keptPrograms {
		return false, errSetup
	}
	if trouble {
		if err := d.loseSeat(); err != nil {
			return false, err
		}
	}
	d.note("all machines are back; recoveryS begins")
	time.Sleep(recoveryTime)
	served, lost := d.goOn(kept)
	begun := 0
	for _, a := range d.manyTurns(keptPrograms, nil) {
		if a != "" {
			begun++
		}
	}
	d.note("%d of %d turns that go on were served, %d reached no runner in %d tries or more; %d of %d first turns were served",
		served, len(kept), lost, lostTries, begun, keptPrograms)
	return lost > 0 && 4*(served+begun) < len(kept)+keptPrograms, nil
}

// manyTurns sends first turns, or the given ones, side by side, and returns the attempts that were answered whole.
func (d *deployment) manyTurns(count int, given []turn) []string {
	attempts := make([]string, count)
	var group sync.WaitGroup
	for n := range count {
		t := turn{program: "n" + newID()[:7], words: fmt.Sprintf("question %d", n), client: 100 + n}
		if given != nil {
			t = given[n]
		}
		group.Add(1)
		go func() {
			defer group.Done()
			attempts[n] = served(d.turn(n, t))
		}()
	}
	group.Wait()
	return attempts
}

// goOn sends turns that go on, and returns how many were served and how many reached no runner in many tries.
func (d *deployment) goOn(turns []turn) (done, lost int) {
	var mu sync.Mutex
	var group sync.WaitGroup
	for n, t := range turns {
		group.Add(1)
		go func() {
			defer group.Done()
			answers := d.turn(n, t)
			refused := 0
			for _, a := range answers {
				if a.status == http.StatusServiceUnavailable {
					refused++
				}
			}
			mu.Lock()
			defer mu.Unlock()
			switch {
			case served(answers) != "":
				done++
			case refused >= lostTries:
				lost++
			}
		}()
	}
	group.Wait()
	return done, lost
}

// loseSeat stops one holder of a seat for freezeTime and takes another one's disk when the spare has taken the
// seat of the first. It returns when all machines are back.
func (d *deployment) loseSeat() error {
	seats := d.front.seats()
	if len(seats.Seats) != 3 {
		return errSetup
	}
	frozen, wiped := d.vault(seats.Seats[0].Node), d.vault(seats.Seats[1].Node)
	taken := make(chan struct{})
	var once sync.Once
	d.front.mu.Lock()
	d.front.changed = func(r roster) {
		if r.has(frozen.name) {
			return
		}
		once.Do(func() {
			_ = wiped.cmd.Process.Kill() // it runs
			close(taken)
		})
	}
	d.front.mu.Unlock()
	d.note("DISTURBANCE: %s stands still for %s; seats %v", frozen.name, freezeTime, seats)
	stopped := time.Now()
	if err := frozen.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	defer func() { _ = frozen.cmd.Process.Signal(syscall.SIGCONT) }() // it runs already if all went well
	select {
	case <-taken:
	case <-time.After(freezeTime):
		return errSetup
	}
	_ = wiped.cmd.Wait() // it was killed
	d.note("DISTURBANCE: a spare has taken the seat; %s is killed and loses its disk; seats %v", wiped.name, d.front.seats())
	time.Sleep(time.Until(stopped.Add(freezeTime)))
	if err := frozen.cmd.Process.Signal(syscall.SIGCONT); err != nil {
		return err
	}
	d.note("%s goes on, with its disk", frozen.name)
	time.Sleep(wipeTime)
	wiped.settings["dataDir"] = filepath.Join(d.folder, wiped.name+"-new")
	if err := d.start(wiped); err != nil {
		return err
	}
	d.note("%s is back at its address with an empty disk", wiped.name)
	return nil
}

// vault returns the vault of a name.
func (d *deployment) vault(name string) *process {
	for _, p := range d.vaults {
		if p.name == name {
			return p
		}
	}
	return nil
}
