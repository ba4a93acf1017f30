package core_test

import (
	"flag"
	"testing"

	"pgregory.net/rapid"
)

// TestModel applies random events to the core and checks every action against the
// rules. The events include crashes, pauses past the lease, lost and late commits,
// duplicates and reordering.
func TestModel(t *testing.T) {
	for name, value := range map[string]string{"rapid.seed": "41", "rapid.checks": "500", "rapid.nofailfile": "true"} {
		if flag.Lookup(name).Value.String() == flag.Lookup(name).DefValue {
			if err := flag.Set(name, value); err != nil {
				t.Fatal(err)
			}
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t)
		acts := w.randomActions()
		for range stepsPerRun {
			acts[evenIndex(t, "act", len(acts))](t)
		}
		w.t = t
		w.quiesce()
	})
}

// stepsPerRun is the number of random events of one run.
const stepsPerRun = 150

// evenIndex draws an index with equal probabilities, whereas the library's integers
// tend to be small. It shrinks towards 0.
func evenIndex(t *rapid.T, name string, n int) int {
	i := 0
	for _, bit := range rapid.SliceOfN(rapid.Bool(), 10, 10).Draw(t, name) {
		i *= 2
		if bit {
			i++
		}
	}
	return i * n / 1024
}

// randomActions returns the random events, the frequent ones more than once. The
// first does nothing, so that a failing run shrinks to the events it needs.
func (w *simulation) randomActions() []func(*rapid.T) {
	return []func(*rapid.T){
		func(*rapid.T) {},
		w.submit, w.submit, w.submit, w.submit,
		w.writeRandom, w.writeRandom, w.writeRandom, w.writeRandom, w.writeRandom,
		w.deliverRandom, w.deliverRandom, w.deliverRandom, w.deliverRandom, w.deliverRandom,
		w.streamText, w.streamText, w.streamText,
		w.finishRandom, w.finishRandom, w.finishRandom,
		w.resendPending, w.resendAnswered, w.requestAnswer, w.callerLeaves, w.closeProgram, w.refuseAttempt, w.failAttempt, w.failAttempt,
		w.tick, w.renewLease, w.handOver, w.answerInquiry, w.crash, w.pause, w.reportLost, w.configureStale, w.listLeaving,
	}
}
