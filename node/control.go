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

// control is the one goroutine of the control state.
func (n *Node) control(ctx context.Context) {
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

// tickInterval is how often time-driven decisions are looked at.
const tickInterval = 20 * time.Millisecond

func (n *Node) tick(ctx context.Context) { every(ctx, tickInterval, func() { n.emit(core.Ticked{}) }) }

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

// perform starts an action; it must not block the control goroutine.
func (n *Node) perform(ctx context.Context, action core.Action) {
	n.noteAction(time.Now(), action)
	switch a := action.(type) {
	case core.Dispatch:
		n.metrics.GetOrCreateCounter("dispatches_total").Inc()
		n.shares.begin(a.Attempt, a.Endpoint)
		n.wait.Go(n.dialer.Prepare(ctx, a))
	case core.Abort:
		n.shares.end(a.Attempt)
		n.dialer.Abort(a.Attempt)
	case core.Order:
		n.wait.Go(func() { n.dialer.Order(ctx, a) })
	case core.Inquire:
		n.wait.Go(func() { n.dialer.Inquire(ctx, a) })
	case core.Append:
		n.append(a)
	case core.Reply:
		n.reply(a)
	case core.Release:
		n.wait.Go(func() { n.dialer.Release(ctx, a) })
	case core.HandOver:
		n.wait.Go(func() { n.yield(ctx, a) })
	}
}

func (n *Node) append(a core.Append) {
	n.mu.Lock()
	o := n.journals[a.Shard]
	n.mu.Unlock()
	if o == nil || o.epoch != a.Epoch {
		n.wait.Go(func() { n.emit(core.Committed{Ref: a.Ref, Err: errClosed}) })
		return
	}
	o.journal.Append(a.Records, func(err error) { n.emit(core.Committed{Ref: a.Ref, Err: err}) })
}

// errClosed says that the shard's journal is closed.
var errClosed = errors.New("node: the shard's journal is closed")

func (n *Node) reply(a core.Reply) {
	r := frame.Reply{Stream: a.To.Stream, Offset: a.Offset, Text: a.Text, Final: a.Final, Moved: a.Moved, MayHaveRun: a.MayHaveRun}
	if a.To.Node == n.settings.Node.Name {
		n.edge.Deliver(a.To.Node, r)
		return
	}
	n.send(a.To.Node, frame.TopicReply, r)
}

// send publishes a body to a node; the receiver copes with loss.
func (n *Node) send(to, topic string, body any) bool {
	data, err := frame.Encode(body)
	if err != nil {
		n.log.Error().Err(err).Str("topic", topic).Msg("encoding a frame")
		return false
	}
	return n.post(to, topic, data)
}

// post publishes an encoded body to a node.
func (n *Node) post(to, topic string, data []byte) bool {
	m := message.NewMessage("", data)
	m.Metadata.Set(links.To, to)
	return n.links.Publish(topic, m) == nil
}

// toOwner takes a request to the owner of its program, and returns the owner
// that it was sent to.
func (n *Node) toOwner(customer, program, stream, topic string, body any) edge.Owner {
	shard := call.Shard(customer, program, n.settings.Shards.Count)
	n.mu.Lock()
	o, ok := n.owners[shard]
	n.mu.Unlock()
	local := ok && o.node == n.settings.Node.Name
	switch {
	case local:
		n.accept(o.node, body)
	case !ok || o.node == "" || !n.send(o.node, topic, body):
		n.edge.Deliver("", frame.Reply{Stream: stream, Moved: true})
		return edge.Owner{}
	}
	return edge.Owner{Node: o.node, Epoch: o.epoch}
}

// accept turns a node's request into an event.
func (n *Node) accept(from string, body any) {
	switch b := body.(type) {
	case frame.Submit:
		n.noteCall(time.Now(), b.Call, "receive", "from "+from)
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

// route subscribes the node to its peers' messages.
func (n *Node) route(ctx context.Context) error {
	r, err := message.NewRouter(message.RouterConfig{}, watermill.NopLogger{})
	if err != nil {
		return errors.Wrap(err, "node: router")
	}
	r.AddMiddleware(middleware.Recoverer)
	handle(n, r, frame.TopicSubmit, func(from string, b frame.Submit) { n.accept(from, b) })
	handle(n, r, frame.TopicAsk, func(from string, b frame.Ask) { n.accept(from, b) })
	handle(n, r, frame.TopicClose, func(from string, b frame.Close) { n.accept(from, b) })
	handle(n, r, frame.TopicLeave, func(from string, b frame.Leave) { n.accept(from, b) })
	handle(n, r, frame.TopicReply, func(from string, b frame.Reply) { n.edge.Deliver(from, b) })
	handle(n, r, frame.TopicGossip, n.hear)
	handle(n, r, frame.TopicConfigRequest, func(from string, b frame.ConfigRequest) { n.want(from, b) })
	handle(n, r, frame.TopicHold, n.keep)
	handle(n, r, frame.TopicHeld, n.held)
	handle(n, r, frame.TopicSeal, n.seal)
	handle(n, r, frame.TopicSealed, n.sealed)
	handle(n, r, frame.TopicConfig, n.given)
	n.router = r
	n.wait.Go(func() { _ = r.Run(ctx) })
	<-r.Running()
	return nil
}

// handle subscribes to one topic; malformed bodies are logged and dropped.
func handle[B any](n *Node, r *message.Router, topic string, do func(from string, body B)) {
	r.AddConsumerHandler(topic, topic, n.links, func(m *message.Message) error {
		var body B
		if err := frame.Decode(m.Payload, &body); err != nil {
			n.log.Warn().Err(err).Str("topic", topic).Msg("bad frame dropped")
			return nil
		}
		do(m.Metadata.Get(links.From), body)
		return nil
	})
}
