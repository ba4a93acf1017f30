package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// commonWords is what several clients answer at the same time.
	commonWords = "yes, please"
	// downTime is how long the crashed runners are down.
	downTime = 3 * time.Second
	// calmTime is more than stableWindowMs.
	calmTime = 5 * time.Second
	// zonePrograms is how many programs of one zone go on with the common words when its runners crash.
	zonePrograms = 8
	// probePrograms is how many programs are sent once all is calm.
	probePrograms = 8
	// lostTries is from how many tries without a runner a turn counts as lost.
	lostTries = 5
)

// sameWords: the clients of one zone answer their programs with the same words, and the runners
// of that zone crash meanwhile. Later programs that go on with these words must reach a runner.
func sameWords(d *deployment, trouble bool) (bool, error) {
	time.Sleep(2 * time.Second)
	zone := zones[0]
	var near []*process
	for _, g := range d.gates {
		if g.zone == zone {
			near = append(near, g)
		}
	}
	var group, first sync.WaitGroup
	for n := range zonePrograms {
		group.Add(1)
		first.Add(1)
		go func() {
			defer group.Done()
			t := turn{program: "b" + newID()[:7], words: fmt.Sprintf("question %d", n), client: 100 + n}
			a := d.try(near[n%len(near)], t, clientLimit)
			first.Done()
			first.Wait()
			t.previous, t.words = a.attempt, commonWords
			d.try(near[n%len(near)], t, clientLimit)
		}()
	}
	first.Wait()
	time.Sleep(800 * time.Millisecond)
	if trouble {
		var hit []*runner
		for _, r := range d.allRunners() {
			if r.zone == zone {
				hit = append(hit, r)
			}
		}
		d.note("DISTURBANCE: all %d runners of the zone %s crash, for %s", len(hit), zone, downTime)
		d.crash(hit)
		time.Sleep(downTime)
		for _, r := range hit {
			if _, err := d.addRunner(r.service, r.last, r.zone); err != nil {
				return false, err
			}
		}
	}
	group.Wait()
	time.Sleep(calmTime)
	d.note("calm for %s; programs go on", calmTime)
	return d.countLost(), nil
}

// countLost sends programs of two turns and reports whether a second turn reached no runner in five
// tries or more though nine tenths of first turns reached one.
func (d *deployment) countLost() bool {
	var mu sync.Mutex
	firsts, lost := 0, 0
	var group sync.WaitGroup
	for n := range probePrograms {
		group.Add(1)
		go func() {
			defer group.Done()
			program := "c" + newID()[:7]
			first := served(d.turn(n, turn{program: program, words: fmt.Sprintf("other question %d", n), client: 120 + n}))
			if first == "" {
				return
			}
			answers := d.turn(n, turn{program: program, previous: first, words: commonWords, client: 120 + n})
			refused := 0
			for _, a := range answers {
				if a.status == http.StatusServiceUnavailable {
					refused++
				}
			}
			mu.Lock()
			defer mu.Unlock()
			firsts++
			if served(answers) == "" && refused >= lostTries {
				lost++
				d.note("LOST: the turn after %s reached no runner in %d tries", first, refused)
			}
		}()
	}
	group.Wait()
	d.note("%d of %d first turns were served; %d turns that go on reached no runner in %d tries or more", firsts, probePrograms, lost, lostTries)
	return lost > 0 && 10*firsts >= 9*probePrograms
}
