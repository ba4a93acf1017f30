package dialer

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cowslipstage/cowslipstage/coordination/core"
)

// copyTimeout bounds the copy of a conversation's cache between two engines. A
// slower copy takes longer than recomputing the cache.
const copyTimeout = 3 * time.Second

// copyCache copies a conversation's cache to the call's target engine.
func (d *Dialer) copyCache(ctx context.Context, a core.Dispatch) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	err := d.exportImport(ctx, a)
	d.emit(core.CacheCopied{Attempt: a.Attempt, Duration: time.Since(began), Err: err})
}

func (d *Dialer) exportImport(ctx context.Context, a core.Dispatch) error {
	order := struct {
		Kind          string          `json:"kind"`
		Program       string          `json:"program"`
		Agents        []string        `json:"agents"`
		Epoch         uint64          `json:"epoch"`
		Conversations json.RawMessage `json:"talks,omitempty"`
	}{Kind: "export", Program: a.Call.QualifiedProgram(), Agents: []string{a.Call.Agent}, Epoch: a.Epoch}
	data, err := d.postOrder(ctx, a.Source.Addr, order)
	if err != nil {
		return err
	}
	var exported struct {
		Conversations json.RawMessage `json:"talks"`
	}
	if err := json.Unmarshal(data, &exported); err != nil {
		return errors.Mark(errors.Wrap(err, "dialer: export"), ErrEndpoint)
	}
	order.Kind, order.Conversations = "import", exported.Conversations
	_, err = d.postOrder(ctx, a.Target.Addr, order)
	return err
}

// postOrder sends an order to an engine and returns the response body.
func (d *Dialer) postOrder(ctx context.Context, addr string, order any) ([]byte, error) {
	body, err := json.Marshal(order)
	if err != nil {
		return nil, errors.Wrap(err, "dialer: encoding")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/orders", bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "dialer: request")
	}
	response, err := d.singleUse.Do(request) // nothing in an answer to an order shows whose it is
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "dialer: order"), ErrEndpoint)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Mark(errors.Newf("dialer: order: status %d", response.StatusCode), ErrEndpoint)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, d.options.MaxAnswerBytes))
	return data, errors.Wrap(err, "dialer: order")
}
