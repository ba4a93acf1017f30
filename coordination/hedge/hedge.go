// Package hedge (coordination layer) decides when a call whose endpoint is
// slow to answer is also sent to another endpoint.
package hedge

import (
	"math"
	"time"

	"github.com/cockroachdb/errors"
)

// Reason says why a hedge is denied; Allowed if it is not.
type Reason string

// The reasons.
const (
	Allowed Reason = ""
	// Limit means that the share of extra calls is used up.
	Limit Reason = "limit"
	// Overload means that the service has too few free slots.
	Overload Reason = "overload"
	// Slowdown means that the answers of the whole service have become slower.
	Slowdown Reason = "slowdown"
)

// Policy sets when calls are hedged, and how often.
type Policy struct {
	// Share is the most hedges per call, from 0 to 1; 0 allows none.
	Share float64
	// MaxCredits bounds the hedges that accumulate while none are needed.
	MaxCredits int
	// A call is late once it takes longer than the Quantile (a percentage) of the
	// recent answers, multiplied by Factor, and longer than MinDelay.
	Quantile float64
	Factor   float64
	MinDelay time.Duration
	// MinAnswers is how many recent answers must be known before a call is late.
	MinAnswers int
	// MaxAge bounds the age of recent answers; 0 bounds only their number.
	MaxAge time.Duration
}

// ModelCalls returns the policy for the first tokens of model calls. Their expected
// times are known, so that a high quantile of the ratio tells late calls from long ones.
func ModelCalls(on bool) Policy {
	p := Policy{MaxCredits: 10, Quantile: 95, Factor: 1.5, MinDelay: 150 * time.Millisecond, MinAnswers: 200}
	if on {
		p.Share = modelShare
	}
	return p
}

// PlainCalls returns the policy for calls of plain services at a gate.
//
// The quantile lies below the slow tail even if a quarter of the endpoints is slow.
// The 95th percentile would be one of the slow answers as soon as one endpoint of
// twenty is slow. MaxCredits is small since many gates may spend theirs at the same time.
func PlainCalls(share float64) Policy {
	return Policy{
		Share: share, MaxCredits: 2, Quantile: 75, Factor: 2, MinDelay: 20 * time.Millisecond, MinAnswers: 20,
		MaxAge: 30 * time.Second,
	}
}

const (
	// SuggestedShare is a share of extra calls of plain services for operators to begin with.
	// In the replays of this package's tests it is the smallest that takes the 99.9th
	// percentile with a grey endpoint to less than half.
	SuggestedShare = 0.05
	// modelShare is the share for model calls, whose copies cost a whole prompt each.
	modelShare = 0.03
)

// ErrShare means that a share of extra calls is not allowed.
var ErrShare = errors.New("hedge: the share of extra calls must be from 0 to 1")

// CheckShare returns ErrShare for a share that is not allowed.
func CheckShare(share float64) error {
	if math.IsNaN(share) || share < 0 || share > 1 {
		return errors.Wrapf(ErrShare, "%v", share)
	}
	return nil
}

// creditUnit is the credit that a hedge takes. Integers keep the share exact however
// many calls there are.
const creditUnit = 1_000_000

// capacityShare is the part of a service's slots from which no hedge is sent. Counts
// of other gates' calls are some hundred milliseconds old, and a copy needs a slot too.
const capacityShare = 0.8

// slowdownFactor is how much slower than usual half of the newest answers must be for
// the whole service to count as slow.
const slowdownFactor = 2

// Hedger learns how long the answers of each service take, and allows a bounded share
// of calls to be sent twice. It is not safe for concurrent use.
type Hedger struct {
	policy Policy
	// perCall is the credit of one call, in millionths.
	perCall int64
	// credit is between -limit and limit. Any number of calls n allows at most
	// n*perCall/creditUnit hedges in total.
	credit, limit int64
	services      map[string]*times
}

// New returns a hedger without credit that knows no answers.
func New(p Policy) *Hedger {
	return &Hedger{
		policy: p, perCall: int64(p.Share * creditUnit), limit: int64(p.MaxCredits) * creditUnit, services: map[string]*times{},
	}
}

// AddCall counts a new call that may be hedged.
func (h *Hedger) AddCall() { h.credit = min(h.limit, h.credit+h.perCall) }

// Observe records how long a call took to begin its answer, and how long was
// expected. Callers that expect nothing pass the same time for every call.
func (h *Hedger) Observe(now time.Time, service string, took, expected time.Duration) {
	h.timesOf(service).add(now, ratio(took, expected), &h.policy)
}

// ObserveCancelled records that a call was cancelled after some time without an
// answer. It counts only if it was late, since shorter times say nothing; the result
// reports whether it was.
func (h *Hedger) ObserveCancelled(now time.Time, service string, after, expected time.Duration) bool {
	t, r := h.timesOf(service), ratio(after, expected)
	if t.late == 0 || r < t.late {
		return false
	}
	t.add(now, r, &h.policy)
	return true
}

// Delay returns how long a call with the expected time may take before it is
// hedged, or false while hedging is off or too few answers are known.
func (h *Hedger) Delay(now time.Time, service string, expected time.Duration) (time.Duration, bool) {
	t := h.services[service]
	if h.perCall == 0 || t == nil || !t.known(now, &h.policy) {
		return 0, false
	}
	return max(h.policy.MinDelay, time.Duration(t.late*float64(expected))), true
}

// Capacity is the load of a service: running calls and slots at all its endpoints that may
// get work. Slots is 0 if the caller itself places calls only at free slots.
type Capacity struct{ Running, Slots int }

// Take reports whether a hedge is allowed now, and counts it if so.
func (h *Hedger) Take(now time.Time, service string, c Capacity) Reason {
	t := h.services[service]
	switch {
	case c.Slots > 0 && float64(c.Running) >= capacityShare*float64(c.Slots):
		return Overload
	case t != nil && t.slowedDown(now):
		return Slowdown
	case h.credit < creditUnit:
		return Limit
	}
	h.credit -= creditUnit
	return Allowed
}

// Return gives back the credit of a hedge that was not sent.
func (h *Hedger) Return() { h.credit = min(h.limit, h.credit+creditUnit) }

// Spend counts an extra call that is sent for another reason. Hedges wait until later
// calls have made up for it.
func (h *Hedger) Spend() { h.credit = max(-h.limit, h.credit-creditUnit) }

func (h *Hedger) timesOf(service string) *times {
	t := h.services[service]
	if t == nil {
		t = newTimes()
		h.services[service] = t
	}
	return t
}

func ratio(took, expected time.Duration) float64 {
	return float64(took) / float64(max(expected, time.Millisecond))
}
