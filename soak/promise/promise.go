// Package promise judges a run of the soak by what callers and endpoints saw. It holds what the system promises: which
// requests may run where, how often and until when, and what their callers may be told.
package promise

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

// MovedPath is the route whose service changes with the sets.
const MovedPath = "/moved/"

// Limits of the promises that have one.
const (
	// revokeLimit is how long after its removal a key may still be used, by any host in any state.
	revokeLimit = 5 * time.Second
	// drainLimit is how long a leaving endpoint may still get requests, applyLimit how long an older set may be used, both
	// by hosts that were undisturbed for stableFor.
	drainLimit = 3 * time.Second
	applyLimit = 3 * time.Second
	stableFor  = 4 * time.Second
	// lateBy is how long after its deadline a request may be unanswered, goneWithin how long work goes on for a caller who left.
	lateBy     = 500 * time.Millisecond
	goneWithin = 500 * time.Millisecond
	// fewLate and fewGone are how many of these a run may have.
	fewLate = 7
	fewGone = 5
	// RecoverWithin is the time after the last fault in which all requests are served again.
	RecoverWithin = 15 * time.Second
)

// Breach is a promise that was not kept.
type Breach struct {
	At      Time
	Promise string
	What    string
}

func (b Breach) String() string {
	return fmt.Sprintf("%s at %.3f s: %s", b.Promise, b.At.Seconds(), b.What)
}

// Judge holds what is known of a run.
type Judge struct {
	requests  map[string]*request
	hosts     map[int]*trouble
	endpoints map[string]*trouble
	// revoked is since when a key is no longer good, and leaving since when an endpoint is.
	revoked map[string]Time
	good    []string
	leaving map[string]Time
	// moved is the service in force, with the time of the set, and former those that were allowed at any time.
	moved      string
	movedSince Time
	former     map[string]bool
	stalled    Time
	late, gone []Breach
	breaches   []Breach
	// troubled is when a request last failed that should have been served.
	troubled Time
	counts   Counts
}

// Counts are the requests of a run by how they ended.
type Counts struct{ Sent, Served, Denied, Refused, Failed, Cut, Left int }

type request struct {
	Sent
	at       Time
	runs     int
	running  map[string]int
	gave     map[int]bool
	refused  bool
	answered bool
	left     Time
}

// trouble counts faults that hold, and when the last one ended.
type trouble struct {
	open int
	last Time
}

// New returns a judge of a run that begins.
func New() *Judge {
	return &Judge{
		requests: make(map[string]*request), hosts: make(map[int]*trouble), endpoints: make(map[string]*trouble),
		revoked: make(map[string]Time), leaving: make(map[string]Time), former: make(map[string]bool), stalled: -stableFor,
	}
}

// Update notes an event at time now.
func (j *Judge) Update(now Time, event Event) {
	switch e := event.(type) {
	case Sent:
		j.counts.Sent++
		j.requests[e.Request] = &request{Sent: e, at: now, running: make(map[string]int), gave: make(map[int]bool)}
	case Ran:
		j.ran(now, e)
	case Gave:
		j.with(e.Request, func(r *request) { r.gave[e.Status] = true })
	case Ended:
		j.ended(now, e)
	case Answered:
		j.answered(now, e)
	case Left:
		j.counts.Left++
		j.with(e.Request, func(r *request) { r.left, r.answered = now, true })
	case Published:
		j.published(now, e)
	case Leaving:
		j.leaving[e.Endpoint] = now
	case Returned:
		delete(j.leaving, e.Endpoint)
	case ProcessEnded:
		j.breach(now, "RUNNING", "host %d: %s", e.Host, e.Why)
	default:
		j.disturbance(now, event)
	}
}

// disturbance notes what excuses promises that have a time limit.
func (j *Judge) disturbance(now Time, event Event) {
	switch e := event.(type) {
	case Disturbed:
		begin(j.hosts, e.Host)
	case Calmed:
		end(j.hosts, e.Host, now)
	case EndpointDisturbed:
		begin(j.endpoints, e.Endpoint)
	case EndpointCalmed:
		end(j.endpoints, e.Endpoint, now)
	case Stalled:
		j.stalled = now
		j.excuse(e.Since)
	}
}

// excuse takes back what was judged by times in which the soak itself stood still.
func (j *Judge) excuse(since Time) {
	inStall := func(b Breach) bool { return b.At >= since }
	j.late = slices.DeleteFunc(j.late, inStall)
	j.gone = slices.DeleteFunc(j.gone, inStall)
	j.breaches = slices.DeleteFunc(j.breaches, func(b Breach) bool { return inStall(b) && slices.Contains(timedPromises, b.Promise) })
}

func begin[K comparable](all map[K]*trouble, who K) {
	if all[who] == nil {
		all[who] = &trouble{}
	}
	all[who].open++
}

func end[K comparable](all map[K]*trouble, who K, now Time) {
	all[who].open--
	all[who].last = now
}

// calm reports whether nothing disturbed who in the span before now.
func calm[K comparable](all map[K]*trouble, who K, now, span Time) bool {
	t := all[who]
	return t == nil || t.open == 0 && now-t.last >= span
}

// inTouch reports whether a host was undisturbed long enough for promises that have a time limit.
func (j *Judge) inTouch(now Time, host int) bool {
	return calm(j.hosts, host, now, stableFor) && calm(j.hosts, All, now, stableFor) && now-j.stalled >= stableFor
}

func (j *Judge) with(id string, note func(*request)) {
	if r := j.requests[id]; r != nil {
		note(r)
	}
}

func (j *Judge) breach(now Time, promise, format string, args ...any) {
	j.breaches = append(j.breaches, Breach{At: now, Promise: promise, What: fmt.Sprintf(format, args...)})
}

func (j *Judge) ran(now Time, e Ran) {
	r := j.requests[e.Request]
	if r == nil {
		j.breach(now, "UNASKED", "endpoint %s runs %q, which no caller sent", e.Endpoint, e.Request)
		return
	}
	r.runs++
	r.running[e.Endpoint]++
	if e.Path != r.Path {
		j.breach(now, "UNASKED", "request %s: path %q runs as %q", r.Request, r.Path, e.Path)
	}
	if r.Kind == Once && r.runs > 1 {
		j.breach(now, "TWICE", "request %s runs once more, at %s", r.Request, e.Endpoint)
	}
	if r.Kind == Once && r.refused {
		j.breach(now, "REFUSED", "request %s was refused and runs at %s", r.Request, e.Endpoint)
	}
	j.ranWithKey(now, e, r)
	j.ranWhere(now, e, r)
}

func (j *Judge) ranWithKey(now Time, e Ran, r *request) {
	since, revoked := j.revoked[r.Key]
	switch {
	case e.Workspace == "":
		j.breach(now, "UNASKED", "request %s runs for no workspace", r.Request)
	case revoked && r.at > since+revokeLimit:
		j.breach(now, "KEY", "request %s, sent at %.3f s with a key that was taken away at %.3f s, runs at %s",
			r.Request, r.at.Seconds(), since.Seconds(), e.Endpoint)
	case !revoked && !slices.Contains(j.good, r.Key):
		j.breach(now, "KEY", "request %s runs with a key that no set held", r.Request)
	}
}

func (j *Judge) ranWhere(now Time, e Ran, r *request) {
	if since, leaving := j.leaving[e.Endpoint]; leaving && now > since+drainLimit && r.at > since+drainLimit &&
		j.inTouch(now, r.Host) && calm(j.endpoints, e.Endpoint, now, stableFor) {
		j.breach(now, "DRAIN", "request %s, sent through host %d, reaches %s, which leaves since %.3f s", r.Request, r.Host, e.Endpoint, since.Seconds())
	}
	if r.Path != MovedPath {
		return
	}
	if !j.former[e.Service] {
		j.breach(now, "ROUTE", "request %s runs at service %s, which no set allows", r.Request, e.Service)
	}
	if e.Service != j.moved && r.at > j.movedSince+applyLimit && j.inTouch(now, r.Host) {
		j.breach(now, "CONFIG", "request %s, sent through host %d, runs at %s; the route leads to %s since %.3f s",
			r.Request, r.Host, e.Service, j.moved, j.movedSince.Seconds())
	}
}

func (j *Judge) ended(now Time, e Ended) {
	r := j.requests[e.Request]
	if r == nil {
		return
	}
	r.running[e.Endpoint]--
	if r.left > 0 && now > r.left+goneWithin && j.inTouch(now, r.Host) && calm(j.endpoints, e.Endpoint, now, stableFor) {
		j.gone = append(j.gone, Breach{now, "GONE", fmt.Sprintf("request %s of a caller who left at %.3f s through host %d ran on at %s",
			r.Request, r.left.Seconds(), r.Host, e.Endpoint)})
	}
}

func (j *Judge) answered(now Time, e Answered) {
	r := j.requests[e.Request]
	r.answered = true
	j.count(now, e)
	refusal := e.Seal == "" && (e.Status == http.StatusTooManyRequests || e.Status == http.StatusServiceUnavailable)
	switch {
	case e.Wrong != "":
		j.breach(now, "WHOLE", "request %s through host %d: %s", r.Request, r.Host, e.Wrong)
	case e.Seal != "" && !r.gave[e.Status]:
		j.breach(now, "WHOLE", "request %s: status %d, which no endpoint gave", r.Request, e.Status)
	case refusal && r.Kind == Once && r.runs > 0:
		j.breach(now, "REFUSED", "request %s is answered %d and has run", r.Request, e.Status)
	case refusal:
		r.refused = true
	}
	if now > r.Deadline+lateBy && j.inTouch(now, r.Host) {
		j.late = append(j.late, Breach{now, "LATE", fmt.Sprintf("request %s through host %d: answered %.0f ms after its deadline with %d",
			r.Request, r.Host, float64((now - r.Deadline).Milliseconds()), e.Status)})
	}
}

func (j *Judge) count(now Time, e Answered) {
	switch {
	case e.Status == 0:
		j.counts.Cut++
	case e.Status < http.StatusMultipleChoices:
		j.counts.Served++
		return
	case e.Seal == "" && e.Status == http.StatusServiceUnavailable, e.Status == http.StatusTooManyRequests:
		j.counts.Refused++
	case e.Seal == "" && e.Status < http.StatusInternalServerError:
		j.counts.Denied++
	default:
		j.counts.Failed++
	}
	if r := j.requests[e.Request]; slices.Contains(j.good, r.Key) {
		j.troubled = now
	}
}

func (j *Judge) published(now Time, e Published) {
	for _, key := range j.good {
		if !slices.Contains(e.Keys, key) {
			j.revoked[key] = now
		}
	}
	j.good = e.Keys
	if e.Moved != j.moved {
		j.moved, j.movedSince = e.Moved, now
		j.former[e.Moved] = true
	}
}

// Troubled returns when a request last failed that should have been served.
func (j *Judge) Troubled() Time { return j.troubled }

// Counts returns how the requests ended.
func (j *Judge) Counts() Counts { return j.counts }

// timedPromises have a time limit that a slow machine may exceed without any fault of the system.
var timedPromises = []string{"DRAIN", "CONFIG", "RECOVER"}

// Breaches returns every promise that was not kept; with timed false only those that have no time limit in which the soak's
// own machine takes part.
func (j *Judge) Breaches(timed bool) []Breach {
	var all []Breach
	for _, b := range j.breaches {
		if timed || !slices.Contains(timedPromises, b.Promise) {
			all = append(all, b)
		}
	}
	if timed && len(j.late) > fewLate {
		all = append(all, j.late...)
	}
	if timed && len(j.gone) > fewGone {
		all = append(all, j.gone...)
	}
	return all
}

// Unrecovered notes that requests still fail RecoverWithin after the last fault.
func (j *Judge) Unrecovered(now Time, what string) { j.breach(now, "RECOVER", "%s", what) }
