package allot

import (
	"time"

	"github.com/cowslipstage/cowslipstage/coordination/grant"
	"github.com/cowslipstage/cowslipstage/state/usage"
)

const (
	// questionShare is the part of the guarantee's overshoot and slack that the vault may use up
	// for requests under way. The rest is for what gates pass before the vault hears of it.
	questionShare = 0.5
	// refusedPause is how long a gate asks nothing more after a question that did not let all
	// pass, at least, and refusedPerGate its minimum for each gate, so that the questions about
	// a customer far over its quota do not grow with the deployment.
	refusedPause   = 50 * time.Millisecond
	refusedPerGate = time.Millisecond
)

// Question is asked of the vault that decides for a customer, with what this gate passed.
type Question struct {
	grant.Question
	// Vault names the vault, Customer the customer, and Count is what this gate passed.
	Vault    string
	Customer string
	Count    usage.Count
	// recent is what this gate passed lately.
	recent int
}

// Question returns a question about requests of a customer to a vault. Until it is answered by
// Grant, LoseQuestion or Refuse, Report leaves the customer out for that vault, and no second question
// may be asked.
func (a *Allot) Question(now time.Time, vault, name string, underWay, beginning int) Question {
	c := a.customer(name)
	a.reports++
	c.asked = vault
	rate, size := a.limit(c)
	room := max(0, int(a.windowRoom(now, c)))
	underWay = min(underWay, room)
	beginning = min(beginning, room-underWay)
	return Question{
		Question: grant.Question{
			UnderWay: underWay, Beginning: beginning, Rate: rate, Size: size, Reserve: beginReserve * size, Window: a.bound.Window(),
			Limit: a.windowLimit(c),
		},
		Vault: vault, Customer: name, Count: a.detailed(now, c, a.reports), recent: c.passed.Sum(now, shareIntervals),
	}
}

// windowLimit returns how many requests may pass within the window by questions.
func (a *Allot) windowLimit(c *customer) float64 {
	rate, _ := a.limit(c)
	quota := a.bound.Quota(rate, c.burst*rate/c.rate)
	return quota*(1+questionShare*a.bound.Overshoot()) + questionShare*a.bound.Slack()
}

// windowRoom returns how much of that is left by this gate's view. The vault that decides may know
// less, if other gates do not reach it.
func (a *Allot) windowRoom(now time.Time, c *customer) float64 {
	room := a.windowLimit(c) - float64(c.total-c.seen)
	late := int(now.Sub(c.viewedAt) / usage.Interval)
	for _, n := range c.view[:max(0, min(len(c.view), int(a.bound.Window()/usage.Interval)-late))] {
		room -= float64(n)
	}
	return room
}

// count returns what a report says of a customer.
func (a *Allot) count(now time.Time, c *customer, sequence uint64) usage.Count {
	return usage.Count{Total: c.total, Recent: int64(c.passed.Sum(now, c.passed.Length())), Near: a.near(now, c), Sequence: sequence}
}

// detailed returns what a report says of a customer, by interval.
func (a *Allot) detailed(now time.Time, c *customer, sequence uint64) usage.Count {
	n := a.count(now, c, sequence)
	n.Intervals = c.passed.Counts(now)
	return n
}

// Grant stores the answer to a question and counts the requests that pass. view is the
// customer's, with these requests.
func (a *Allot) Grant(now time.Time, q Question, answer grant.Answer, view View) {
	c := a.customer(q.Customer)
	c.asked, a.answered = "", true
	granted := answer.UnderWay + answer.Beginning
	c.pass(now, ByVault, granted)
	c.told[q.Vault] = told{q.Count.Total + int64(granted), q.Count.Sequence}
	a.setCustomerView(now, c, q.recent+granted, q.Customer, q.Count.Sequence, view)
	c.decided = c.viewed
	a.noteRefused(now, c, answer.UnderWay < q.UnderWay, answer.Beginning < q.Beginning)
}

// LoseQuestion notes that a question was not answered. The vault may have counted requests that this
// gate does not pass, until the next report takes them back.
func (a *Allot) LoseQuestion(q Question) {
	c := a.customer(q.Customer)
	c.asked = ""
	delete(c.told, q.Vault)
}

// Refuse notes that no vault answered about a customer's requests.
func (a *Allot) Refuse(now time.Time, name string, underWay, beginning int) {
	c := a.customer(name)
	c.urgent, a.answered = true, false
	a.noteRefused(now, c, underWay > 0, beginning > 0)
}

// noteRefused stops questions for a while after requests did not pass. Where those under way do
// not pass, those that begin a program do not either.
func (a *Allot) noteRefused(now time.Time, c *customer, underWay, beginning bool) {
	until := now.Add(max(refusedPause, time.Duration(a.gates)*refusedPerGate))
	if underWay {
		c.noneUntil = until
	}
	if underWay || beginning {
		c.beginsNoneUntil = until
	}
}

// mayAsk reports whether a question may let a request pass.
func (c *customer) mayAsk(now time.Time, begins bool) bool {
	if begins {
		return !now.Before(c.beginsNoneUntil)
	}
	return !now.Before(c.noneUntil)
}
