package trial

import (
	"context"
	"sort"
	"time"

	"github.com/cowslipstage/cowslipstage/standin/fault"
	"github.com/cowslipstage/cowslipstage/standin/keyval"
)

// scenario is a fault that begins and ends at shares of the measured time.
type scenario struct {
	name  string
	begin float64
	end   float64
	// set begins the fault, or with false ends it.
	set func(t *Trial, on bool)
}

// scenarios are the faults of a run with faults, one after the other.
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
		{"engine leaving", 0.70, 0.85, (*Trial).leave},
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
	// slowFactor is how many times longer a slow engine takes.
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

// leave makes an engine leave, as the host list says too, and come back. Its
// time away is under the rule until it comes back.
func (t *Trial) leave(on bool) {
	name, now := t.engine(2), time.Now()
	t.deployment.Engines()[name].SetLeaving(on)
	state := "live"
	if on {
		state = "leaving"
		t.left[name] = now
	}
	t.deployment.Hosts().Set(now, name, state)
	if !on {
		t.back[name] = now
	}
}

// faults runs the scenarios beside the workload.
func (t *Trial) faults(ctx context.Context) {
	span := t.to.Sub(t.from)
	at := func(share float64) time.Time { return t.from.Add(time.Duration(share * float64(span))) }
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
