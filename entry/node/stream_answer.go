package node

import (
	"errors"
	"io"
	"net/http"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"balsamknot.org/balsamknot/event"
	"balsamknot.org/entry/connection"
	"balsamknot.org/fleet/attempt"
	"balsamknot.org/fleet/endpoint"
	"balsamknot.org/fleet/memory"
	"balsamknot.org/fleet/pool"
	"balsamknot.org/fleet/stream"
	"balsamknot.org/fleet/timer"
	"balsamknot.org/platform"
)

// streamEvents passes the events of a stream on as they arrive. Only complete events that go on from the stream's position are sent, so that
// the stream can be resumed at another endpoint after any of them.
func (n *Node) streamEvents(q *request, a *attempt.Attempt, id endpoint.ID, x *connection.Exchange) (pool.Result, attempt.Command) {
	events := connection.NewEventReader(x.Response.Body)
	events.Reserve = func(bytes int) bool { return n.reserveEvent(q, memory.Bytes(bytes)) }
	control := http.NewResponseController(q.w)
	after := q.position.Last()
	consecutive := after != "" && n.streams.numbersConsecutively(q.service)
	q.position.BeginRun()
	for first := true; ; first = false {
		ev, err := events.Next()
		if errors.Is(err, io.EOF) {
			return n.endStream(q, a, id, x)
		}
		if err != nil {
			return n.interrupted(q, a, id, err)
		}
		q.observed.received(timer.BootClock())
		n.paths.heard(q.address, x)
		n.crashes.recordReceived(q, x)
		if first && after != "" {
			n.logStreamWentOn(q, x, after, ev.ID)
		}
		if err := q.position.Check(ev.ID, consecutive); err != nil {
			return n.misplaced(q, a, id, x, err)
		}
		n.startStream(q, a, x)
		n.bindStream(q)
		q.position.Advance(ev.ID, ev.HasData)
		a.NotePosition(q.position.Known())
		_, err = q.w.Write(ev.Text)
		if err := errors.Join(err, control.Flush()); err != nil {
			n.endDisconnected(q)
		}
	}
}

// endStream ends a stream whose endpoint sent no further event.
func (n *Node) endStream(q *request, a *attempt.Attempt, id endpoint.ID, x *connection.Exchange) (pool.Result, attempt.Command) {
	if err := n.confirmEnd(q, x); err != nil {
		return n.interrupted(q, a, id, err)
	}
	x.Finish()
	n.startStream(q, a, x)
	n.streams.noteNumbers(q)
	n.recordCompletion(q, x)
	return q.completedResult(x), nil
}

// misplaced handles a run that does not go on from the stream's position: its events are others, or it has none. The endpoint lives, so that its
// run is no crash.
func (n *Node) misplaced(q *request, a *attempt.Attempt, id endpoint.ID, x *connection.Exchange, err error) (pool.Result, attempt.Command) {
	now := timer.BootClock()
	n.crashes.recordSignOfLife(now, q, x)
	q.cause = eris.Wrapf(err, "read the stream of endpoint %s after event %s", q.address, q.position.Last()).Error()
	n.meter.recordMisplaced()
	return pool.Failed, a.Update(now, attempt.Interrupted{ID: id})
}

// logStreamWentOn logs the ID of the first event of a stream that goes on after a position.
func (n *Node) logStreamWentOn(q *request, x *connection.Exchange, after, first stream.EventID) {
	now := timer.BootClock()
	q.logEvent(n.log, zerolog.InfoLevel, event.StreamWentOn).Str("Endpoint", string(q.endpoint)).Str("Software", string(q.software)).
		Str("Position", string(after)).Str("First", string(first)).Dur("ConnectedMs", now.Sub(x.ConnectedAt())).Dur("BeliefMs", n.storeView.age(now)).Send()
}

// startStream sends the headers of a stream to the caller, once: a stream that is resumed at another endpoint keeps the first
// ones.
func (n *Node) startStream(q *request, a *attempt.Attempt, x *connection.Exchange) {
	if !q.firstByteAt.IsZero() {
		return
	}
	q.firstByteAt = timer.BootClock()
	platform.CopyAnswerHeaders(q.w.Header(), x.Response.Header)
	q.w.WriteHeader(x.Response.StatusCode)
	a.Delivering()
}

// bindStream binds a stream to the version that brought its first event, before the caller gets that event.
func (n *Node) bindStream(q *request) {
	if q.begun {
		return
	}
	q.begun = true
	if q.version == "" {
		q.version = q.software
	}
	n.streams.recordBegin(q)
}
