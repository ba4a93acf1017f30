// Package store (transport layer) is the client of nodes for the platform's key-value
// service. Gates and vaults use the client of package platform.
package store

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cowslipstage/cowslipstage/transport/whole"
)

// Errors that a failed call's error is marked with.
var (
	// ErrConflict means that the key's version was not the expected one; nothing was written.
	ErrConflict = errors.New("store: version conflict")
	// ErrMissing means that the key or lease does not exist.
	ErrMissing = errors.New("store: no such key")
	// ErrUnknown means that the call may or may not have taken effect.
	ErrUnknown = errors.New("store: no answer")
)

// Pair is one key with its value.
type Pair struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Version is the store's revision at the key's last write; it only rises.
	Version uint64 `json:"version"`
	// Deleted is set in a watch for a removed key.
	Deleted bool `json:"deleted,omitempty"`
}

// Client calls one key-value service. It is safe for concurrent use.
type Client struct {
	baseURL string
	http    *http.Client
}

// New returns a client of the service at addr (IP:port). Each call except Watch
// is bounded by timeout.
func New(addr string, timeout time.Duration) *Client {
	transport := &http.Transport{DialContext: whole.Dialer(&net.Dialer{}), MaxIdleConnsPerHost: 64, IdleConnTimeout: time.Minute}
	return &Client{baseURL: "http://" + addr, http: &http.Client{Timeout: timeout, Transport: whole.Transport(transport)}}
}

// Get returns a key's pair, or ErrMissing.
func (c *Client) Get(ctx context.Context, key string) (Pair, error) {
	var p Pair
	err := c.post(ctx, c.http, "/get", struct {
		Key string `json:"key"`
	}{key}, &p)
	return p, err
}

// Put writes a key if its version is still expectedVersion (0: the key must not
// exist) and returns the new version. A key with a lease is removed when the lease
// lapses; "" means no lease.
func (c *Client) Put(ctx context.Context, key string, value []byte, expectedVersion uint64, lease string) (uint64, error) {
	var reply struct {
		Version uint64 `json:"version"`
	}
	err := c.post(ctx, c.http, "/put", struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Expect uint64 `json:"expect"`
		Lease  string `json:"lease"`
	}{key, value, expectedVersion, lease}, &reply)
	return reply.Version, err
}

// Delete removes a key if its version is still expectedVersion.
func (c *Client) Delete(ctx context.Context, key string, expectedVersion uint64) error {
	return c.post(ctx, c.http, "/delete", struct {
		Key    string `json:"key"`
		Expect uint64 `json:"expect"`
	}{key, expectedVersion}, nil)
}

// List returns the pairs whose keys begin with prefix and are greater than after,
// ordered by key. It returns at most limit pairs (0: no limit) and about a megabyte.
func (c *Client) List(ctx context.Context, prefix, after string, limit int) ([]Pair, error) {
	var reply struct {
		Pairs []Pair `json:"pairs"`
	}
	err := c.post(ctx, c.http, "/list", struct {
		Prefix string `json:"prefix"`
		After  string `json:"after"`
		Limit  int    `json:"limit"`
	}{prefix, after, limit}, &reply)
	return reply.Pairs, err
}

// Watch waits, for at most wait, until a key with the prefix changes after
// revision since. It returns the changes and the revision for the next Watch.
func (c *Client) Watch(ctx context.Context, prefix string, since uint64, wait time.Duration) ([]Pair, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+c.http.Timeout)
	defer cancel()
	var reply struct {
		Pairs    []Pair `json:"pairs"`
		Revision uint64 `json:"revision"`
	}
	watchClient := &http.Client{Transport: c.http.Transport}
	err := c.post(ctx, watchClient, "/watch", struct {
		Prefix string `json:"prefix"`
		Since  uint64 `json:"since"`
		Wait   int64  `json:"wait"`
	}{prefix, since, wait.Milliseconds()}, &reply)
	return reply.Pairs, reply.Revision, err
}

// Grant creates a lease that lapses after ttl without a Renew.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (string, error) {
	var reply struct {
		Lease string `json:"lease"`
	}
	err := c.post(ctx, c.http, "/grant", struct {
		TTL int64 `json:"ttl"`
	}{ttl.Milliseconds()}, &reply)
	return reply.Lease, err
}

// Renew extends a lease by its ttl, or returns ErrMissing once it has lapsed.
func (c *Client) Renew(ctx context.Context, lease string) error {
	return c.post(ctx, c.http, "/renew", struct {
		Lease string `json:"lease"`
	}{lease}, nil)
}

// Revoke ends a lease and removes its keys.
func (c *Client) Revoke(ctx context.Context, lease string) error {
	return c.post(ctx, c.http, "/revoke", struct {
		Lease string `json:"lease"`
	}{lease}, nil)
}

// maxReplyBytes bounds a reply's size in bytes.
const maxReplyBytes = 64 << 20

func (c *Client) post(ctx context.Context, client *http.Client, path string, body, reply any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "store: encoding")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.baseURL+path, bytes.NewReader(data))
	if err != nil {
		return errors.Wrap(err, "store: request")
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return errors.Mark(errors.Wrapf(err, "store: %s", path), ErrUnknown)
	}
	defer func() { _ = response.Body.Close() }()
	return decode(path, response, reply)
}

func decode(path string, response *http.Response, reply any) error {
	data, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return errors.Mark(errors.Wrapf(err, "store: %s", path), ErrUnknown)
	}
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusConflict:
		return errors.Mark(errors.Newf("store: %s: version conflict", path), ErrConflict)
	case http.StatusNotFound:
		return errors.Mark(errors.Newf("store: %s: not found", path), ErrMissing)
	default:
		return errors.Mark(errors.Newf("store: %s: status %d", path, response.StatusCode), ErrUnknown)
	}
	if reply == nil {
		return nil
	}
	if err := json.Unmarshal(data, reply); err != nil {
		return errors.Mark(errors.Wrapf(err, "store: %s", path), ErrUnknown)
	}
	return nil
}
