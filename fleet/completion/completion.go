// Package completion decides whether an answer is complete that only the end of its connection ended: it has neither a length nor chunks. When
// the process at the endpoint ends, its connections may end in order in the middle of answers, so that the end of one says nothing.
//
// A new connection is opened at once: one that is established and stays shows that something listens at the address right after the answer's end,
// but not that it is the same process. The connections that were open before show the rest. They end together with the process, and stay when
// it ended only the one answer. One of them, the guard, is opened for that while the answer comes.
package completion

import "time"

// Config holds the time limits of a Check.
type Config struct {
	// Settle is the time in which all connections of a process that has ended are seen to end.
	Settle time.Duration
	// RestartTime is the time in which a connection must be established to show that the endpoint did not stop listening.
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
	// BrokenOff means that the endpoint's process ended with the answer.
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
	// Open is how many of the earlier connections are open, and Ended how many the endpoint has ended since.
	Open, Ended int
	// Guard is the state of the connection that was opened while the answer came.
	Guard Guard
}

// Guard is the state of the connection that guards an answer.
type Guard string

// States of the guard.
const (
	// GuardAbsent means that there is none.
	GuardAbsent Guard = ""
	// GuardOpen means that the process which took it goes on, and GuardEnded that it ended together with the answer.
	GuardOpen  Guard = "open"
	GuardEnded Guard = "ended"
)

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
	// inTime is true if the new connection was established within RestartTime of the answer's end, and refused if nothing listened at the last
	// attempt.
	inTime, refused bool
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
		c.inTime, c.refused = now.Sub(c.endedAt) <= c.cfg.RestartTime, false
		return Observe{After: c.cfg.Settle}
	case Refused:
		c.inTime, c.refused = false, true
		return Observe{After: c.cfg.Settle}
	case Unreachable:
		c.inTime, c.refused = false, false
		return Observe{After: c.cfg.Settle}
	case Observed:
		return c.judge(now, e)
	}
	return Conclude{Unconfirmed}
}

// judge concludes from what is seen of the connections. A new connection that was established late may lead to a process that started since. One
// that was established in time may do so, too, unless an earlier connection stays or there was none that could have ended. Where nothing listens,
// the process has ended, or it is leaving and completes its answers: then earlier connections stay until Timeout.
func (c *Check) judge(now time.Time, e Observed) Command {
	staying := e.Open > 0 || e.Guard == GuardOpen
	timedOut := now.Sub(c.endedAt) >= c.cfg.Timeout
	switch {
	case e.Guard == GuardEnded, c.refused && !staying:
		return Conclude{BrokenOff}
	case c.refused && !timedOut:
		return Connect{After: c.cfg.RetryInterval}
	case staying && e.Ended == 0, c.refused, c.inTime && e.NewOpen && (staying || e.Ended == 0):
		return Conclude{Complete}
	case e.NewOpen, timedOut:
		return Conclude{Unconfirmed}
	}
	return Connect{After: c.cfg.RetryInterval}
}
