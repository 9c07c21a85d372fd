package site

import (
	"net/http"
	"time"

	"balsamknot.org/fleet/timer"
	"balsamknot.org/soak/checker"
	"balsamknot.org/soak/schedule"
	"balsamknot.org/standin/network"
)

const (
	// endedFor is how long an endpoint is away after its process ended, and replaceGap how long one that is replaced in place is not registered.
	endedFor   = 800 * time.Millisecond
	replaceGap = 30 * time.Millisecond
)

// applyToProcesses applies a fault in which endpoints act as processes do.
func (s *Site) applyToProcesses(f schedule.Fault, e *endpoint, wait func()) {
	switch f.Action {
	case schedule.EndEndpoint:
		s.endEndpoint(e, wait)
	case schedule.SilenceEndpoints:
		s.silence(e.service, wait)
	case schedule.ReplaceEndpoint:
		s.replace(e, wait)
	case schedule.LapseService:
		s.lapse(e.service, wait)
	case schedule.DelayCacheLists:
		s.delayCacheLists(e, f.Delay, wait)
	case schedule.ReturnCold:
		s.returnCold(dataCentre(f.Endpoint), wait)
	case schedule.TurnCold:
		e.turnCold(f.For)
		time.Sleep(f.Delay)
		e.registerAgain()
		wait()
	default:
	}
}

// endEndpoint lets an endpoint send unframed streams, ends its process and starts it again.
func (s *Site) endEndpoint(e *endpoint, wait func()) {
	e.misbehaviour.Store(int64(schedule.UnframedStream))
	wait()
	defer s.startEndpointFault(e.name)()
	e.end()
	e.misbehaviour.Store(0)
	time.Sleep(endedFor)
	e.restart()
}

// silence lets the endpoints of a service send nothing; what they sent meanwhile arrives afterwards.
func (s *Site) silence(service string, wait func()) {
	for _, e := range s.endpoints {
		if e.service == service {
			defer e.link.Impair(network.Fault{Blocked: network.FromTarget})()
		}
	}
	wait()
}

// replace lets an endpoint leave and start again in place with another version.
func (s *Site) replace(e *endpoint, wait func()) {
	end := e.startDraining(e.RegisterDraining)
	wait()
	defer s.startEndpointFault(e.name)()
	e.crash()
	e.Deregister()
	time.Sleep(replaceGap)
	e.setVersion(otherVersion(e.currentVersion()))
	e.restart()
	end()
}

// otherVersion returns the software version that an endpoint is replaced by.
func otherVersion(version string) string {
	if version == engineVersions[0] {
		return engineVersions[1]
	}
	return engineVersions[0]
}

// lapse lets the registrations of a service's endpoints expire in an outage of the store. They are written again just after it.
func (s *Site) lapse(service string, wait func()) {
	defer s.startHostFault(checker.AllHosts)()
	s.addOutage(1)
	var lapsed []*endpoint
	for _, e := range s.endpoints {
		if e.service == service {
			lapsed = append(lapsed, e)
			e.Deregister()
		}
	}
	wait()
	s.addOutage(-1)
	time.Sleep(replaceGap)
	for _, e := range lapsed {
		e.registerAgain()
	}
}

// registerAgain registers the endpoint as ready, unless a fault keeps it from that.
func (e *endpoint) registerAgain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.drainFaults == 0 && e.crashFaults == 0 {
		e.RegisterReady()
	}
}

// delayCacheLists lets the cache lists of an endpoint come late.
func (s *Site) delayCacheLists(e *endpoint, delay time.Duration, wait func()) {
	s.lateLists.Add(1)
	defer s.lateLists.Add(-1)
	e.cacheListDelay.Store(int64(delay))
	defer e.cacheListDelay.Store(0)
	wait()
}

// delayCacheList waits as long as the endpoint's cache lists come late.
func (e *endpoint) delayCacheList(r *http.Request) {
	timer.Sleep(r.Context(), time.Duration(e.cacheListDelay.Load()))
}
