// Package completion decides whether an answer is complete that only the end of its connection ended: it has neither a length nor chunks. When
// the process at the endpoint ends, its connections may end in order in the middle of answers, so that the end of one says nothing.
//
// The endpoint's other connections do: they end together with its process, and stay when it ended the one answer. Where there are none, or
// some of them ended as well, a new connection tells whether anything still listens there.
package completion

import "time"

// Config holds the time limits of a Check.
type Config struct {
	// Settle is the time in which all connections of a process that has ended are seen to end.
	Settle time.Duration
	// RetryInterval is the time between two attempts to connect, and Timeout that after which the answer stays unconfirmed.
	RetryInterval, Timeout time.Duration
}

// Verdict is what an answer is taken for.
type Verdict string

// Verdicts.
const (
	// Complete means that the endpoint's process goes on, so that it ended the answer itself.
	Complete Verdict = "complete"
	// BrokenOff means that the endpoint's process ended with the answer.
	BrokenOff Verdict = "broken off"
	// Unconfirmed means that neither is known.
	Unconfirmed Verdict = "unconfirmed"
)

// Event is an input of Check.Update.
type Event interface{ event() }

// Ended reports the end of the answer's connection, with the number of the endpoint's other connections that were open just before.
type Ended struct{ Others int }

// Observed reports how many of the other connections are open, and how many the endpoint has ended.
type Observed struct{ Open, Ended int }

// Connected reports that a new connection was established.
type Connected struct{}

// Refused reports that a new connection was refused, and that no other host could connect either.
type Refused struct{}

// Unreachable reports that a new connection was neither established nor refused.
type Unreachable struct{}

func (Ended) event()       {}
func (Observed) event()    {}
func (Connected) event()   {}
func (Refused) event()     {}
func (Unreachable) event() {}

// Command is the next step of a Check. Update returns exactly one for each event.
type Command interface{ command() }

// Observe asks for Observed after a time.
type Observe struct{ After time.Duration }

// Connect asks for a new connection after a time. It counts as one of the other connections from then on.
type Connect struct{ After time.Duration }

// Conclude ends the check.
type Conclude struct{ Verdict Verdict }

func (Observe) command()  {}
func (Connect) command()  {}
func (Conclude) command() {}

// Check is the state of one answer. It is not safe for concurrent use.
type Check struct {
	cfg      Config
	deadline time.Time
	// observed is true after the first Observed.
	observed bool
}

// New returns a check that waits for Ended.
func New(cfg Config) *Check { return &Check{cfg: cfg} }

// Update applies one event at time now and returns the next step.
func (c *Check) Update(now time.Time, event Event) Command {
	switch e := event.(type) {
	case Ended:
		c.deadline = now.Add(c.cfg.Timeout)
		if e.Others > 0 {
			return Observe{After: c.cfg.Settle}
		}
		return Connect{}
	case Observed:
		c.observed = true
		if e.Open > 0 && e.Ended == 0 {
			return Conclude{Complete}
		}
		return Connect{}
	case Connected:
		if c.observed {
			return Conclude{Complete}
		}
		return Observe{After: c.cfg.Settle}
	case Refused:
		return Conclude{BrokenOff}
	case Unreachable:
		if now.Before(c.deadline) {
			return Connect{After: c.cfg.RetryInterval}
		}
	}
	return Conclude{Unconfirmed}
}
