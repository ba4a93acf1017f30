package main

import (
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"
)

const (
	// chainRetention is the route's retentionS, as on the users' sheet.
	chainRetention = 60 * time.Second
	chainPrograms  = 48
	// chainMost and chainBudget are in tokens: the budget never binds.
	chainMost, chainBudget = 30, 1000
	// These times count from the first turns. At disruptAfter the copies of the first turns are
	// gone that no copy of a second turn prolonged. thirdTurnAfter is catchUpS, stableWindowMs
	// and some more after the disruption, and within the retention of the second turns.
	secondTurnAfter = 52 * time.Second
	disruptAfter    = 73 * time.Second
	thirdTurnAfter  = 90 * time.Second
	// chainAim is the programs' time objective, which their pauses are part of.
	chainAim = 150 * time.Second
	// turnTries is how often a client sends a turn: two attempts, three times.
	turnTries = 6
	turnTime  = 4 * time.Second
)

// session is a program's line of turns as its client knows it.
type session struct{ program, last, text string }

// playChain lets programs pause between their turns and come through another zone with each,
// and lets one store machine lose its disk before the third turns.
func playChain(folder string, r *record, trouble bool) ([]string, error) {
	d, err := newDeployment(folder, r, options{gates: []int{0, 1, 2, 2}, vaults: []int{0, 1, 2}, retention: chainRetention, engines: 4, tokens: chainMost})
	if d != nil {
		defer d.stop()
	}
	if err != nil {
		return nil, err
	}
	sessions := make([]session, chainPrograms)
	began := time.Now()
	var failed atomic.Int64
	step := func(name string, gates []*host) {
		all(len(sessions), 8, func(i int) {
			s := &sessions[i]
			if s.program == "" {
				s.program = fmt.Sprintf("%06x", rand.IntN(1<<24))
			}
			if ok, _ := d.addTurn(gates, s, name, began); !ok {
				r.say("set-up: %s of %s is not served", name, s.program)
				failed.Add(1)
			}
		})
	}
	step("first", d.gates[:1])
	sleepUntil(began.Add(secondTurnAfter))
	step("second", d.gates[1:2])
	if n := failed.Load(); n > 0 {
		return nil, fmt.Errorf("%d turns before the disruption were not served", n)
	}
	sleepUntil(began.Add(disruptAfter))
	if trouble {
		if err := d.loseDisk(d.vaults[2]); err != nil {
			return nil, err
		}
	}
	sleepUntil(began.Add(thirdTurnAfter))
	return d.checkThirdTurns(sessions, began)
}

// loseDisk lets a store machine restart at its address with an empty disk.
func (d *deployment) loseDisk(v *host) error {
	d.record.say("%s loses its disk and restarts", v.name)
	v.kill()
	if err := v.wipe(); err != nil {
		return err
	}
	return v.restart()
}

// checkThirdTurns continues all sessions through the third zone, beside as many new ones.
func (d *deployment) checkThirdTurns(sessions []session, began time.Time) ([]string, error) {
	zone := d.gates[2:]
	broken := make([]string, len(sessions))
	reached := make([]bool, len(sessions))
	all(2*len(sessions), 8, func(i int) {
		if i%2 == 0 {
			fresh := session{program: fmt.Sprintf("%06x", rand.IntN(1<<24))}
			reached[i/2], _ = d.addTurn(zone, &fresh, "first", began)
			return
		}
		s := &sessions[i/2]
		previous := s.last
		if ok, tried := d.addTurn(zone, s, "third", began); !ok {
			broken[i/2] = fmt.Sprintf("LOST: the turn after %s of program %s reached no runner in %d tries", previous, s.program, tried)
		}
	})
	first := 0
	for _, ok := range reached {
		if ok {
			first++
		}
	}
	d.record.say("first turns in the same seconds: %d of %d reached a runner", first, len(reached))
	if first*10 < 9*len(reached) {
		return nil, fmt.Errorf("only %d of %d first turns reached a runner", first, len(reached))
	}
	return found(broken), nil
}

// addTurn sends a session's next turn until it is served, as a client does, and reports
// whether it reached a runner and how often it was sent.
func (d *deployment) addTurn(gates []*host, s *session, name string, began time.Time) (reached bool, tries int) {
	for tries < turnTries {
		t := turn{
			path: talkPath, id: nextID(), program: s.program, previous: s.last, input: fmt.Sprintf("%s asks its %s question\n", s.program, name),
			budget: chainBudget, most: chainMost, deadline: turnTime, aim: chainAim - time.Since(began),
		}
		answer := d.send(gates[tries%len(gates)], t)
		tries++
		runs := d.record.runsOf(t.id)
		if answer.status == 200 && answer.whole && answer.events() == chainMost/tokensPerEvent {
			if len(runs) != 1 || runs[0] != s.text+t.input {
				d.record.say("BROKEN UNASKED: %s was run as %q", t.id, runs)
			}
			s.last, s.text = t.id, s.text+t.input+outputOf(t.id, chainMost)
			return true, tries
		}
		if len(runs) > 0 {
			return true, tries
		}
		time.Sleep(max(answer.retryAfter, 100*time.Millisecond+rand.N(300*time.Millisecond)))
	}
	return false, tries
}

func sleepUntil(t time.Time) { time.Sleep(time.Until(t)) }
