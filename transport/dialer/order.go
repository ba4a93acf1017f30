package dialer

import (
	"context"
	"strings"
	"time"

	"github.com/cowslipstage/cowslipstage/coordination/core"
)

// orderTimeout bounds an order. Loading a model takes minutes.
const orderTimeout = 5 * time.Minute

// SendOrder sends an order to an engine and reports its end as OrderEnded.
func (d *Dialer) SendOrder(ctx context.Context, o core.Order) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	d.emit(core.OrderEnded{Endpoint: o.Endpoint, Err: d.postEngineOrder(ctx, o)})
}

func (d *Dialer) postEngineOrder(ctx context.Context, o core.Order) error {
	model, rest, _ := strings.Cut(o.Model, "/")
	adapter, version, _ := strings.Cut(rest, "/")
	_, err := d.postOrder(ctx, o.Target.Addr, struct {
		Kind    string `json:"kind"`
		Epoch   uint64 `json:"epoch"`
		Role    string `json:"role,omitempty"`
		Model   string `json:"model,omitempty"`
		Adapter string `json:"adapter,omitempty"`
		Version string `json:"version,omitempty"`
	}{o.Kind, o.Epoch, o.Role, model, adapter, version})
	return err
}
