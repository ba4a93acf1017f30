package place_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/cowslipstage/cowslipstage/coordination/place"
	"github.com/cowslipstage/cowslipstage/state/config"
)

func TestWantedByDemand(t *testing.T) {
	g := NewWithT(t)
	c := config.New()
	c.Services["a"] = &config.Service{Kind: "model", Pool: "p", Model: "m", Adapter: "a", Version: "1"}
	c.Services["b"] = &config.Service{Kind: "model", Pool: "p", Model: "m", Adapter: "b", Version: "1"}
	c.Services["other"] = &config.Service{Kind: "model", Pool: "q", Model: "m", Version: "1"}
	g.Expect(place.WantedModels(c, "p", nil)).To(Equal([]string{"m/a/1", "m/b/1"}))
	g.Expect(place.WantedModels(c, "p", map[string]float64{"m/b/1": 3})).To(Equal([]string{"m/b/1", "m/a/1"}))
}

func TestOldVersionIsUnloadedLast(t *testing.T) {
	g := NewWithT(t)
	wanted := []string{"m/a/2", "m/b/1"}
	g.Expect(place.NextPlan(wanted, []string{"m/a/1", "m/b/1"})).To(Equal(place.Plan{Load: "m/a/2"}))
	g.Expect(place.NextPlan(wanted, []string{"m/a/1", "m/a/2", "m/b/1"})).To(Equal(place.Plan{Unload: "m/a/1"}))
	g.Expect(place.NextPlan(wanted, wanted)).To(Equal(place.Plan{}))
}
