package trial

import (
	"context"
	"sort"
	"time"

	"github.com/cowslipstage/cowslipstage/standin/fault"
	"github.com/cowslipstage/cowslipstage/standin/keyval"
)

// scenario is a fault with its begin and end as fractions of the measured time.
type scenario struct {
	name  string
	begin float64
	end   float64
	// set starts the fault if on is set, and ends it otherwise.
	set func(t *Trial, on bool)
}

// scenarios returns the faults of a run with faults, in the order of their begin.
func scenarios() []scenario {
	return []scenario{
		{"store down", 0.05, 0.20, func(t *Trial, on bool) {
			t.deployment.Keyval().SetFault(keyval.Fault{Down: on})
		}},
		{"store slow", 0.25, 0.35, func(t *Trial, on bool) {
			f := keyval.Fault{}
			if on {
				f.Delay = storeDelay
			}
			t.deployment.Keyval().SetFault(f)
		}},
		{"engine slow", 0.40, 0.50, func(t *Trial, on bool) {
			p := fault.Plan{}
			if on {
				p.Slowdown = slowFactor
			}
			t.deployment.Engines()[t.engine(0)].Fault().Set(p)
		}},
		{"engine killed", 0.55, 0.65, func(t *Trial, on bool) {
			t.deployment.Engines()[t.engine(1)].Fault().Set(fault.Plan{PathPrefix: "/", Crash: on, Refuse: on})
		}},
		{"engine leaving", 0.70, 0.85, (*Trial).setEngineLeaving},
		{"node stopped", 0.90, 1, func(t *Trial, on bool) {
			if on && t.options.Nodes > 1 {
				t.deployment.StopNode(t.options.Nodes - 1)
			}
		}},
	}
}

const (
	// storeDelay is the delay of a slow store, in milliseconds.
	storeDelay = 200
	// slowFactor is the factor by which a slow engine takes longer.
	slowFactor = 5
)

// engine returns the name of the i-th engine.
func (t *Trial) engine(i int) string {
	var names []string
	for name := range t.deployment.Engines() {
		names = append(names, name)
	}
	sort.Strings(names)
	return names[i%len(names)]
}

// setEngineLeaving makes an engine leave, or come back if on is false, and updates the
// host list. The times are kept for the audit's leaving rule.
func (t *Trial) setEngineLeaving(on bool) {
	name, now := t.engine(2), time.Now()
	t.deployment.Engines()[name].SetLeaving(on)
	state := "live"
	if on {
		state = "leaving"
		t.leftAt[name] = now
	}
	t.deployment.Hosts().Set(now, name, state)
	if !on {
		t.returnedAt[name] = now
	}
}

// runScenarios runs the scenarios while the workload runs.
func (t *Trial) runScenarios(ctx context.Context) {
	span := t.measureEnd.Sub(t.measureStart)
	at := func(share float64) time.Time { return t.measureStart.Add(time.Duration(share * float64(span))) }
	for _, s := range scenarios() {
		if sleepUntil(ctx, at(s.begin)) != nil {
			return
		}
		t.options.Log.Warn().Str("fault", s.name).Msg("begins")
		s.set(t, true)
		_ = sleepUntil(ctx, at(s.end))
		s.set(t, false)
	}
}
