package pool

import (
	"slices"
	"time"

	"balsamknot.org/fleet/endpoint"
	"balsamknot.org/fleet/site"
)

// CancelList ends the request for an engine's cache list, whose CacheListed then reports that it failed.
type CancelList struct {
	Service  site.ServiceName
	Instance endpoint.Instance
}

func (CancelList) command() {}

// cancelLateLists gives up lists that are late compared with those of other engines, so that an engine that lost the request is asked again
// soon, and a list is not cut short where all take long.
func (s *service) cancelLateLists(now time.Time) []Command {
	if s.listing.inFlight == 0 {
		return nil
	}
	usual, known := s.usualListTime()
	if !known {
		return nil
	}
	var commands []Command
	for _, st := range s.sorted {
		if st.list.late(now, usual) {
			st.list.cancelled = true
			commands = append(commands, CancelList{Service: s.name, Instance: st.record.Instance})
		}
	}
	return commands
}

// usualListTime returns the median time that lists took. It is not known while fewer engines have listed their caches than are asked.
func (s *service) usualListTime() (usual time.Duration, known bool) {
	var took []time.Duration
	for _, st := range s.sorted {
		if st.list.state == listed {
			took = append(took, st.list.took)
		}
	}
	if len(took) == 0 || len(took) < s.listing.inFlight {
		return 0, false
	}
	slices.Sort(took)
	return took[len(took)/2], true
}

// late reports whether the list that is requested now takes much longer than usual.
func (l engineList) late(now time.Time, usual time.Duration) bool {
	if l.state != listRequested || l.cancelled {
		return false
	}
	limit := max(doubled(minLateAfter, l.failures, maxListTimeLimit), lateFactor*usual)
	return now.Sub(l.requestedAt) >= limit
}
