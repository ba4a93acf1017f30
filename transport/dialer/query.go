package dialer

import (
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"

	"github.com/cowslipstage/cowslipstage/coordination/core"
	"github.com/cowslipstage/cowslipstage/state/load"
)

// inquiryTimeout bounds a query for a call's outcome.
const inquiryTimeout = 2 * time.Second

// Inquire queries an endpoint for the outcome of a call and reports InquiryAnswered.
func (d *Dialer) Inquire(ctx context.Context, q core.Inquire) {
	ctx, cancel := context.WithTimeout(ctx, inquiryTimeout)
	defer cancel()
	answered := core.InquiryAnswered{Inquiry: q.Inquiry}
	if status, body, err := d.fetchOutcome(ctx, q); err == nil {
		answered.Found, answered.Status, answered.Body = true, status, body
	}
	d.emit(answered)
}

func (d *Dialer) fetchOutcome(ctx context.Context, q core.Inquire) (int, []byte, error) {
	address := "http://" + q.Target.Addr + "/v1/outcome/" + url.PathEscape(q.Call.Key)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return 0, nil, errors.Wrap(err, "dialer: request")
	}
	request.Header.Set("X-Program", q.Call.QualifiedProgram())
	response, err := d.singleUse.Do(request) // nothing in an outcome shows whose it is
	if err != nil {
		return 0, nil, errors.Mark(errors.Wrap(err, "dialer: outcome"), ErrEndpoint)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return 0, nil, errors.Mark(errors.Newf("dialer: outcome: status %d", response.StatusCode), ErrEndpoint)
	}
	body, err := d.readWhole(response)
	if err == nil && !json.Valid(body) {
		err = errors.Mark(errors.New("dialer: outcome: body is not JSON"), ErrEndpoint)
	}
	return response.StatusCode, body, err
}

// shortOrderTimeout bounds orders that load no model, and cache listings.
const shortOrderTimeout = 5 * time.Second

// Release orders an engine to drop a program's cache, or that of the named agents.
// It reports Released once the engine confirms that the whole program is dropped.
func (d *Dialer) Release(ctx context.Context, r core.Release) {
	ctx, cancel := context.WithTimeout(ctx, shortOrderTimeout)
	defer cancel()
	_, err := d.postOrder(ctx, r.Target.Addr, struct {
		Kind    string   `json:"kind"`
		Program string   `json:"program"`
		Agents  []string `json:"agents,omitempty"`
		Epoch   uint64   `json:"epoch"`
	}{"release", r.Customer + "/" + r.Program, r.Agents, r.Epoch})
	if err == nil && len(r.Agents) == 0 {
		d.emit(core.Released{Endpoint: r.Endpoint, Customer: r.Customer, Program: r.Program})
	}
}

// FetchLoad returns an endpoint's load report.
func (d *Dialer) FetchLoad(ctx context.Context, addr string) (load.Report, error) {
	var report load.Report
	err := d.getJSON(ctx, addr, "/load", &report)
	return report, err
}

// getJSON fetches a path and decodes the JSON response into target.
func (d *Dialer) getJSON(ctx context.Context, addr, path string, target any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+path, nil)
	if err != nil {
		return errors.Wrap(err, "dialer: request")
	}
	response, err := d.pooled.Do(request)
	if err != nil {
		return errors.Mark(errors.Wrapf(err, "dialer: GET %s", path), ErrEndpoint)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := d.readWhole(response)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return errors.Mark(errors.Newf("dialer: GET %s: status %d", path, response.StatusCode), ErrEndpoint)
	}
	if err := json.Unmarshal(data, target); err != nil {
		return errors.Mark(errors.Wrapf(err, "dialer: GET %s", path), ErrEndpoint)
	}
	return nil
}

// ListPrograms fetches the programs that an engine caches and reports ProgramsListed.
func (d *Dialer) ListPrograms(ctx context.Context, endpoint, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, shortOrderTimeout)
	defer cancel()
	var programs map[string]int
	if err := d.getJSON(ctx, addr, "/cache", &programs); err != nil {
		return err
	}
	d.emit(core.ProgramsListed{Endpoint: endpoint, Programs: slices.Sorted(maps.Keys(programs))})
	return nil
}

// cacheEvent is one cache event of an engine.
type cacheEvent struct {
	Serial  uint64 `json:"serial"`
	Program string `json:"program"`
	Agent   string `json:"agent"`
	Tokens  int    `json:"tokens"`
}

const (
	// eventsTimeout bounds one long poll for cache events.
	eventsTimeout = 15 * time.Second
	// maxEventsBackoff bounds the pause after a failed poll.
	maxEventsBackoff = 5 * time.Second
)

// FollowEvents reports an engine's cache events as PrefixCached until ctx ends.
func (d *Dialer) FollowEvents(ctx context.Context, endpoint, addr string) {
	retryBackoff := backoff.NewExponentialBackOff()
	retryBackoff.MaxInterval = maxEventsBackoff
	for since := uint64(0); ctx.Err() == nil; {
		next, err := d.fetchEvents(ctx, endpoint, addr, since)
		if err == nil {
			since = next
			retryBackoff.Reset()
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(retryBackoff.NextBackOff()):
		}
	}
}

// fetchEvents polls for events after a serial number and returns the last serial.
func (d *Dialer) fetchEvents(ctx context.Context, endpoint, addr string, since uint64) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, eventsTimeout)
	defer cancel()
	var page struct {
		Serial uint64       `json:"serial"`
		Events []cacheEvent `json:"events"`
	}
	if err := d.getJSON(ctx, addr, "/events?since="+strconv.FormatUint(since, 10), &page); err != nil {
		return since, err
	}
	if page.Serial < since {
		// The engine restarted, and its serial numbers start from one again.
		return 0, nil
	}
	for _, e := range page.Events {
		customer, program, ok := strings.Cut(e.Program, "/")
		if !ok {
			continue
		}
		d.emit(core.PrefixCached{
			Endpoint: endpoint, Serial: e.Serial, Customer: customer, Program: program,
			Agent: e.Agent, Tokens: e.Tokens,
		})
		since = max(since, e.Serial)
	}
	return since, nil
}
