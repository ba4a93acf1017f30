// Package hosts (transport layer) reads the platform's list of live and leaving
// hosts. The list lags behind the actual state.
package hosts

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cowslipstage/cowslipstage/transport/whole"
)

// ErrList means that the list could not be read.
var ErrList = errors.New("hosts: reading the list failed")

// The states of a host in the list.
const (
	Live    = "live"
	Leaving = "leaving"
	Gone    = "gone"
)

// Client reads one host list. It is safe for concurrent use.
type Client struct {
	url  string
	http *http.Client
}

// New returns a client of the list at addr (IP:port). timeout bounds each read.
func New(addr string, timeout time.Duration) *Client {
	transport := whole.Transport(&http.Transport{DialContext: whole.Dialer(&net.Dialer{})})
	return &Client{url: "http://" + addr + "/hosts", http: &http.Client{Timeout: timeout, Transport: transport}}
}

// maxListBytes bounds the size of the list.
const maxListBytes = 4 << 20

// Unavailable returns the state of each host that is not live: Leaving or Gone, by
// host name. Unknown states, and values that are none, count as leaving.
func (c *Client) Unavailable(ctx context.Context) (map[string]string, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, nil)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "hosts: request"), ErrList)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "hosts: read"), ErrList)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Mark(errors.Newf("hosts: status %d", response.StatusCode), ErrList)
	}
	var states map[string]json.RawMessage
	if err := json.NewDecoder(io.LimitReader(response.Body, maxListBytes)).Decode(&states); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "hosts: decoding"), ErrList)
	}
	unavailable := map[string]string{}
	for name, value := range states {
		var state string
		if err := json.Unmarshal(value, &state); err != nil {
			state = ""
		}
		switch state {
		case Live:
		case Gone:
			unavailable[name] = Gone
		default:
			unavailable[name] = Leaving
		}
	}
	return unavailable, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }
