package node

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/cowslipstage/cowslipstage/coordination/core"
	"github.com/cowslipstage/cowslipstage/protocol/frame"
	"github.com/cowslipstage/cowslipstage/state/config"
	"github.com/cowslipstage/cowslipstage/transport/store"
)

// headKey holds the whole configuration; it changes by compare-and-swap only.
const headKey = "config/head"

// watchWait is how long one watch call waits for a change.
const watchWait = 20 * time.Second

// watch follows the configuration in the store.
func (n *Node) watch(ctx context.Context) {
	var since uint64
	for ctx.Err() == nil {
		pairs, revision, err := n.store.Watch(ctx, headKey, since, watchWait)
		if err != nil {
			n.log.Warn().Err(err).Msg("configuration watch failed; trying again")
			select {
			case <-ctx.Done():
			case <-time.After(500 * time.Millisecond):
			}
			continue
		}
		since = revision
		for _, p := range pairs {
			n.learn(p.Value)
		}
	}
}

// learn takes over a configuration unless it is old.
func (n *Node) learn(data []byte) {
	c := config.New()
	if err := cbor.Unmarshal(data, c); err != nil {
		n.log.Error().Err(err).Msg("unreadable configuration ignored")
		return
	}
	n.mu.Lock()
	newer := c.Revision > n.config.Revision
	if newer {
		n.config = c
	}
	n.mu.Unlock()
	if newer {
		n.log.Info().Uint64("revision", c.Revision).Msg("configuration in force")
		n.emit(core.Configured{Config: c})
	}
}

// want sends the configuration to a peer that lacks it.
func (n *Node) want(from string, w frame.Want) {
	c := n.current()
	if c.Revision < w.Revision {
		return
	}
	data, err := cbor.Marshal(c)
	if err != nil {
		n.log.Error().Err(err).Msg("encoding the configuration")
		return
	}
	n.send(from, frame.TopicConfig, frame.Config{Data: data})
}

// Change replaces the configuration in the store by what edit makes of it.
// A lost answer is resolved by reading back.
func Change(ctx context.Context, s *store.Client, edit func(*config.Config) (*config.Config, error)) (*config.Config, error) {
	for {
		old := config.New()
		p, err := s.Get(ctx, headKey)
		switch {
		case errors.Is(err, store.ErrMissing):
		case err != nil:
			return nil, err
		default:
			if err := cbor.Unmarshal(p.Value, old); err != nil {
				return nil, errors.Wrap(err, "node: configuration in the store")
			}
		}
		next, err := edit(old)
		if err != nil || next == old {
			return next, err
		}
		data, err := cbor.Marshal(next)
		if err != nil {
			return nil, errors.Wrap(err, "node: encoding")
		}
		_, err = s.Put(ctx, headKey, data, p.Version, "")
		if err == nil {
			return next, nil
		}
		if !errors.Is(err, store.ErrConflict) && !errors.Is(err, store.ErrUnknown) {
			return nil, err
		}
		// Another writer won, or this write's answer was lost: edit sees which when it reads again.
		if ctx.Err() != nil {
			return nil, err
		}
	}
}
