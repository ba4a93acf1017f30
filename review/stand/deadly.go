package main

import (
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/cowslipstage/cowslipstage/platform/fake"
)

const (
	deadlyEngines = 8
	// deadlyPause is the pause between two sends of the deadly request, deadlyTime the time of all.
	deadlyPause = 900 * time.Millisecond
	deadlyTime  = 30 * time.Second
	// backAfter is how long a crashed runner is away.
	backAfter = 3 * time.Second
	// stableWindow is the platform's stableWindowMs, maxLate how many runs the rule allows later
	// than that after the third crash.
	stableWindow = 3 * time.Second
	maxLate      = 3
)

// crashes counts the crashes of a deadly request.
type crashes struct {
	mu  sync.Mutex
	ats []time.Time
}

func (c *crashes) add() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ats = append(c.ats, time.Now())
}

// late returns how many crashes came later than stableWindow after the third.
func (c *crashes) late() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, at := range c.ats[min(3, len(c.ats)):] {
		if at.Sub(c.ats[2]) > stableWindow {
			n++
		}
	}
	return n
}

// playDeadly sends a request that crashes each runner that begins to run it again and again.
// FRAMED=1 has the runners' answers come in chunks.
func playDeadly(folder string, r *record, trouble bool) ([]string, error) {
	d, err := newDeployment(folder, r, options{
		gates: []int{0, 1, 2}, vaults: []int{0, 1, 2}, retention: chainRetention, engines: deadlyEngines, tokens: chainMost, unframed: os.Getenv("FRAMED") != "1",
	})
	if d != nil {
		defer d.stop()
	}
	if err != nil {
		return nil, err
	}
	seen := &crashes{}
	for _, e := range d.endpoints {
		e.onDeadly = func() {
			seen.add()
			r.say("%s crashes", e.id)
			e.crash()
			time.AfterFunc(backAfter, func() { r.say("%s is back, error %v", e.id, d.comeBack(e)) })
		}
	}
	program := fmt.Sprintf("%06x", os.Getpid())
	for n, end := 0, time.Now().Add(deadlyTime); time.Now().Before(end); n++ {
		t := turn{
			path: talkPath, id: nextID(), program: program, input: "a plain question\n", budget: 1 << 20, most: chainMost,
			deadline: turnTime, aim: chainAim,
		}
		if trouble {
			t.input = deadlyInput + "\n"
		}
		d.send(d.gates[n%len(d.gates)], t)
		time.Sleep(deadlyPause)
	}
	late := seen.late()
	r.say("%d crashes, %d later than %s after the third", len(seen.ats), late, stableWindow)
	if late <= maxLate {
		return nil, nil
	}
	return []string{fmt.Sprintf("BUDGET: the request has crashed %d runners, %d of them later than %s after the third", len(seen.ats), late, stableWindow)}, nil
}

// comeBack starts a crashed runner again at its address, as a new lifetime with a new id.
func (d *deployment) comeBack(e *endpoint) error {
	old, _ := fake.EndpointEntry(e.id, e.service, e.addr, d.zones[0], false, 1)
	d.store.Set(old, "") // after three intervals of silence
	e.id += "n"
	if err := e.listen(); err != nil {
		return err
	}
	d.store.Set(fake.EndpointEntry(e.id, e.service, e.addr, d.zones[0], false, 1))
	return nil
}
