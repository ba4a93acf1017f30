// Package place (coordination layer) decides which models an engine should
// have in memory.
package place

import (
	"slices"

	"github.com/cowslipstage/cowslipstage/state/config"
)

// Plan is the next change of one engine's models. Empty names change nothing.
type Plan struct {
	// Load is the model to load.
	Load string
	// Unload is the model to unload.
	Unload string
}

// ModelName returns the name that engines use for a model with its adapter and
// version.
func ModelName(v *config.Service) string { return v.Model + "/" + v.Adapter + "/" + v.Version }

// WantedModels returns the models that a pool's services need, in descending
// order of demand. demand holds the number of calls by model.
func WantedModels(c *config.Config, pool string, demand map[string]float64) []string {
	var names []string
	for _, v := range c.Services {
		if v.Kind != "model" || v.Pool != pool || v.Model == "" {
			continue
		}
		if n := ModelName(v); !slices.Contains(names, n) {
			names = append(names, n)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		switch {
		case demand[a] != demand[b] && demand[a] > demand[b]:
			return -1
		case demand[a] != demand[b]:
			return 1
		case a < b:
			return -1
		}
		return 1
	})
	return names
}

// NextPlan returns the next change for an engine that holds some models. A
// model that is no longer wanted is unloaded only after all wanted ones are
// loaded, so that a new version is available before the old one is unloaded.
func NextPlan(wanted, held []string) Plan {
	for _, n := range wanted {
		if !slices.Contains(held, n) {
			return Plan{Load: n}
		}
	}
	for _, n := range held {
		if !slices.Contains(wanted, n) {
			return Plan{Unload: n}
		}
	}
	return Plan{}
}
