// Package completion decides whether an answer is complete that only the end of its connection ended: it has neither a length nor chunks. When
// the process at the endpoint ends, its connections may end in order in the middle of answers, so that the end of one says nothing.
//
// A new connection is opened at once: one that is established and stays shows that something listens at the address right after the answer's end,
// but not that it is the same process. The connections that were open before show the rest. They end together with the process, and stay when
// it ended only the one answer. One of them, the guard, is opened for that while the answer comes.
//
// An open connection may have gone silent, so that its end does not arrive here. The guard is therefore asked a question after the answer's end: its
// process goes on if it answers. A guard that does not answer says nothing, and neither do the connections that stay open beside it.
package completion

import "time"

// Config holds the time limits of a Check.
type Config struct {
	// Settle is the time in which all connections of a process that has ended are seen to end.
	Settle time.Duration
	// RestartTime is the time in which a connection must be established to show that the endpoint did not stop listening.
	RestartTime time.Duration
	// AnswerTime is the time in which the guard's process answers if it goes on.
	AnswerTime time.Duration
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
	// Open is how many of the earlier connections are open as far as this host can tell, and Ended how many the endpoint has ended since.
	Open, Ended int
	// Guard is the state of the connection that was opened while the answer came.
	Guard Guard
}

// Identified reports which process the new connection leads to.
type Identified struct{ Listener Listener }

// Listener is the process that listens at the endpoint's address after an answer's end.
type Listener string

// Listeners.
const (
	// ListenerUnknown means that it was not asked, did not answer, or did not say since when it runs.
	ListenerUnknown Listener = ""
	// ListenerRegistered means that it is the one that is registered, and ListenerOther that it is another one.
	ListenerRegistered Listener = "registered"
	ListenerOther      Listener = "other"
)

// Guard is the state of the connection that guards an answer.
type Guard string

// States of the guard.
const (
	// GuardAbsent means that there is none.
	GuardAbsent Guard = ""
	// GuardOpen means that its end has not arrived, GuardSilent that it did not answer in time, GuardAlive that the process which took it has answered
	// since the answer's end, and GuardEnded that it ended together with the answer.
	GuardOpen   Guard = "open"
	GuardSilent Guard = "silent"
	GuardAlive  Guard = "alive"
	GuardEnded  Guard = "ended"
)

func (Ended) event()       {}
func (Connected) event()   {}
func (Refused) event()     {}
func (Unreachable) event() {}
func (Observed) event()    {}
func (Identified) event()  {}

// Command is the next step of a Check. Update returns exactly one for each event.
type Command interface{ command() }

// Connect asks for a new connection after a time.
type Connect struct{ After time.Duration }

// Observe asks for Observed after a time.
type Observe struct{ After time.Duration }

// Identify asks for Identified, and that a guard that does not answer be given up.
type Identify struct{}

// Conclude ends the check.
type Conclude struct{ Verdict Verdict }

func (Connect) command()  {}
func (Observe) command()  {}
func (Identify) command() {}
func (Conclude) command() {}

// Check is the state of one answer. It is not safe for concurrent use.
type Check struct {
	cfg     Config
	endedAt time.Time
	// inTime is true if the new connection was established within RestartTime of the answer's end, and refused if nothing listened at the last
	// attempt.
	inTime, refused bool
	// seen is what was last observed.
	seen Observed
	// silent is true if the guard did not answer, and listener is the process that listens, once asked is true.
	silent, asked bool
	listener      Listener
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
		c.seen = e
		return c.judge(now)
	case Identified:
		c.listener, c.asked = e.Listener, true
		return c.judge(now)
	}
	return Conclude{Unconfirmed}
}

// judge concludes from what is seen of the connections. Where nothing listens, the process has ended, or it is leaving and completes its answers: then its
// guard answers.
func (c *Check) judge(now time.Time) Command {
	e := c.seen
	elapsed := now.Sub(c.endedAt)
	switch {
	case e.Guard == GuardAlive:
		return Conclude{Complete}
	case e.Guard == GuardEnded, c.listener == ListenerOther, c.refused && e.Open == 0 && e.Guard == GuardAbsent:
		return Conclude{BrokenOff}
	case e.Guard == GuardOpen && elapsed < c.cfg.AnswerTime:
		return Observe{After: c.cfg.Settle}
	}
	c.silent = c.silent || e.Guard == GuardOpen || e.Guard == GuardSilent
	switch {
	case c.mustIdentify():
		return Identify{}
	case c.listens():
		return Conclude{Complete}
	case e.NewOpen, elapsed >= c.cfg.Timeout:
		return Conclude{Unconfirmed}
	}
	return Connect{After: c.cfg.RetryInterval}
}

// mustIdentify reports whether it is to be asked which process listens: the guard does not answer, or there is none and no other connection stays.
func (c *Check) mustIdentify() bool {
	if c.asked {
		return false
	}
	return c.silent || c.inTime && c.seen.NewOpen && c.seen.Open == 0
}

// listens reports whether something listened at the endpoint's address right after the answer's end, and the earlier connections do not show that it is another
// process. A new connection that was established late may lead to a process that started since. One that was established in time may do so, too,
// unless an earlier one stays or there was none that could have ended. Beside a guard that is silent, the others may be, too.
func (c *Check) listens() bool {
	e := c.seen
	switch {
	case !c.inTime:
		return false
	case !c.silent && e.Open > 0:
		return e.NewOpen || e.Ended == 0
	}
	return e.NewOpen && (e.Ended == 0 || c.listener == ListenerRegistered)
}
