// Package toggle (state layer) names the mechanisms of a gate that operators can
// switch off, to find out what one is worth or whether it causes a fault. None of
// them guards a promise to callers.
package toggle

import (
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// Mechanism is one mechanism by its name in the settings.
type Mechanism string

// The mechanisms.
const (
	// Hedges sends an idempotent call to a second endpoint when the first is slow.
	Hedges Mechanism = "hedges"
	// VaultHedges asks a further vault when the first ones are slow.
	VaultHedges Mechanism = "vaulthedges"
	// Stalls keeps calls away from endpoints that send nothing.
	Stalls Mechanism = "stalls"
	// Ejection keeps calls away from endpoints that fail at this gate.
	Ejection Mechanism = "ejection"
	// Reports does so for endpoints that fail at other gates.
	Reports Mechanism = "reports"
	// Exchange counts the other gates' calls when a call is placed.
	Exchange Mechanism = "exchange"
	// Homes keeps the shared head of a prompt on some endpoints.
	Homes Mechanism = "homes"
	// Previous prefers the endpoint of the chain's previous turn.
	Previous Mechanism = "previous"
	// Connections prefers endpoints with an open connection.
	Connections Mechanism = "connections"
	// Nearness prefers endpoints in the gate's data centre.
	Nearness Mechanism = "nearness"
	// Warmup avoids endpoints that have just started.
	Warmup Mechanism = "warmup"
	// Slowness avoids endpoints whose steps take longer than usual.
	Slowness Mechanism = "slowness"
	// Speed learns how long engines take to read a prompt.
	Speed Mechanism = "speed"
	// Admission lets turns wait, or refuses them, while their endpoints have no room.
	Admission Mechanism = "admission"
	// Waiting lets turns wait for vaults that are starting.
	Waiting Mechanism = "waiting"
)

// All returns the mechanisms in the order of their names.
func All() []Mechanism {
	all := []Mechanism{
		Hedges, VaultHedges, Stalls, Ejection, Reports, Exchange, Homes, Previous, Connections, Nearness, Warmup, Slowness, Speed, Waiting,
		Admission,
	}
	slices.Sort(all)
	return all
}

// ErrUnknown means that a name is not that of a mechanism.
var ErrUnknown = errors.New("toggle: no such mechanism")

// Set holds the mechanisms that are switched off. The zero value switches off none.
type Set struct{ off map[Mechanism]bool }

// Parse reads names separated by commas. An empty text switches off none.
func Parse(text string) (Set, error) {
	s := Set{off: map[Mechanism]bool{}}
	if text == "" {
		return s, nil
	}
	for _, name := range strings.Split(text, ",") {
		m := Mechanism(strings.TrimSpace(name))
		if !slices.Contains(All(), m) {
			return Set{}, errors.Wrapf(ErrUnknown, "%q, allowed are %v", name, All())
		}
		s.off[m] = true
	}
	return s, nil
}

// On reports whether a mechanism is switched on.
func (s Set) On(m Mechanism) bool { return !s.off[m] }
