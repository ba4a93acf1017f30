package node

import (
	"context"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/cowslipstage/cowslipstage/coordination/core"
	"github.com/cowslipstage/cowslipstage/coordination/member"
	"github.com/cowslipstage/cowslipstage/protocol/frame"
	"github.com/cowslipstage/cowslipstage/state/config"
	"github.com/cowslipstage/cowslipstage/transport/store"
)

// headKey holds the whole configuration; it changes by compare-and-swap only.
const headKey = "config/head"

const (
	// watchWait is how long one watch call waits for a change.
	watchWait = 5 * time.Second
	// watchPause is the time between two looks whether to watch, and after a failure.
	watchPause = 500 * time.Millisecond
)

// watch follows the configuration in the store when that falls to this node.
func (n *Node) watch(ctx context.Context) {
	var since uint64
	for ctx.Err() == nil {
		if !n.reads(time.Now(), "config") && n.current().Revision > 0 {
			sleep(ctx, watchPause)
			continue
		}
		pairs, revision, err := n.store.Watch(ctx, headKey, since, watchWait)
		if err != nil {
			if ctx.Err() == nil {
				n.log.Warn().Err(err).Msg("configuration watch failed; trying again")
			}
			sleep(ctx, watchPause)
			continue
		}
		since = revision
		for _, p := range pairs {
			n.learn(p.Value)
		}
	}
}

// sleep waits until ctx ends at most.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
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
		select {
		case n.caught <- struct{}{}:
		default:
		}
		n.keepConfig(data)
		n.announce()
		n.log.Info().Uint64("revision", c.Revision).Msg("configuration in force")
		n.emit(core.Configured{Config: c})
	}
}

// hearRevision notes which configuration a peer has in force.
func (n *Node) hearRevision(from string, revision uint64) {
	n.mu.Lock()
	n.revisions[from] = revision
	behind := revision > n.config.Revision
	n.mu.Unlock()
	if behind {
		select {
		case n.behind <- struct{}{}:
		default:
		}
	}
}

// chasePause is the time between two requests for the configuration.
const chasePause = 200 * time.Millisecond

// chase fetches a newer configuration from a peer. Owners ask at once, the
// others a little later, when all owners have it and share the answering.
func (n *Node) chase(ctx context.Context) {
	for tries := 0; ctx.Err() == nil; {
		select {
		case <-ctx.Done():
			return
		case <-n.behind:
		case <-time.After(chasePause):
		}
		if !n.ownerSet(time.Now())[n.settings.Node.Name] && tries == 0 {
			sleep(ctx, chasePause)
		}
		sources, revision := n.ahead()
		if len(sources) == 0 {
			tries = 0
			continue
		}
		n.send(sources[tries%len(sources)], frame.TopicConfigRequest, frame.ConfigRequest{Revision: revision})
		tries++
		select {
		case <-ctx.Done():
		case <-n.caught:
		case <-time.After(chasePause):
		}
	}
}

// ahead returns the linked nodes with a newer configuration, in an order of
// this node's own, and the least revision that helps.
func (n *Node) ahead() ([]string, uint64) {
	live := n.links.Live()
	n.mu.Lock()
	defer n.mu.Unlock()
	var names []string
	for _, name := range live {
		if n.revisions[name] > n.config.Revision {
			names = append(names, name)
		}
	}
	return member.Elect("ask/"+n.settings.Node.Name, names, len(names)), n.config.Revision + 1
}

// want sends the configuration to a peer that lacks it.
func (n *Node) want(from string, w frame.ConfigRequest) {
	c := n.current()
	if c.Revision < w.Revision {
		return
	}
	data, err := cbor.Marshal(c)
	if err == nil {
		data, err = frame.Compress(data)
	}
	if err != nil {
		n.log.Error().Err(err).Msg("encoding the configuration")
		return
	}
	n.send(from, frame.TopicConfig, frame.Config{Data: data})
}

// given takes over a configuration that a peer sent.
func (n *Node) given(_ string, c frame.Config) {
	data, err := frame.Decompress(c.Data)
	if err != nil {
		n.log.Error().Err(err).Msg("unreadable configuration ignored")
		return
	}
	n.learn(data)
}

// configFile is where the configuration in force is kept in the data folder.
const configFile = "config.cbor"

// keepConfig writes the configuration to the data folder, if there is one, so
// that the node starts with it when neither store nor peers answer.
func (n *Node) keepConfig(data []byte) {
	folder := n.settings.Node.Data
	if folder == "" {
		return
	}
	n.files.Lock()
	defer n.files.Unlock()
	file := filepath.Join(folder, configFile)
	err := os.MkdirAll(folder, 0o750)
	if err == nil {
		err = os.WriteFile(file+".new", data, 0o600)
	}
	if err == nil {
		err = os.Rename(file+".new", file)
	}
	if err != nil {
		n.log.Warn().Err(err).Msg("configuration not kept in the data folder")
	}
}

// recall takes over the configuration kept in the data folder; a newer one
// from the store or a peer replaces it.
func (n *Node) recall() {
	if n.settings.Node.Data == "" {
		return
	}
	data, err := os.ReadFile(filepath.Join(n.settings.Node.Data, configFile))
	if err != nil {
		if !errors.Is(err, fs.ErrNotExist) {
			n.log.Warn().Err(err).Msg("kept configuration not read")
		}
		return
	}
	n.learn(data)
}

// UpdateConfig replaces the configuration in the store by what edit makes of it.
// A lost answer is resolved by reading back.
func UpdateConfig(ctx context.Context, s *store.Client, edit func(*config.Config) (*config.Config, error)) (*config.Config, error) {
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
