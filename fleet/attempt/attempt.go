// Package attempt decides how one caller's request goes on: to which kind of endpoint next, whether again, and with
// which answer it ends. It keeps the promises of an answer: a request that may not be repeated is sent once, and
// "not run" is said only when no endpoint can have run it.
package attempt

import (
	"net/http"
	"time"

	"balsamknot.org/fleet/endpoint"
	"balsamknot.org/fleet/pool"
	"balsamknot.org/fleet/site"
)

// Config is what an attempt is built from.
type Config struct {
	Repeat site.RetryMode
	// Endpoints is how many endpoints the request may be sent to.
	Endpoints int
	// Deadline is when the caller, or the route, no longer waits.
	Deadline time.Time
	// Worth is the least time left for which another endpoint is tried.
	Worth time.Duration
}

// Attempt is the state of one request. It is not safe for concurrent use.
type Attempt struct {
	cfg   Config
	tried []endpoint.ID
	// sends counts endpoints that got the request.
	sends int
	// unreached counts endpoints that could not be connected to.
	unreached int
	// open is true while an endpoint has the request and has not said what became of it.
	open bool
	// mayHaveRun is true when an endpoint got the request and did not state that it didn't run it.
	mayHaveRun bool
	// delivering is true when the caller has had the first bytes of an answer.
	delivering bool
}

// New returns an attempt that was sent nowhere.
func New(cfg Config) *Attempt { return &Attempt{cfg: cfg} }

// unreachedLimit bounds the endpoints that are tried in vain.
const unreachedLimit = 3

// Event is what happened to the request.
type Event interface{ event() }

// Refused is a keeper's refusal to give a place.
type Refused struct {
	Reason pool.Reason
	After  time.Duration
}

// Unreached is an endpoint that the request could not be sent to; nothing was written.
type Unreached struct{ ID endpoint.ID }

// TurnedAway is an endpoint's statement that it did not run the request.
type TurnedAway struct{ ID endpoint.ID }

// Failed is an endpoint's own failure, with its status.
type Failed struct{ ID endpoint.ID }

// Broken is an answer that broke off or never came, after the request was sent.
type Broken struct{ ID endpoint.ID }

// Expired is the end of the time that the request had.
type Expired struct{}

// NotAllowed is a set that no longer allows the request, or knowledge of it that is too old.
type NotAllowed struct{ After time.Duration }

func (Refused) event()    {}
func (Unreached) event()  {}
func (TurnedAway) event() {}
func (Failed) event()     {}
func (Broken) event()     {}
func (Expired) event()    {}
func (NotAllowed) event() {}

// Command is what is done next. Exactly one follows from each event.
type Command interface{ command() }

// Ask asks the keeper for another place.
type Ask struct {
	Tried []endpoint.ID
	// Repeat is true when an endpoint has had the request: the retry budget pays.
	Repeat bool
}

// Answer ends the request with the system's own answer.
type Answer struct {
	// Status promises "not run" when it is 503.
	Status int
	// After is when the caller may come back; 0 says nothing.
	After time.Duration
}

// Relay passes the endpoint's own failure on.
type Relay struct{}

// Abort breaks the answer off, so that it does not look complete.
type Abort struct{}

func (Ask) command()    {}
func (Answer) command() {}
func (Relay) command()  {}
func (Abort) command()  {}

// Sent notes that an endpoint gets the request.
func (a *Attempt) Sent(id endpoint.ID) {
	a.sends++
	a.tried = append(a.tried, id)
	a.open = true
}

// Delivering notes that the caller has had the first bytes of an answer.
func (a *Attempt) Delivering() { a.delivering = true }

// Sends returns how many endpoints got the request.
func (a *Attempt) Sends() int { return a.sends }

// Update applies one event at time now.
func (a *Attempt) Update(now time.Time, event Event) Command {
	if _, stated := event.(TurnedAway); !stated && a.open {
		a.mayHaveRun = true
	}
	a.open = false
	switch e := event.(type) {
	case Refused:
		return a.refuse(e)
	case Unreached:
		return a.passOver(now, e)
	case TurnedAway:
		return a.turnedAway(now)
	case Failed:
		if a.mayRepeat(now) {
			return a.again()
		}
		if a.delivering {
			return Abort{}
		}
		return Relay{}
	case Broken:
		if a.mayRepeat(now) {
			return a.again()
		}
		return a.fail(http.StatusBadGateway)
	case Expired:
		return a.fail(http.StatusGatewayTimeout)
	case NotAllowed:
		return a.notRun(e.After)
	}
	return a.fail(http.StatusBadGateway)
}

func (a *Attempt) again() Command { return Ask{Tried: a.tried, Repeat: a.sends > 0} }

// mayRepeat reports whether another endpoint may get a request that an endpoint may have run.
func (a *Attempt) mayRepeat(now time.Time) bool {
	switch {
	case a.cfg.Repeat == site.NonIdempotent, a.delivering && a.cfg.Repeat != site.Resumable:
		return false
	}
	return a.timeForMore(now)
}

func (a *Attempt) timeForMore(now time.Time) bool {
	return a.sends < a.cfg.Endpoints && a.cfg.Deadline.Sub(now) >= a.cfg.Worth
}

func (a *Attempt) turnedAway(now time.Time) Command {
	if a.timeForMore(now) {
		return a.again()
	}
	return a.notRun(turnedAwayReturn)
}

// turnedAwayReturn is when a caller may come back whose endpoint had no room.
const turnedAwayReturn = 100 * time.Millisecond

func (a *Attempt) passOver(now time.Time, e Unreached) Command {
	a.unreached++
	a.tried = append(a.tried, e.ID)
	if a.unreached < unreachedLimit && a.cfg.Deadline.Sub(now) >= a.cfg.Worth {
		return a.again()
	}
	return a.notRun(turnedAwayReturn)
}

func (a *Attempt) refuse(e Refused) Command { return a.notRun(e.After) }

// notRun says that the request did not run when that is true, and that it failed otherwise.
func (a *Attempt) notRun(after time.Duration) Command {
	if a.mayHaveRun || a.delivering {
		return a.fail(http.StatusBadGateway)
	}
	return Answer{Status: http.StatusServiceUnavailable, After: after}
}

func (a *Attempt) fail(status int) Command {
	if a.delivering {
		return Abort{}
	}
	if status == http.StatusGatewayTimeout && !a.mayHaveRun {
		return Answer{Status: http.StatusServiceUnavailable, After: turnedAwayReturn}
	}
	return Answer{Status: status}
}
