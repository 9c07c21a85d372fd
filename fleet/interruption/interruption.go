// Package interruption decides whether an endpoint crashed while it ran a request whose answer is missing or incomplete.
//
// A broken connection has many causes. The package attributes it to a crash only on evidence that the endpoint ended at that time:
// nothing listens at its address, another incarnation or another endpoint of its service registers there, or one of another service that then answers
// there, or its registration is removed although it was not leaving. It rules a crash out when a connection from before the interruption still carries
// answers and, after a time-out, when any does. An endpoint that answers a while after its end had not ended.
package interruption

import (
	"slices"
	"time"

	"balsamknot.org/fleet/endpoint"
	"balsamknot.org/fleet/fingerprint"
)

const (
	// window is how long after an interruption evidence of a crash is attributed to it. It exceeds the lifetime of a
	// registration without heartbeats by more than a short outage of the platform.
	window = 15 * time.Second
	// listeningWindow is how long after a probe found something listening the registration of another incarnation is still
	// attributed to the interruption: a process that started before the probe has registered by then.
	listeningWindow = 5 * time.Second
	// endedMemory is how long an ended incarnation is remembered, for runs that break off or time out after its end.
	endedMemory = time.Minute
	// revivalDelay is how long after its end an incarnation must answer at least for that end to be wrong: answers that it wrote before are read by then.
	revivalDelay = 2 * time.Second
	// maxRunsPerEndpoint limits the runs that are remembered for one incarnation; the oldest are dropped.
	maxRunsPerEndpoint = 256
	// refusalsOfLostEndpoint is how many probes in a row nothing must answer for the endpoint to be lost. One alone may be an
	// endpoint that briefly accepts no more connections.
	refusalsOfLostEndpoint = 2
)

// probeDelays are the times of the probes after an interruption. Several are made, since a process that ends may close its
// connections before its listener.
var probeDelays = []time.Duration{50 * time.Millisecond, 250 * time.Millisecond, time.Second}

// unmarkedProbeDelays are the times of the probes after an answer without a marked end. They leave time for a sign of life, since many
// endpoints may send such answers.
var unmarkedProbeDelays = []time.Duration{250 * time.Millisecond, 500 * time.Millisecond, time.Second}

// Run is a run of a request whose answer is missing or incomplete.
type Run struct {
	// Request is the request's ID.
	Request     string
	Fingerprint fingerprint.Fingerprint
	// Parts are the fingerprints of the parts of its prompt that other requests may share, and Trials those of which the run is a trial,
	// see fingerprint.Decision.
	Parts    []fingerprint.Fingerprint
	Trials   []fingerprint.Fingerprint
	Endpoint endpoint.Instance
	// StartedAt is when the request was sent, and EndedAt when the run ended.
	StartedAt, EndedAt time.Time
}

// Event is something that a host learned about an endpoint.
type Event interface{ event() }

// Interrupted means that a run ended without a complete answer. Broken is true if the endpoint closed or reset the connection,
// and false after a time-out or the disconnection of the caller. Unmarked is true if the answer looks complete, but only the end of the
// connection ended it: the endpoint may have crashed there.
type Interrupted struct {
	Run              Run
	Broken, Unmarked bool
}

// Answered means that the endpoint sent an answer to its end over a connection that was established at ConnectedAt.
type Answered struct {
	Endpoint    endpoint.Instance
	ConnectedAt time.Time
}

// Probed is the result of a connection attempt. Refused is true if nothing listens at the address.
type Probed struct {
	Endpoint endpoint.Instance
	Refused  bool
}

// Registered means that an endpoint is registered with the platform, anew or with other values.
type Registered struct{ Record endpoint.Record }

// Removed means that an endpoint is no longer registered.
type Removed struct{ ID endpoint.ID }

// ReportedLost means that another host has evidence that the endpoint crashed.
type ReportedLost struct{ Endpoint endpoint.Instance }

// Tick lets the tracker start probes that are due and drop what is too old.
type Tick struct{}

func (Interrupted) event()  {}
func (Answered) event()     {}
func (Probed) event()       {}
func (Registered) event()   {}
func (Removed) event()      {}
func (ReportedLost) event() {}
func (Tick) event()         {}

// Command is a conclusion or a task for the caller of Update.
type Command interface{ command() }

// Probe requests an attempt to connect to an endpoint. Its result is to be reported as Probed.
type Probe struct {
	Endpoint endpoint.Instance
	// Address is ip:port.
	Address string
}

// Crashed means that the endpoint crashed while it ran the request.
type Crashed struct{ Run Run }

// Completed means that an answer whose end was not marked was complete, since the endpoint did not crash there.
type Completed struct{ Run Run }

// Dropped means that the run is no longer considered, for the Reason given.
type Dropped struct {
	Run    Run
	Reason string
}

func (Probe) command()     {}
func (Crashed) command()   {}
func (Completed) command() {}
func (Dropped) command()   {}

// Reasons of Dropped.
const (
	reasonAnswered = "the endpoint still answers"
	reasonListens  = "the endpoint still listened when its registration was removed"
	reasonExpired  = "no evidence of a crash in time"
	reasonLeaving  = "the endpoint was leaving"
	reasonUnknown  = "the endpoint is not known"
	reasonTooMany  = "too many runs"
)

// Tracker holds the interrupted runs of one host until their cause is known. It is not safe for concurrent use.
type Tracker struct {
	incarnations map[endpoint.Instance]*incarnation
	// registered holds the incarnation that is registered now, by endpoint, and byAddress those that are registered at an address, in the order in
	// which they were: an entry may name the address of an endpoint that is none of its own.
	registered map[endpoint.ID]endpoint.Instance
	byAddress  map[string][]endpoint.Instance
	// replaced holds the incarnations that ended for another endpoint at their address, while their own registrations last.
	replaced map[endpoint.ID]endpoint.Instance
	// awaited holds the incarnations with runs whose answer has not begun.
	awaited map[endpoint.Instance]bool
	// active lists the incarnations with interrupted runs, and ended those that ended, in that order.
	active, ended []endpoint.Instance
	pending       int
}

// incarnation is the state of one run of an endpoint, from its registration until endedMemory after its end.
type incarnation struct {
	record endpoint.Record
	// endedAt is when another incarnation took its place or its registration was removed; zero before.
	endedAt time.Time
	runs    []pendingRun
	// probes holds the times of the probes that are still to be made, and refusals counts those in a row that were refused.
	probes   []time.Time
	refusals int
	// waiting holds the runs whose answer has not begun, by request, and aliveAt is when the endpoint last sent something.
	waiting map[string]waitingRun
	aliveAt time.Time
}

// pendingRun is a run whose cause is not known yet.
type pendingRun struct {
	Run
	// broken and unmarked are those of Interrupted, and listening is true once a probe found something listening at the address.
	broken, unmarked, listening bool
	// until is when the run is dropped.
	until time.Time
}

// NewTracker returns a tracker that knows no endpoint.
func NewTracker() *Tracker {
	return &Tracker{
		incarnations: make(map[endpoint.Instance]*incarnation), registered: make(map[endpoint.ID]endpoint.Instance),
		byAddress: make(map[string][]endpoint.Instance), replaced: make(map[endpoint.ID]endpoint.Instance), awaited: make(map[endpoint.Instance]bool),
	}
}

// AwaitsAnswers reports whether Answered could change anything: runs whose cause is not known, or endpoints that were replaced.
func (t *Tracker) AwaitsAnswers() bool { return t.pending > 0 || len(t.replaced) > 0 }

// Pending returns the number of runs whose cause is not known yet.
func (t *Tracker) Pending() int { return t.pending }

// Update applies one event at time now and returns the commands that follow from it. It does no I/O.
func (t *Tracker) Update(now time.Time, event Event) []Command {
	switch e := event.(type) {
	case Sent:
		t.sent(e)
	case Received:
		return t.received(now, e)
	case Withdrawn:
		t.stopWaiting(e.Endpoint, e.Request)
	case Interrupted:
		t.stopWaiting(e.Run.Endpoint, e.Run.Request)
		return t.interrupted(now, e)
	case Answered:
		return t.answered(now, e)
	case Probed:
		return t.probed(now, e)
	case Registered:
		return t.register(now, e.Record)
	case Removed:
		delete(t.replaced, e.ID)
		return t.remove(now, t.registered[e.ID])
	case ReportedLost:
		return t.lost(e.Endpoint)
	case Tick:
		return t.tick(now)
	}
	return nil
}

func (t *Tracker) interrupted(now time.Time, e Interrupted) []Command {
	in := t.incarnations[e.Run.Endpoint]
	switch {
	case in == nil:
		return []Command{Dropped{e.Run, reasonUnknown}}
	case in.record.Leaving:
		return []Command{Dropped{e.Run, reasonLeaving}}
	case !in.endedAt.IsZero():
		return []Command{Crashed{e.Run}}
	}
	var commands []Command
	if len(in.runs) >= maxRunsPerEndpoint {
		commands = append(commands, Dropped{in.runs[0].Run, reasonTooMany})
		in.runs = in.runs[1:]
		t.pending--
	}
	if len(in.runs) == 0 && !slices.Contains(t.active, e.Run.Endpoint) {
		t.active = append(t.active, e.Run.Endpoint)
	}
	in.runs = append(in.runs, pendingRun{Run: e.Run, broken: e.Broken, unmarked: e.Unmarked, until: e.Run.EndedAt.Add(window)})
	t.pending++
	switch {
	case e.Broken:
		in.scheduleProbes(now, probeDelays)
	case e.Unmarked:
		in.scheduleProbes(now, unmarkedProbeDelays)
	}
	return commands
}

// scheduleProbes schedules probes after the given delays, unless some are scheduled already.
func (in *incarnation) scheduleProbes(now time.Time, delays []time.Duration) {
	if len(in.probes) > 0 {
		return
	}
	in.refusals = 0
	for _, delay := range delays {
		in.probes = append(in.probes, now.Add(delay))
	}
}

// answered drops the runs that did not end in a crash: those that ended while the connection was open, so long ago that the answer was sent
// after that, and, if they only timed out, all that ended before. Endpoints that were registered at the address before have ended.
func (t *Tracker) answered(now time.Time, e Answered) []Command {
	in := t.incarnations[e.Endpoint]
	if in == nil {
		return nil
	}
	t.revive(now, e.Endpoint, in)
	ended := t.endPredecessors(now, e.Endpoint, in.record.Address)
	return append(ended, t.drop(in, reasonAnswered, func(run pendingRun) bool {
		timedOut := !run.broken && !run.unmarked
		if timedOut {
			return run.EndedAt.Before(now)
		}
		return now.Sub(run.EndedAt) > buffered && run.EndedAt.After(e.ConnectedAt)
	})...)
}

func (t *Tracker) probed(now time.Time, e Probed) []Command {
	in := t.incarnations[e.Endpoint]
	switch {
	case in == nil || len(in.runs) == 0:
		return nil
	case !e.Refused:
		in.refusals = 0
		in.noteListening(now)
		return nil
	}
	if in.refusals++; in.refusals < refusalsOfLostEndpoint {
		return nil
	}
	return t.lost(e.Endpoint)
}

// noteListening notes that something listens at the address, the endpoint or one that took its place meanwhile.
func (in *incarnation) noteListening(now time.Time) {
	for i := range in.runs {
		run := &in.runs[i]
		if until := now.Add(listeningWindow); !run.listening && until.Before(run.until) {
			run.until = until
		}
		run.listening = true
	}
}

// lost attributes the end of an incarnation to the runs that were interrupted there, unless it was leaving.
func (t *Tracker) lost(instance endpoint.Instance) []Command {
	in := t.incarnations[instance]
	if in == nil {
		return nil
	}
	if in.record.Leaving {
		return t.drop(in, reasonLeaving, func(pendingRun) bool { return true })
	}
	var commands []Command
	for _, run := range in.runs {
		commands = append(commands, Crashed{run.Run})
	}
	t.pending -= len(in.runs)
	in.runs, in.probes, in.refusals = nil, nil, 0
	return commands
}

// conclude returns the command for a run that is no longer considered for the reason given. An answer without a marked end was complete
// if its endpoint proved to be alive afterwards, or listened and did not register anew.
func (run pendingRun) conclude(reason string) Command {
	if run.unmarked && (reason == reasonAnswered || reason == reasonExpired && run.listening) {
		return Completed{run.Run}
	}
	return Dropped{run.Run, reason}
}

// drop removes the runs that match and ends the probes if none is left.
func (t *Tracker) drop(in *incarnation, reason string, match func(pendingRun) bool) []Command {
	var commands []Command
	kept := in.runs[:0]
	for _, run := range in.runs {
		if match(run) {
			commands = append(commands, run.conclude(reason))
			continue
		}
		kept = append(kept, run)
	}
	t.pending -= len(in.runs) - len(kept)
	if in.runs = kept; len(kept) == 0 {
		in.probes, in.refusals = nil, 0
	}
	return commands
}

func (t *Tracker) tick(now time.Time) []Command {
	var commands []Command
	active := t.active[:0]
	for _, instance := range t.active {
		in := t.incarnations[instance]
		if in == nil {
			continue
		}
		commands = append(commands, t.drop(in, reasonExpired, func(run pendingRun) bool { return now.After(run.until) })...)
		if len(in.runs) == 0 {
			continue
		}
		active = append(active, instance)
		if len(in.probes) > 0 && !now.Before(in.probes[0]) {
			in.probes = in.probes[1:]
			commands = append(commands, Probe{Endpoint: instance, Address: in.record.Address})
		}
	}
	t.active = active
	commands = append(commands, t.reportSilence(now)...)
	t.forgetEnded(now)
	return commands
}
