package main

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"
)

const (
	relayStreams = 24
	// relayEvents events with a pause of relayPause make a stream of over two seconds.
	relayEvents = 22
	relayPause  = 100 * time.Millisecond
	// cutTime is how long runners refuse the gate's new channels.
	cutTime = 60 * time.Millisecond
	// killAfter is when the other gate is killed, counted from the start of the streams.
	killAfter = 900 * time.Millisecond
)

// playRelay cuts one of seven gates from all runners, so that it reaches them through its
// neighbours, and kills one of these. All streams end with their channel.
func playRelay(folder string, r *record, trouble bool) ([]string, error) {
	d, err := newDeployment(folder, r, options{
		gates: []int{0, 0, 0, 1, 1, 2, 2}, vaults: []int{0, 1, 2}, retention: chainRetention, engines: 4, tokens: relayEvents * tokensPerEvent, eventPause: relayPause, unframed: true,
	})
	if d != nil {
		defer d.stop()
	}
	if err != nil {
		return nil, err
	}
	cut, neighbours := d.gates[0], d.gates[1:3]
	if trouble {
		if err := d.cutFromRunners(cut, neighbours); err != nil {
			return nil, err
		}
		time.AfterFunc(killAfter, func() {
			r.say("%s is killed", neighbours[0].name)
			neighbours[0].kill()
		})
	}
	broken := make([]string, relayStreams)
	all(relayStreams, relayStreams, func(i int) {
		t := d.longTurn()
		answer := d.send(cut, t)
		if answer.status == 200 && answer.whole && answer.events() < relayEvents {
			broken[i] = fmt.Sprintf("ORDER: the stream of %s ended as complete after %d of %d events", t.id, answer.events(), relayEvents)
			d.goOn(t)
		}
	})
	return found(broken), nil
}

// goOn sends a turn that goes on from another one through a gate of another zone, and notes what
// the runner gets.
func (d *deployment) goOn(from turn) {
	next := d.longTurn()
	next.program, next.previous, next.budget = from.program, from.id, 2*from.budget
	answer := d.send(d.gates[3], next)
	for _, body := range d.record.runsOf(next.id) {
		d.record.say("the turn after %s is answered %d, its runner gets the text %q", from.id, answer.status, body)
	}
}

// longTurn returns a first turn of a new program.
func (d *deployment) longTurn() turn {
	return turn{
		path: talkPath, id: nextID(), program: fmt.Sprintf("%06x", rand.IntN(1<<24)), input: "a long question\n",
		budget: relayEvents * tokensPerEvent, most: relayEvents * tokensPerEvent, deadline: turnTime, aim: chainAim,
	}
}

// cutFromRunners has a gate find that all runners refuse its new channels. A runner cannot tell
// the gates apart on loopback, so the neighbours are held for these moments, and open none.
func (d *deployment) cutFromRunners(cut *host, neighbours []*host) error {
	d.record.say("%s is cut from all runners", cut.name)
	for _, n := range neighbours {
		n.signal(syscall.SIGSTOP)
		defer n.signal(syscall.SIGCONT)
	}
	for _, e := range d.endpoints {
		e.refuse()
	}
	trigger := d.longTurn()
	trigger.deadline = cutTime
	d.send(cut, trigger)
	for _, e := range d.endpoints {
		if err := e.listen(); err != nil {
			return err
		}
	}
	return nil
}
