package edge

import (
	"context"
	"time"

	"github.com/cowslipstage/cowslipstage/state/answer"
)

// ownerRequest is what a caller wants followed.
type ownerRequest struct {
	// send asks the owner for the answer to a stream, or for the rest of it.
	send func(stream string) Owner
	// detach tells the owner that nobody waits at a stream any more.
	detach func(stream string)
	// readOnly says that asking can't make anything run.
	readOnly bool
}

// exchange is one answer that is followed until it is complete.
type exchange struct {
	ownerRequest
	stream string
	// unresolved holds the owners that were asked, and may run the call, with how
	// often they were asked.
	unresolved map[Owner]int
	// lastAsked is the last owner asked at each node.
	lastAsked map[string]Owner
	// mayHaveRun is set once some owner said that the call may have run there.
	mayHaveRun bool
	// gapRequested is set while text is missing and was asked for.
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

// noteMoved notes that an owner has given the program away. An owner that was asked
// more than once may have said in a lost reply that the call was touched.
func (x *exchange) noteMoved(r reply) {
	if r.Touched {
		x.mayHaveRun = true
	}
	if o := x.lastAsked[r.from]; x.unresolved[o] == 1 {
		delete(x.unresolved, o)
	}
}

// adjustRefusal turns a "not run" into "unknown" when another owner may have run the call.
func (x *exchange) adjustRefusal(r reply, p *answerWriter) *answer.Answer {
	a := r.Final
	delete(x.unresolved, x.lastAsked[r.from])
	if a.Outcome != answer.NotRun || x.readOnly || !x.mayHaveRun && len(p.text) == 0 && len(x.unresolved) == 0 {
		return a
	}
	return &answer.Answer{
		Outcome: answer.Unknown, Reason: "moved", RetryAfter: a.RetryAfter, Usage: a.Usage,
		Detail: "the program's owner changed, and an earlier one may have run the call: " + a.Detail,
	}
}

// reasonNoOwner is the reason given when no owner answered.
const reasonNoOwner = "owner"

// noAnswer speaks for owners who gave no answer.
func (x *exchange) noAnswer() *answer.Answer {
	a := &answer.Answer{Outcome: answer.Unknown, Reason: reasonNoOwner, RetryAfter: time.Second}
	a.Detail = "the program's owner gave no answer; ask again with the same key"
	if !x.readOnly && !x.mayHaveRun && len(x.lastAsked) == 0 {
		a.Outcome, a.Detail = answer.NotRun, "the program has no owner at the moment; nothing was sent"
	}
	return a
}

// movedPause lets the news of a shard's move arrive before the edge asks again.
const movedPause = 50 * time.Millisecond

// follow asks for an answer, and asks again whenever its replies stop, until
// the answer is complete. It returns nil when the caller has gone.
func (e *Edge) follow(ctx context.Context, p *answerWriter, deadline time.Time, s ownerRequest) *answer.Answer {
	id, replies := e.openStream()
	defer e.closeStream(id)
	x := &exchange{ownerRequest: s, stream: id, unresolved: map[Owner]int{}, lastAsked: map[string]Owner{}}
	if deadline.IsZero() {
		deadline = time.Now().Add(e.options.DefaultTimeout)
	}
	// The owner answers at the deadline; the edge speaks for a lost owner after it.
	end := time.NewTimer(time.Until(deadline) + 2*e.options.ResendAfter)
	defer end.Stop()
	resend := time.NewTimer(e.options.ResendAfter)
	defer resend.Stop()
	keepalive := time.NewTicker(e.options.KeepaliveInterval)
	defer keepalive.Stop()
	x.sendRequest()
	for !p.disconnected {
		select {
		case <-ctx.Done():
			p.disconnected = true
		case <-end.C:
			s.detach(id)
			return x.noAnswer()
		case <-keepalive.C:
			p.writeComment()
		case <-resend.C:
			x.sendRequest()
			resend.Reset(e.options.ResendAfter)
		case r := <-replies:
			if a := x.handleReply(r, p); a != nil {
				return a
			}
			resend.Reset(e.resendDelay(r))
		}
	}
	s.detach(id)
	return nil
}

func (e *Edge) resendDelay(r reply) time.Duration {
	if r.Moved {
		return min(movedPause, e.options.ResendAfter)
	}
	return e.options.ResendAfter
}

// handleReply takes one reply in, and returns the final answer once it is complete.
func (x *exchange) handleReply(r reply, p *answerWriter) *answer.Answer {
	if r.Moved {
		x.noteMoved(r)
		return nil
	}
	if r.Final != nil {
		return p.completeText(x.adjustRefusal(r, p))
	}
	switch p.addPiece(r.Offset, r.Text) {
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

// divergedAnswer answers a caller who has the beginning of an answer that was begun anew.
func divergedAnswer() *answer.Answer {
	return &answer.Answer{
		Outcome: answer.Unknown, Reason: "diverged", RetryAfter: time.Second,
		Detail: "the answer was begun anew; fetch it whole by its key",
	}
}
