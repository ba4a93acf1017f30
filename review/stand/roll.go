package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"syscall"
	"time"
)

const (
	// rollTurns is how many turns the budget covers: earlyTurns, one at each gate in each of
	// slowRounds, and one more.
	rollTurns  = earlyTurns + 3*slowRounds + 1
	slowRounds = 5
	// otherTurns are turns of other programs with otherBytes each, a little less than the
	// largest of the users' sheet. They are what a busy minute brings.
	otherTurns = 500
	otherBytes = 24000
	// rollGap is the pause after each vault of the roll.
	rollGap = 2 * time.Second
	// graceTime is the platform's graceS.
	graceTime = 8 * time.Second
)

// playRoll lets programs go on through all zones for longer than an account is kept, and stops
// and starts the vaults in turn.
func playRoll(folder string, r *record, trouble bool) ([]string, error) {
	d, err := newDeployment(folder, r, options{gates: []int{0, 1, 2}, vaults: []int{0, 1, 2}, retention: budgetRetention, engines: 4, tokens: budgetMost})
	if d != nil {
		defer d.stop()
	}
	if err != nil {
		return nil, err
	}
	programs := newPrograms(freePath, rollTurns)
	began := time.Now()
	all(len(programs), 4, func(i int) {
		for n := range earlyTurns {
			d.spendTurn(d.gates[n%len(d.gates)], &programs[i])
		}
	})
	d.playOthers()
	for n := range slowRounds {
		sleepUntil(began.Add(time.Duration(n+1) * turnPause))
		all(len(programs), 4, func(i int) {
			for _, g := range d.gates {
				d.spendTurn(g, &programs[i])
			}
		})
	}
	if trouble {
		for _, v := range d.vaults {
			if err := d.rollVault(v); err != nil {
				return nil, err
			}
		}
	}
	d.spendRest(d.gates, programs)
	return checkBudgets(r, programs), nil
}

// playOthers runs first turns of other programs.
func (d *deployment) playOthers() {
	input := strings.Repeat("and so on ", otherBytes/10)
	all(otherTurns, 4, func(int) {
		d.send(d.gates[1], turn{
			path: talkPath, id: nextID(), program: fmt.Sprintf("%06x", rand.IntN(1<<24)), input: input,
			budget: chainBudget, most: budgetMost, deadline: turnTime, aim: chainAim,
		})
	})
}

// rollVault stops a vault as the platform does, and starts it again.
func (d *deployment) rollVault(v *host) error {
	d.record.say("%s gets SIGTERM", v.name)
	v.signal(syscall.SIGTERM)
	select {
	case <-v.ended:
	case <-time.After(graceTime):
		v.kill()
	}
	if err := v.restart(); err != nil {
		return err
	}
	d.record.say("%s is started again", v.name)
	time.Sleep(rollGap)
	return nil
}
