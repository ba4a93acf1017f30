package links

import (
	"context"
	"net/http"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"

	"github.com/cowslipstage/cowslipstage/protocol/frame"
)

// ServeHTTP accepts a link from another node.
func (l *Links) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	node, err := l.authenticate(r)
	if err != nil {
		l.refuse(w, r, node, http.StatusUnauthorized, err)
		return
	}
	if !l.hasCommonVersion(r) {
		offered := strings.Join(r.Header.Values("Sec-WebSocket-Protocol"), ",")
		err := errors.Wrapf(errVersion, "offered %q, spoken %q", offered, strings.Join(l.subprotocols(), ","))
		l.refuse(w, r, node, http.StatusUpgradeRequired, err)
		return
	}
	if !l.addInbound() {
		http.Error(w, "closed", http.StatusServiceUnavailable)
		return
	}
	defer l.removeInbound()
	c, err := websocket.Accept(w, r, &websocket.AcceptOptions{Subprotocols: l.subprotocols()})
	if err != nil {
		l.log.Warn().Err(err).Str("peer", node).Msg("link not accepted")
		return
	}
	l.serve(node, c)
}

func (l *Links) refuse(w http.ResponseWriter, r *http.Request, node string, status int, err error) {
	l.meters.drops("refused").Inc()
	l.log.Warn().Err(err).Str("peer", node).Str("addr", r.RemoteAddr).Msg("link refused")
	http.Error(w, err.Error(), status)
}

// addInbound counts an accepted link, and reports false when the links are closed.
func (l *Links) addInbound() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	l.wait.Add(1)
	l.inboundLinks++
	return true
}

func (l *Links) removeInbound() {
	l.mu.Lock()
	l.inboundLinks--
	l.mu.Unlock()
	l.wait.Done()
}

// serve reads a link's messages until it fails.
func (l *Links) serve(node string, c *websocket.Conn) {
	c.SetReadLimit(int64(l.options.MaxFrameBytes) + batchBytes)
	ctx, cancel := context.WithCancel(l.context)
	var wait sync.WaitGroup
	wait.Go(func() {
		_ = l.heartbeat(ctx, node, c, nil)
		_ = c.CloseNow()
	})
	for {
		_, data, err := c.Read(ctx)
		if err != nil {
			l.log.Debug().Err(err).Str("peer", node).Msg("accepted link closed")
			break
		}
		l.markHeard(node)
		l.meters.received.bytes.Add(len(data))
		if !l.receive(node, data) {
			break
		}
	}
	cancel()
	_ = c.CloseNow()
	wait.Wait()
}

// receive delivers a message's frames. It returns false when the link must be
// closed because a frame is malformed or names another sender.
func (l *Links) receive(node string, data []byte) bool {
	for len(data) > 0 {
		f, rest, err := frame.DecodeNext(data)
		switch {
		case err != nil:
			l.meters.drops("bad").Inc()
			l.log.Warn().Err(err).Str("peer", node).Msg("bad frame; closing the link")
			return false
		case f.From != node:
			l.meters.drops("spoofed").Inc()
			l.log.Warn().Str("peer", node).Str("from", f.From).Msg("frame names another sender; closing the link")
			return false
		}
		l.meters.received.frames.Inc()
		l.deliver(f)
		data = rest
	}
	return true
}
