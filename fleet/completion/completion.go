// Package completion decides whether an answer is complete that only the end of its connection ended: it has neither a length nor chunks. When
// the process at the endpoint ends, its connections may end in order in the middle of answers, so that the end of one says nothing.
//
// A new connection is opened at once: one that is established and stays shows that something listens there right after the answer's end, earlier
// than a process could have started anew. The connections that were open before show the rest. They end together with the process, and stay when
// it ended only the one answer.
package completion

import "time"

// Config holds the time limits of a Check.
type Config struct {
	// Settle is the time in which all connections of a process that has ended are seen to end.
	Settle time.Duration
	// RestartTime is less than the time after which another process may listen in place of one that has ended.
	RestartTime time.Duration
	// RetryInterval is the time between two attempts to connect, and Timeout that after which the answer stays unconfirmed.
	RetryInterval, Timeout time.Duration
}

// Verdict is what an answer is taken for.
type Verdict string

// Verdicts.
const (
	// Complete means that the endpoint goes on, so that it ended the answer itself.
	Complete Verdict = "complete"
	// BrokenOff means that nothing listens any more at the endpoint's address.
	BrokenOff Verdict = "broken off"
	// Unconfirmed means that neither is known.
	Unconfirmed Verdict = "unconfirmed"
)

// Event is an input of Check.Update.
type Event interface{ event() }

// Ended reports the end of the answer's connection.
type Ended struct{}

// Connected reports that the new connection was established.
type Connected struct{}

// Refused reports that nothing listens at the endpoint's address.
type Refused struct{}

// Unreachable reports that the new connection was not established, for another reason or an unknown one.
type Unreachable struct{}

// Observed reports on the endpoint's connections.
type Observed struct {
	// NewOpen is true if the new connection is open.
	NewOpen bool
	// Open is how many of the earlier connections are open, Ended how many the endpoint has ended, and IdleEnded how many of these no request
	// used at the answer's end.
	Open, Ended, IdleEnded int
}

func (Ended) event()       {}
func (Connected) event()   {}
func (Refused) event()     {}
func (Unreachable) event() {}
func (Observed) event()    {}

// Command is the next step of a Check. Update returns exactly one for each event.
type Command interface{ command() }

// Connect asks for a new connection after a time.
type Connect struct{ After time.Duration }

// Observe asks for Observed after a time.
type Observe struct{ After time.Duration }

// Conclude ends the check.
type Conclude struct{ Verdict Verdict }

func (Connect) command()  {}
func (Observe) command()  {}
func (Conclude) command() {}

// Check is the state of one answer. It is not safe for concurrent use.
type Check struct {
	cfg     Config
	endedAt time.Time
	// inTime is true if the new connection was established within RestartTime of the answer's end.
	inTime bool
}

// New returns a check that waits for Ended.
func New(cfg Config) *Check { return &Check{cfg: cfg} }

// Update applies one event at time now and returns the next step.
func (c *Check) Update(now time.Time, event Event) Command {
	switch e := event.(type) {
	case Ended:
		c.endedAt = now
		return Connect{}
	case Connected:
		c.inTime = now.Sub(c.endedAt) <= c.cfg.RestartTime
		return Observe{After: c.cfg.Settle}
	case Refused:
		return Conclude{BrokenOff}
	case Unreachable:
		c.inTime = false
		return Observe{After: c.cfg.Settle}
	case Observed:
		return c.judge(now, e)
	}
	return Conclude{Unconfirmed}
}

// judge concludes from what is seen of the connections. A new connection that was established late may lead to a process that started since,
// and idle connections that end say the same of one that was established in time.
func (c *Check) judge(now time.Time, e Observed) Command {
	othersStay := e.Open > 0 && e.Ended == 0
	switch {
	case othersStay, c.inTime && e.NewOpen && (e.Open > 0 || e.IdleEnded == 0):
		return Conclude{Complete}
	case e.NewOpen, now.Sub(c.endedAt) >= c.cfg.Timeout:
		return Conclude{Unconfirmed}
	}
	return Connect{After: c.cfg.RetryInterval}
}
