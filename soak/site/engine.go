package site

import (
	"context"
	"io"
	"net/http"
	"slices"
	"time"

	"balsamknot.org/platform/standin"
	"balsamknot.org/soak/schedule"
)

// eventsBeforeBreak is the number of events after which engines that misplace streams break new ones off.
const eventsBeforeBreak = 2

// Events without an ID that engines send.
const (
	commentEvent = ": ping\n\n"
	emptyIDEvent = "id:\ndata: not numbered\n\n"
)

// applyToEngines applies a fault of an engine or of all engines.
func (s *Site) applyToEngines(f schedule.Fault, wait func()) {
	engines := s.engines()
	switch f.Action {
	case schedule.SwitchEngine:
		s.switchEngine(engines[f.Endpoint%len(engines)], f, wait)
	case schedule.SickenEngines:
		s.sickenEngines(engines, f.Sickness, wait)
	default:
	}
}

// engines returns the endpoints that answer with streams.
func (s *Site) engines() []*endpoint {
	return slices.DeleteFunc(slices.Clone(s.endpoints), func(e *endpoint) bool { return e.service != enginesService })
}

// switchEngine lets an engine send unframed streams, and then another process take its place, whose address listens all the time.
func (s *Site) switchEngine(e *endpoint, f schedule.Fault, wait func()) {
	e.misbehaviour.Store(int64(schedule.UnframedStream))
	e.Config.SetKeepAlivesEnabled(false)
	wait()
	defer s.startEndpointFault(e.name)()
	e.misbehaviour.CompareAndSwap(int64(schedule.UnframedStream), 0)
	e.Config.SetKeepAlivesEnabled(true)
	e.replaceProcess(f.Upgrade)
	time.Sleep(f.Delay)
	e.registerAgain()
}

// replaceProcess ends the endpoint's connections in order and all requests that are being executed. Another process, of another version if upgrade
// is set, takes the next requests at once.
func (e *endpoint) replaceProcess(upgrade bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.link.EndConnections()
	e.cancelRun()
	e.runCtx, e.cancelRun = context.WithCancel(context.Background())
	if upgrade {
		e.setVersion(otherVersion(e.currentVersion()))
	}
	e.Restart()
	e.turnCold(coldTime)
	e.SetCachedParts()
}

// sickenEngines makes all engines go on with streams at other positions than they were asked to.
func (s *Site) sickenEngines(engines []*endpoint, sickness schedule.Misbehaviour, wait func()) {
	s.misplacing.Add(1)
	defer s.misplacing.Add(-1)
	for _, e := range engines {
		defer s.startEndpointFault(e.name)()
		e.misbehaviour.Store(int64(sickness))
		defer e.misbehaviour.CompareAndSwap(int64(sickness), 0)
	}
	wait()
}

// misplace returns the position after which a misbehaviour lets a stream go on, other than the one that was asked for. If it breaks the stream
// off, it does not return. A host can tell that an event is left out only once it has seen two events of the stream, or other streams: where a
// caller takes a stream up, it may have seen neither.
func misplace(w http.ResponseWriter, r *http.Request, misbehaviour schedule.Misbehaviour, after int) int {
	switch misbehaviour {
	case schedule.RepeatStream:
		return 0
	case schedule.RepeatEvent:
		return after - 1
	case schedule.SkipEvent:
		if r.Header.Get(standin.ResumesHeader) == "" && after >= eventsBeforeBreak {
			after++
		}
	case schedule.EmptyEventID:
		breakOffAfter(w, emptyIDEvent)
	default:
		breakOffAfter(w, commentEvent)
	}
	return after
}

// breakOffAfter sends a text and breaks the response off. It does not return.
func breakOffAfter(w http.ResponseWriter, text string) {
	_, _ = io.WriteString(w, text)
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}
