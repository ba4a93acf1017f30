package node

import (
	"context"
	"time"

	"github.com/ThreeDotsLabs/watermill"
	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/ThreeDotsLabs/watermill/message/router/middleware"
	"github.com/cockroachdb/errors"

	"github.com/cowslipstage/cowslipstage/coordination/core"
	"github.com/cowslipstage/cowslipstage/protocol/frame"
	"github.com/cowslipstage/cowslipstage/state/call"
	"github.com/cowslipstage/cowslipstage/transport/edge"
	"github.com/cowslipstage/cowslipstage/transport/links"
)

// runControl handles events one at a time. Only its goroutine touches the core.
func (n *Node) runControl(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-n.mailbox:
			for _, a := range n.core.Step(time.Now(), e) {
				n.perform(ctx, a)
			}
		}
	}
}

// tickInterval is the time between two tick events, which drive the core's
// time-based decisions.
const tickInterval = 20 * time.Millisecond

func (n *Node) runTicks(ctx context.Context) {
	every(ctx, tickInterval, func() { n.emit(core.Ticked{}) })
}

// every calls f at once and then at each interval until ctx ends.
func every(ctx context.Context, interval time.Duration, f func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		f()
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// perform starts an action. It must not block the control goroutine.
func (n *Node) perform(ctx context.Context, action core.Action) {
	n.traceAction(time.Now(), action)
	switch a := action.(type) {
	case core.Dispatch:
		n.metrics.GetOrCreateCounter("dispatches_total").Inc()
		n.loads.beginAttempt(a.Attempt, a.Endpoint)
		n.wait.Go(n.dialer.Prepare(ctx, a))
	case core.Abort:
		n.loads.endAttempt(a.Attempt)
		n.dialer.Abort(a.Attempt)
	case core.Order:
		n.wait.Go(func() { n.dialer.SendOrder(ctx, a) })
	case core.Inquire:
		n.wait.Go(func() { n.dialer.Inquire(ctx, a) })
	case core.Append:
		n.append(a)
	case core.Reply:
		n.sendReply(a)
	case core.Release:
		n.wait.Go(func() { n.dialer.Release(ctx, a) })
	case core.HandOver:
		n.wait.Go(func() { n.handOverShard(ctx, a) })
	}
}

func (n *Node) append(a core.Append) {
	n.mu.Lock()
	o := n.journals[a.Shard]
	n.mu.Unlock()
	if o == nil || o.epoch != a.Epoch {
		n.wait.Go(func() { n.emit(core.Committed{Ref: a.Ref, Err: errJournalClosed}) })
		return
	}
	o.journal.Append(a.Records, func(err error) { n.emit(core.Committed{Ref: a.Ref, Err: err}) })
}

// errJournalClosed reports that the shard's journal is closed or belongs to
// another epoch.
var errJournalClosed = errors.New("node: the shard's journal is closed")

func (n *Node) sendReply(a core.Reply) {
	r := frame.Reply{Stream: a.To.Stream, Offset: a.Offset, Text: a.Text, Final: a.Final, Moved: a.Moved, MayHaveRun: a.MayHaveRun}
	if a.To.Node == n.settings.Node.Name {
		n.edge.Deliver(a.To.Node, r)
		return
	}
	n.send(a.To.Node, frame.TopicReply, r)
}

// send publishes a body to a node and reports whether it was queued. Receivers
// tolerate lost messages.
func (n *Node) send(to, topic string, body any) bool {
	data, err := frame.Encode(body)
	if err != nil {
		n.log.Error().Err(err).Str("topic", topic).Msg("frame not encoded")
		return false
	}
	return n.publish(to, topic, data)
}

// publish publishes an encoded body to a node and reports whether it was
// queued.
func (n *Node) publish(to, topic string, data []byte) bool {
	m := message.NewMessage("", data)
	m.Metadata.Set(links.To, to)
	return n.links.Publish(topic, m) == nil
}

// sendToOwner passes a request to the owner of its program and returns that
// owner. If the owner is unknown or not reachable, the edge is told that the
// program has moved.
func (n *Node) sendToOwner(customer, program, stream, topic string, body any) edge.Owner {
	shard := call.Shard(customer, program, n.settings.Shards.Count)
	n.mu.Lock()
	o, ok := n.owners[shard]
	n.mu.Unlock()
	local := ok && o.node == n.settings.Node.Name
	switch {
	case local:
		n.acceptRequest(o.node, body)
	case !ok || o.node == "" || !n.send(o.node, topic, body):
		n.edge.Deliver("", frame.Reply{Stream: stream, Moved: true})
		return edge.Owner{}
	}
	return edge.Owner{Node: o.node, Epoch: o.epoch}
}

// acceptRequest turns a node's request into an event for the core.
func (n *Node) acceptRequest(from string, body any) {
	switch b := body.(type) {
	case frame.Submit:
		n.traceCall(time.Now(), b.Call, "receive", "from "+from)
		n.emit(core.Submitted{Call: b.Call, From: core.Route{Node: from, Stream: b.Stream}, Partial: b.Partial})
	case frame.Ask:
		n.emit(core.AnswerRequested{
			Customer: b.Customer, Program: b.Program, Key: b.Key,
			From: core.Route{Node: from, Stream: b.Stream}, Partial: b.Partial,
		})
	case frame.Close:
		n.emit(core.CloseRequested{Customer: b.Customer, Program: b.Program, From: core.Route{Node: from, Stream: b.Stream}})
	case frame.Leave:
		n.emit(core.CallerLeft{From: core.Route{Node: from, Stream: b.Stream}})
	}
}

// subscribePeers subscribes the node to its peers' messages.
func (n *Node) subscribePeers(ctx context.Context) error {
	r, err := message.NewRouter(message.RouterConfig{}, watermill.NopLogger{})
	if err != nil {
		return errors.Wrap(err, "node: creating the message router")
	}
	r.AddMiddleware(middleware.Recoverer)
	subscribe(n, r, frame.TopicSubmit, func(from string, b frame.Submit) { n.acceptRequest(from, b) })
	subscribe(n, r, frame.TopicAsk, func(from string, b frame.Ask) { n.acceptRequest(from, b) })
	subscribe(n, r, frame.TopicClose, func(from string, b frame.Close) { n.acceptRequest(from, b) })
	subscribe(n, r, frame.TopicLeave, func(from string, b frame.Leave) { n.acceptRequest(from, b) })
	subscribe(n, r, frame.TopicReply, func(from string, b frame.Reply) { n.edge.Deliver(from, b) })
	subscribe(n, r, frame.TopicGossip, n.handleGossip)
	subscribe(n, r, frame.TopicConfigRequest, func(from string, b frame.ConfigRequest) { n.sendConfig(from, b) })
	subscribe(n, r, frame.TopicHold, n.holdBatch)
	subscribe(n, r, frame.TopicHeld, n.handleHeld)
	subscribe(n, r, frame.TopicSeal, n.sealShard)
	subscribe(n, r, frame.TopicSealed, n.handleSealed)
	subscribe(n, r, frame.TopicConfig, n.receiveConfig)
	n.router = r
	n.wait.Go(func() { _ = r.Run(ctx) })
	<-r.Running()
	return nil
}

// subscribe registers a handler for one topic. Malformed bodies are logged and
// dropped.
func subscribe[B any](n *Node, r *message.Router, topic string, handler func(from string, body B)) {
	r.AddConsumerHandler(topic, topic, n.links, func(m *message.Message) error {
		var body B
		if err := frame.Decode(m.Payload, &body); err != nil {
			n.log.Warn().Err(err).Str("topic", topic).Msg("malformed frame dropped")
			return nil
		}
		handler(m.Metadata.Get(links.From), body)
		return nil
	})
}
