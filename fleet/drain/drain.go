// Package drain decides how a host stops as planned: which requests it still takes, how long it lets the others run, and when it ends. It
// keeps one promise: a request that is taken once the load balancer has had time to notice the stop ends before the host does. Before that, a
// request is taken unless answers of its route usually take longer than the host has left. All others are refused before an endpoint gets them.
// RunTimes measures how long answers take. Sequence runs the steps of a stop, each within its time limit.
package drain

import "time"

// Config holds the times of a stop. They do not change after New.
type Config struct {
	// Notice is how long after its begin the load balancer may still send callers, who are served if their answers usually end in time.
	Notice time.Duration
	// RunTime is the time that must be left, after Notice, for a request that was taken and waits for a slot to be sent to an endpoint,
	// unless its deadline ends it in time.
	RunTime time.Duration
	// DeadlineMargin is how long before the end the deadline of a request must pass, so that its answer, or an error, is written.
	DeadlineMargin time.Duration
}

// Drain is the state of a host's stop. It is not safe for concurrent use.
type Drain struct {
	cfg   Config
	begun bool
	// beganAt is when the stop began, and endAt when the host ends at the latest.
	beganAt, endAt time.Time
	// closed is true once no request was in flight after Notice: none is taken any more.
	closed bool
}

// New returns the state of a host that has not been told to stop.
func New(cfg Config) *Drain { return &Drain{cfg: cfg} }

// Event is what the host reports or asks.
type Event interface{ event() }

// Begun means that the host was told to stop. The drain may take Limit.
type Begun struct{ Limit time.Duration }

// Run is what is known of when a request ends.
type Run struct {
	// Deadline is when it ends at the latest: the earlier of the caller's deadline and the route's timeout.
	Deadline time.Time
	// Usual is how long answers of its route usually take; 0 if that is not known.
	Usual time.Duration
}

// RequestRead means that a request was read to its end.
type RequestRead struct{ Run Run }

// SlotAwaited means that a request that was taken, and that no endpoint has run, waits for a slot.
type SlotAwaited struct{ Run Run }

// Tick means that time has passed. InFlight is the number of requests, also those that are still being read, and of tunnels of other hosts.
type Tick struct{ InFlight int }

func (Begun) event()       {}
func (RequestRead) event() {}
func (SlotAwaited) event() {}
func (Tick) event()        {}

// Command is what the host is to do. Update returns exactly one for each event.
type Command interface{ command() }

// Take lets a request go on.
type Take struct{}

// Refuse refuses a request that no endpoint has run.
type Refuse struct{}

// Continue lets the drain go on.
type Continue struct {
	// CloseIdle closes callers' idle connections, and EndWaits asks again, by SlotAwaited, for each request that waits for a slot.
	CloseIdle, EndWaits bool
}

// Finish ends the drain: the connections that are left are closed.
type Finish struct{}

func (Take) command()     {}
func (Refuse) command()   {}
func (Continue) command() {}
func (Finish) command()   {}

// Begun reports whether the host was told to stop.
func (d *Drain) Begun() bool { return d.begun }

// Update applies one event at time now and returns the command that follows from it.
func (d *Drain) Update(now time.Time, event Event) Command {
	switch e := event.(type) {
	case Begun:
		d.begin(now, e.Limit)
	case RequestRead:
		return d.decide(d.takes(now, e.Run))
	case SlotAwaited:
		return d.decide(d.sendsRun(now, e.Run))
	case Tick:
		return d.tick(now, e.InFlight)
	}
	return Continue{}
}

func (d *Drain) decide(take bool) Command {
	if take {
		return Take{}
	}
	return Refuse{}
}

func (d *Drain) begin(now time.Time, limit time.Duration) {
	if d.begun {
		return
	}
	d.begun, d.beganAt, d.endAt = true, now, now.Add(limit)
}

// takes reports whether a request may be taken. After Notice only what must end in time is: the load balancer sends a caller who is refused then to
// another host.
func (d *Drain) takes(now time.Time, r Run) bool {
	switch {
	case !d.begun || d.endsInTime(r.Deadline):
		return !d.closed
	case d.closed || d.noticed(now):
		return false
	}
	return d.usuallyEndsInTime(now, r)
}

// sendsRun reports whether a request that was taken may still be sent to an endpoint.
func (d *Drain) sendsRun(now time.Time, r Run) bool {
	if !d.begun || d.endsInTime(r.Deadline) {
		return true
	}
	return d.sends(now) && d.usuallyEndsInTime(now, r)
}

// usuallyEndsInTime reports whether most answers that begin now end before the host does, or whether that is not known.
func (d *Drain) usuallyEndsInTime(now time.Time, r Run) bool {
	return r.Usual == 0 || d.endsInTime(now.Add(r.Usual))
}

// noticed reports whether the load balancer has had time to notice the stop.
func (d *Drain) noticed(now time.Time) bool { return now.Sub(d.beganAt) >= d.cfg.Notice }

// sends reports whether requests that wait for a slot are still sent to endpoints although they may end too late.
func (d *Drain) sends(now time.Time) bool {
	return !d.noticed(now) || d.endAt.Sub(now) >= d.cfg.RunTime
}

// endsInTime reports whether a request that ends at end does so before the host.
func (d *Drain) endsInTime(end time.Time) bool {
	return !end.Add(d.cfg.DeadlineMargin).After(d.endAt)
}

func (d *Drain) tick(now time.Time, inFlight int) Command {
	switch {
	case !d.begun:
		return Continue{}
	case !now.Before(d.endAt):
		d.closed = true
		return Finish{}
	case !d.noticed(now):
		return Continue{}
	case inFlight > 0:
		return Continue{CloseIdle: true, EndWaits: !d.sends(now)}
	case d.closed:
		return Finish{}
	}
	// A request may have been read since inFlight was counted; it is at the next tick.
	d.closed = true
	return Continue{CloseIdle: true}
}
