package edge

import (
	"context"
	"time"

	"github.com/cowslipstage/cowslipstage/state/answer"
)

// subject is what a caller wants followed.
type subject struct {
	// ask asks the owner for the answer to a stream, or for the rest of it.
	ask func(stream string) Owner
	// leave tells the owner that nobody waits at a stream any more.
	leave func(stream string)
	// reads says that asking can't make anything run.
	reads bool
}

// exchange is one answer that is followed until it is complete.
type exchange struct {
	subject
	stream string
	// doubtful holds the owners that were asked, and may run the call, with how
	// often they were asked.
	doubtful map[Owner]int
	// newest is the last owner asked at each node.
	newest map[string]Owner
	// touched is set once some owner said that the call may have run there.
	touched bool
	// missed is set while text is missing and was asked for.
	missed bool
}

func (x *exchange) again() {
	o := x.ask(x.stream)
	if o == (Owner{}) {
		return
	}
	x.doubtful[o]++
	x.newest[o.Node] = o
}

// moved notes that an owner has given the program away. An owner that was asked
// more than once may have said in a lost reply that the call was touched.
func (x *exchange) moved(r reply) {
	if r.MayHaveRun {
		x.touched = true
	}
	if o := x.newest[r.from]; x.doubtful[o] == 1 {
		delete(x.doubtful, o)
	}
}

// honest turns a "not run" into "unknown" when another owner may have run the call.
func (x *exchange) honest(r reply, p *printer) *answer.Answer {
	a := r.Final
	delete(x.doubtful, x.newest[r.from])
	if a.Outcome != answer.NotRun || x.reads || !x.touched && len(p.text) == 0 && len(x.doubtful) == 0 {
		return a
	}
	return &answer.Answer{
		Outcome: answer.Unknown, Reason: "moved", RetryAfter: a.RetryAfter, Usage: a.Usage,
		Detail: "the program's owner changed, and an earlier one may have run the call: " + a.Detail,
	}
}

// ownerless is the reason given when no owner answered.
const ownerless = "owner"

// lost speaks for owners who gave no answer.
func (x *exchange) lost() *answer.Answer {
	a := &answer.Answer{Outcome: answer.Unknown, Reason: ownerless, RetryAfter: time.Second}
	a.Detail = "the program's owner gave no answer; ask again with the same key"
	if !x.reads && !x.touched && len(x.newest) == 0 {
		a.Outcome, a.Detail = answer.NotRun, "the program has no owner at the moment; nothing was sent"
	}
	return a
}

// movedPause lets the news of a shard's move arrive before the edge asks again.
const movedPause = 50 * time.Millisecond

// follow asks for an answer, and asks again whenever its replies stop, until
// the answer is complete. It returns nil when the caller has gone.
func (e *Edge) follow(ctx context.Context, p *printer, deadline time.Time, s subject) *answer.Answer {
	id, replies := e.open()
	defer e.shut(id)
	x := &exchange{subject: s, stream: id, doubtful: map[Owner]int{}, newest: map[string]Owner{}}
	if deadline.IsZero() {
		deadline = time.Now().Add(e.options.DefaultTimeout)
	}
	// The owner answers at the deadline; the edge speaks for a lost owner after it.
	end := time.NewTimer(time.Until(deadline) + 2*e.options.ResendAfter)
	defer end.Stop()
	again := time.NewTimer(e.options.ResendAfter)
	defer again.Stop()
	beat := time.NewTicker(e.options.KeepaliveInterval)
	defer beat.Stop()
	x.again()
	for !p.broken {
		select {
		case <-ctx.Done():
			p.broken = true
		case <-end.C:
			s.leave(id)
			return x.lost()
		case <-beat.C:
			p.comment()
		case <-again.C:
			x.again()
			again.Reset(e.options.ResendAfter)
		case r := <-replies:
			if a := x.hear(r, p); a != nil {
				return a
			}
			again.Reset(e.pause(r))
		}
	}
	s.leave(id)
	return nil
}

func (e *Edge) pause(r reply) time.Duration {
	if r.Moved {
		return min(movedPause, e.options.ResendAfter)
	}
	return e.options.ResendAfter
}

// hear takes one reply in, and returns the final answer once it is complete.
func (x *exchange) hear(r reply, p *printer) *answer.Answer {
	if r.Moved {
		x.moved(r)
		return nil
	}
	if r.Final != nil {
		return p.complete(x.honest(r, p))
	}
	switch p.take(r.Offset, r.Text) {
	case gap:
		if !x.missed {
			x.missed = true
			x.again()
		}
	case conflict:
		return diverged()
	default:
		x.missed = false
	}
	return nil
}

// diverged answers a caller who has the beginning of an answer that was begun anew.
func diverged() *answer.Answer {
	return &answer.Answer{
		Outcome: answer.Unknown, Reason: "diverged", RetryAfter: time.Second,
		Detail: "the answer was begun anew; fetch it whole by its key",
	}
}
