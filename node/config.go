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

// configKey is the store key of the whole configuration, which is changed by
// compare-and-swap only.
const configKey = "config/head"

const (
	// watchWait is how long one watch call waits for a change.
	watchWait = 5 * time.Second
	// watchRetryInterval is the pause after a failed watch, and between two
	// checks whether this node should watch.
	watchRetryInterval = 500 * time.Millisecond
)

// watchConfig follows the configuration in the store while this node is one of
// its readers or has no configuration yet.
func (n *Node) watchConfig(ctx context.Context) {
	var since uint64
	for ctx.Err() == nil {
		if !n.isReader(time.Now(), "config") && n.currentConfig().Revision > 0 {
			sleep(ctx, watchRetryInterval)
			continue
		}
		pairs, revision, err := n.store.Watch(ctx, configKey, since, watchWait)
		if err != nil {
			if ctx.Err() == nil {
				n.log.Warn().Err(err).Msg("configuration watch failed; trying again")
			}
			sleep(ctx, watchRetryInterval)
			continue
		}
		since = revision
		for _, p := range pairs {
			n.applyConfig(p.Value)
		}
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// applyConfig puts a configuration in force if it is newer than the current
// one.
func (n *Node) applyConfig(data []byte) {
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
		case n.configApplied <- struct{}{}:
		default:
		}
		n.saveConfig(data)
		n.announce()
		n.log.Info().Uint64("revision", c.Revision).Msg("configuration in force")
		n.emit(core.Configured{Config: c})
	}
}

// recordRevision records which configuration revision a peer has in force.
func (n *Node) recordRevision(from string, revision uint64) {
	n.mu.Lock()
	n.revisions[from] = revision
	behind := revision > n.config.Revision
	n.mu.Unlock()
	if behind {
		select {
		case n.fetchWake <- struct{}{}:
		default:
		}
	}
}

// fetchInterval is the time between two requests for the configuration.
const fetchInterval = 200 * time.Millisecond

// fetchConfig fetches newer configurations from peers. Owners ask at once. The
// other nodes ask a little later, when all owners have the configuration and
// share the load of the requests.
func (n *Node) fetchConfig(ctx context.Context) {
	for tries := 0; ctx.Err() == nil; {
		select {
		case <-ctx.Done():
			return
		case <-n.fetchWake:
		case <-time.After(fetchInterval):
		}
		if !n.ownerSet(time.Now())[n.settings.Node.Name] && tries == 0 {
			sleep(ctx, fetchInterval)
		}
		sources, revision := n.newerSources()
		if len(sources) == 0 {
			tries = 0
			continue
		}
		n.send(sources[tries%len(sources)], frame.TopicConfigRequest, frame.ConfigRequest{Revision: revision})
		tries++
		select {
		case <-ctx.Done():
		case <-n.configApplied:
		case <-time.After(fetchInterval):
		}
	}
}

// newerSources returns the linked nodes with a newer configuration and the
// lowest revision worth asking for. The order of the nodes is specific to this
// node, so that requests spread over the sources.
func (n *Node) newerSources() ([]string, uint64) {
	connected := n.links.Connected()
	n.mu.Lock()
	defer n.mu.Unlock()
	var names []string
	for _, name := range connected {
		if n.revisions[name] > n.config.Revision {
			names = append(names, name)
		}
	}
	return member.Elect("ask/"+n.settings.Node.Name, names, len(names)), n.config.Revision + 1
}

// sendConfig sends the configuration to a peer that asked for it.
func (n *Node) sendConfig(from string, w frame.ConfigRequest) {
	c := n.currentConfig()
	if c.Revision < w.Revision {
		return
	}
	data, err := cbor.Marshal(c)
	if err == nil {
		data, err = frame.Compress(data)
	}
	if err != nil {
		n.log.Error().Err(err).Msg("configuration not encoded")
		return
	}
	n.send(from, frame.TopicConfig, frame.Config{Data: data})
}

// receiveConfig applies a configuration that a peer sent.
func (n *Node) receiveConfig(_ string, c frame.Config) {
	data, err := frame.Decompress(c.Data)
	if err != nil {
		n.log.Error().Err(err).Msg("unreadable configuration ignored")
		return
	}
	n.applyConfig(data)
}

// configFile is the file in the data folder that holds the configuration in
// force.
const configFile = "config.cbor"

// saveConfig writes the configuration to the data folder, if there is one, so
// that the node can start with it when neither the store nor a peer answers.
func (n *Node) saveConfig(data []byte) {
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
		n.log.Warn().Err(err).Msg("configuration not saved in the data folder")
	}
}

// loadConfig applies the configuration in the data folder. A newer one from the
// store or a peer replaces it.
func (n *Node) loadConfig() {
	if n.settings.Node.Data == "" {
		return
	}
	data, err := os.ReadFile(filepath.Join(n.settings.Node.Data, configFile))
	if err != nil {
		if !errors.Is(err, fs.ErrNotExist) {
			n.log.Warn().Err(err).Msg("saved configuration not read")
		}
		return
	}
	n.applyConfig(data)
}

// UpdateConfig replaces the configuration in the store by the one that edit
// returns for it. When the answer to a write is lost, it reads the
// configuration again and calls edit on what it finds.
func UpdateConfig(ctx context.Context, s *store.Client, edit func(*config.Config) (*config.Config, error)) (*config.Config, error) {
	for {
		old := config.New()
		p, err := s.Get(ctx, configKey)
		switch {
		case errors.Is(err, store.ErrMissing):
		case err != nil:
			return nil, err
		default:
			if err := cbor.Unmarshal(p.Value, old); err != nil {
				return nil, errors.Wrap(err, "node: decoding the configuration in the store")
			}
		}
		next, err := edit(old)
		if err != nil || next == old {
			return next, err
		}
		data, err := cbor.Marshal(next)
		if err != nil {
			return nil, errors.Wrap(err, "node: encoding the configuration")
		}
		_, err = s.Put(ctx, configKey, data, p.Version, "")
		if err == nil {
			return next, nil
		}
		if !errors.Is(err, store.ErrConflict) && !errors.Is(err, store.ErrUnknown) {
			return nil, err
		}
		// Another writer won, or the answer to this write was lost. The next
		// call of edit sees which.
		if ctx.Err() != nil {
			return nil, err
		}
	}
}
