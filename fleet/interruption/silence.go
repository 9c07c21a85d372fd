package interruption

import (
	"cmp"
	"slices"
	"time"

	"balsamknot.org/fleet/endpoint"
)

// silentAfter is how long a run may wait for the first byte of its answer at an endpoint that sends this host nothing else either,
// before the endpoint is suspected to have ended. It leaves the hosts as long to tell each other before they must know.
const silentAfter = 1500 * time.Millisecond

// buffered is how long bytes that an endpoint sent before its end may still arrive at a busy host.
const buffered = 100 * time.Millisecond

// Sent means that a request was sent to an endpoint. Run.EndedAt is zero. One of Received, Withdrawn and Interrupted must follow.
type Sent struct{ Run Run }

// Received means that an endpoint sent the first or a further part of its answer to a request, over a connection that was established at
// ConnectedAt.
type Received struct {
	Request     string
	Endpoint    endpoint.Instance
	ConnectedAt time.Time
}

// Withdrawn means that a request could not be sent after all.
type Withdrawn struct {
	Request  string
	Endpoint endpoint.Instance
}

func (Sent) event()      {}
func (Received) event()  {}
func (Withdrawn) event() {}

// Silent means that an endpoint has sent nothing since it was sent the request. It may have ended without closing its connections.
type Silent struct{ Run Run }

func (Silent) command() {}

// waitingRun is a run whose answer has not begun. reported is true after Silent.
type waitingRun struct {
	Run
	reported bool
}

func (t *Tracker) sent(e Sent) {
	in := t.incarnations[e.Run.Endpoint]
	if in == nil {
		return
	}
	if in.waiting == nil {
		in.waiting = make(map[string]waitingRun)
	}
	in.waiting[e.Run.Request] = waitingRun{Run: e.Run}
	t.awaited[e.Run.Endpoint] = true
}

func (t *Tracker) received(now time.Time, e Received) []Command {
	t.stopWaiting(e.Endpoint, e.Request)
	in := t.incarnations[e.Endpoint]
	if in == nil {
		return nil
	}
	in.aliveAt = now
	if len(in.runs) == 0 {
		return nil
	}
	return t.drop(in, reasonAnswered, func(run pendingRun) bool {
		return run.unmarked && now.Sub(run.EndedAt) > buffered && run.EndedAt.After(e.ConnectedAt)
	})
}

// stopWaiting removes a run from those whose answer has not begun.
func (t *Tracker) stopWaiting(instance endpoint.Instance, request string) {
	in := t.incarnations[instance]
	if in == nil {
		return
	}
	if delete(in.waiting, request); len(in.waiting) == 0 {
		delete(t.awaited, instance)
	}
}

// reportSilence returns the runs that have waited for silentAfter at endpoints which sent nothing meanwhile, each once and the oldest
// first.
func (t *Tracker) reportSilence(now time.Time) []Command {
	var silent []Run
	for instance := range t.awaited {
		in := t.incarnations[instance]
		if in == nil {
			delete(t.awaited, instance)
			continue
		}
		for request, run := range in.waiting {
			if run.reported || now.Sub(run.StartedAt) < silentAfter || in.aliveAt.After(run.StartedAt) {
				continue
			}
			run.reported = true
			in.waiting[request] = run
			silent = append(silent, run.Run)
		}
	}
	slices.SortFunc(silent, func(a, b Run) int {
		return cmp.Or(a.StartedAt.Compare(b.StartedAt), cmp.Compare(a.Request, b.Request), cmp.Compare(a.Endpoint.ID, b.Endpoint.ID))
	})
	var commands []Command
	for _, run := range silent {
		commands = append(commands, Silent{run})
	}
	return commands
}
