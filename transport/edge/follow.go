package edge

import (
	"context"
	"time"

	"github.com/cowslipstage/cowslipstage/state/answer"
)

// ownerRequest is a request to a program's owner that is resent until answered.
type ownerRequest struct {
	// send requests the answer, or the rest of it, for a stream.
	send func(stream string) Owner
	// detach tells the owner that the stream's caller no longer waits.
	detach func(stream string)
	// readOnly is set for requests that can't start a call.
	readOnly bool
}

// exchange tracks one request until its answer is complete.
type exchange struct {
	ownerRequest
	stream string
	// unresolved counts, by owner, the requests after which the owner may still run
	// the call.
	unresolved map[Owner]int
	// lastAsked holds, by node, the owner to which the last request was sent.
	lastAsked map[string]Owner
	// mayHaveRun is set once an owner reports that the call may have run there.
	mayHaveRun bool
	// gapRequested is set while a request for missing text is outstanding.
	gapRequested bool
}

func (x *exchange) sendRequest() {
	o := x.send(x.stream)
	if o == (Owner{}) {
		return
	}
	x.unresolved[o]++
	x.lastAsked[o.Node] = o
}

// noteMoved records that an owner no longer owns the program. An owner that was
// sent several requests stays unresolved: a lost reply may have reported that the
// call may have run.
func (x *exchange) noteMoved(r reply) {
	if r.MayHaveRun {
		x.mayHaveRun = true
	}
	if o := x.lastAsked[r.from]; x.unresolved[o] == 1 {
		delete(x.unresolved, o)
	}
}

// adjustRefusal returns the final answer, with "not run" changed to "unknown" if
// another owner may have run the call.
func (x *exchange) adjustRefusal(r reply, writer *answerWriter) *answer.Answer {
	a := r.Final
	delete(x.unresolved, x.lastAsked[r.from])
	if a.Outcome != answer.NotRun || x.readOnly || !x.mayHaveRun && len(writer.text) == 0 && len(x.unresolved) == 0 {
		return a
	}
	return &answer.Answer{
		Outcome: answer.Unknown, Reason: "moved", RetryAfter: a.RetryAfter, Usage: a.Usage,
		Detail: "the program's owner changed, and an earlier one may have run the call: " + a.Detail,
	}
}

// reasonNoOwner is the reason of the answer when no owner replied.
const reasonNoOwner = "owner"

// noAnswer returns the answer for a request that no owner answered.
func (x *exchange) noAnswer() *answer.Answer {
	a := &answer.Answer{Outcome: answer.Unknown, Reason: reasonNoOwner, RetryAfter: time.Second}
	a.Detail = "the program's owner gave no answer; ask again with the same key"
	if !x.readOnly && !x.mayHaveRun && len(x.lastAsked) == 0 {
		a.Outcome, a.Detail = answer.NotRun, "the program has no owner at the moment; nothing was sent"
	}
	return a
}

// movedPause gives the shard's new owner time to become known before a resend.
const movedPause = 50 * time.Millisecond

// follow sends a request and resends it whenever replies stop, until the answer
// is complete. It returns nil if the caller has disconnected.
func (e *Edge) follow(ctx context.Context, writer *answerWriter, deadline time.Time, request ownerRequest) *answer.Answer {
	id, replies := e.openStream()
	defer e.closeStream(id)
	x := &exchange{ownerRequest: request, stream: id, unresolved: map[Owner]int{}, lastAsked: map[string]Owner{}}
	if deadline.IsZero() {
		deadline = time.Now().Add(e.options.DefaultTimeout)
	}
	// The owner itself answers at the deadline. The edge gives up only after that.
	giveUp := time.NewTimer(time.Until(deadline) + 2*e.options.ResendAfter)
	defer giveUp.Stop()
	resend := time.NewTimer(e.options.ResendAfter)
	defer resend.Stop()
	keepalive := time.NewTicker(e.options.KeepaliveInterval)
	defer keepalive.Stop()
	x.sendRequest()
	for !writer.disconnected {
		select {
		case <-ctx.Done():
			writer.disconnected = true
		case <-giveUp.C:
			request.detach(id)
			return x.noAnswer()
		case <-keepalive.C:
			writer.writeComment()
		case <-resend.C:
			x.sendRequest()
			resend.Reset(e.options.ResendAfter)
		case r := <-replies:
			if a := x.handleReply(r, writer); a != nil {
				return a
			}
			resend.Reset(e.resendDelay(r))
		}
	}
	request.detach(id)
	return nil
}

func (e *Edge) resendDelay(r reply) time.Duration {
	if r.Moved {
		return min(movedPause, e.options.ResendAfter)
	}
	return e.options.ResendAfter
}

// handleReply processes one reply and returns the final answer once it is complete.
func (x *exchange) handleReply(r reply, writer *answerWriter) *answer.Answer {
	if r.Moved {
		x.noteMoved(r)
		return nil
	}
	if r.Final != nil {
		return writer.completeText(x.adjustRefusal(r, writer))
	}
	switch writer.addPiece(r.Offset, r.Text) {
	case pieceGap:
		if !x.gapRequested {
			x.gapRequested = true
			x.sendRequest()
		}
	case pieceConflict:
		return divergedAnswer()
	default:
		x.gapRequested = false
	}
	return nil
}

// divergedAnswer is the answer for a stream whose sent text differs from a rerun's.
func divergedAnswer() *answer.Answer {
	return &answer.Answer{
		Outcome: answer.Unknown, Reason: "diverged", RetryAfter: time.Second,
		Detail: "the answer was begun anew; fetch it whole by its key",
	}
}
