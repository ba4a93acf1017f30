package dialer

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cowslipstage/cowslipstage/coordination/core"
)

// orderTimeout bounds an order; loading a model takes its time.
const orderTimeout = 5 * time.Minute

// Order gives an engine an order, and reports its end.
func (d *Dialer) Order(ctx context.Context, o core.Order) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	d.emit(core.Ordered{Endpoint: o.Endpoint, Err: d.order(ctx, o)})
}

func (d *Dialer) order(ctx context.Context, o core.Order) error {
	model, rest, _ := strings.Cut(o.Model, "/")
	adapter, version, _ := strings.Cut(rest, "/")
	body, err := json.Marshal(struct {
		Kind    string `json:"kind"`
		Epoch   uint64 `json:"epoch"`
		Role    string `json:"role,omitempty"`
		Model   string `json:"model,omitempty"`
		Adapter string `json:"adapter,omitempty"`
		Version string `json:"version,omitempty"`
	}{o.Kind, o.Epoch, o.Role, model, adapter, version})
	if err != nil {
		return errors.Wrap(err, "dialer: encoding")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+o.Target.Addr+"/orders", bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "dialer: request")
	}
	response, err := d.pooled.Do(request)
	if err != nil {
		return errors.Mark(errors.Wrap(err, "dialer: order"), ErrEndpoint)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errors.Mark(errors.Newf("dialer: order %s: status %d", o.Kind, response.StatusCode), ErrEndpoint)
	}
	return nil
}
