package site

import (
	"net/http"
	"strconv"
	"time"

	"balsamknot.org/fleet/timer"
	"balsamknot.org/platform/standin"
	"balsamknot.org/soak/checker"
	"balsamknot.org/soak/schedule"
)

const (
	// turnedAwayLimit is the number that brittle endpoints state: one that turns away more requests in a second falls for fallDuration.
	turnedAwayLimit = 3
	fallDuration    = time.Second
)

// statement is what an endpoint says of itself in answers. The zero value says nothing.
type statement struct {
	// restUntil is until when it turns all requests away and asks for rest; zero for none.
	restUntil time.Time
	leaving   bool
	// brittleSince is when it began to be brittle; zero if it is not.
	brittleSince time.Time
	// running is how many requests it runs, and turnedAway holds when it turned others away within the last second, if it is brittle.
	running    int
	turnedAway []time.Time
}

// applyStatement makes an endpoint, or all of its service, say something of themselves for the duration of a fault.
func (s *Site) applyStatement(f schedule.Fault, e *endpoint, wait func()) {
	switch f.Action {
	case schedule.AskRest:
		e.setStatement(func(st *statement) { st.restUntil = timer.BootClock().Add(f.For) })
		wait()
	case schedule.SayLeaving:
		e.setStatement(func(st *statement) { st.leaving = true })
		wait()
		e.setStatement(func(st *statement) { st.leaving = false })
		defer s.startEndpointFault(e.name)()
		e.record(checker.LeavingEnded{Endpoint: e.name})
		e.crash()
		e.restart()
	case schedule.MakeBrittle:
		s.record(checker.BrittleStarted{Service: e.service, Endpoints: s.setBrittle(e.service, timer.BootClock())})
		wait()
		s.setBrittle(e.service, time.Time{})
	default:
	}
}

// setBrittle makes all endpoints of a service brittle since a time, or no longer for the zero time, and returns their number.
func (s *Site) setBrittle(service string, since time.Time) int {
	n := 0
	for _, e := range s.endpoints {
		if e.service == service {
			n++
			e.setStatement(func(st *statement) { st.brittleSince, st.turnedAway = since, nil })
		}
	}
	return n
}

func (e *endpoint) setStatement(change func(*statement)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change(&e.statement)
}

func (e *endpoint) record(event checker.Event) { e.site.record(event) }

// state adds what the endpoint says of itself to the head of an answer, and reports whether it runs the request; if so, ran must be called
// at its end.
func (e *endpoint) state(w http.ResponseWriter, r *http.Request) (runs bool, ran func()) {
	now := timer.BootClock()
	id := r.Header.Get(standin.RequestIDHeader)
	e.mu.Lock()
	defer e.mu.Unlock()
	st := &e.statement
	if st.leaving {
		w.Header().Set(standin.LeavingHeader, "1")
		e.record(checker.LeavingStated{Request: id, Endpoint: e.name})
	}
	if left := st.restUntil.Sub(now); left > 0 {
		w.Header().Set(standin.RetryAfterHeader, strconv.FormatFloat(left.Seconds(), 'f', 3, 64))
		e.record(checker.RestAsked{Request: id, Endpoint: e.name, For: left})
		return false, nil
	}
	if !st.brittleSince.IsZero() {
		w.Header().Set(standin.BrittleHeader, strconv.Itoa(turnedAwayLimit))
		if st.running >= standin.Slots {
			e.turnAway(now)
			return false, nil
		}
	}
	st.running++
	return true, func() { e.setStatement(func(st *statement) { st.running-- }) }
}

// turnAway counts a request that a brittle endpoint turns away, on which it may fall. mu must be held.
func (e *endpoint) turnAway(now time.Time) {
	st := &e.statement
	st.turnedAway = append(st.turnedAway, now)
	for now.Sub(st.turnedAway[0]) > time.Second {
		st.turnedAway = st.turnedAway[1:]
	}
	if len(st.turnedAway) <= turnedAwayLimit || now.Sub(st.brittleSince) < checker.KnowledgeLimit {
		return
	}
	st.turnedAway = nil
	e.record(checker.EndpointFell{Service: e.service, Endpoint: e.name})
	go e.fall()
}
