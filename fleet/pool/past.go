package pool

import (
	"cmp"
	"math"
	"slices"
	"time"

	"balsamknot.org/fleet/endpoint"
)

// PastRead carries what the history of the platform's store tells of the endpoints from before this host's first copy of the store.
type PastRead struct {
	// Departed holds the registrations of endpoints that had left by then.
	Departed []endpoint.Record
	// CreatedAt is the revision at which the registration of each incarnation was created, of those that the history tells.
	CreatedAt map[endpoint.Instance]int64
}

func (PastRead) event() {}

// readPast records the past. What engines cached that left before is not known, and never will be.
func (k *Keeper) readPast(now time.Time, e PastRead) {
	k.createdAt = e.CreatedAt
	for _, s := range k.services {
		s.createdAt = e.CreatedAt
	}
	for _, r := range e.Departed {
		k.service(r.Service).noteDeparted(now, r)
	}
}

// noteDeparted remembers an engine that left before this host knew of it, unless it is registered.
func (s *service) noteDeparted(now time.Time, r endpoint.Record) {
	if st := s.endpoints[r.Instance.ID]; st != nil && st.record.Instance == r.Instance {
		return
	}
	s.departed.add(now, newEndpointState(r))
}

// versionOrder returns the versions of the engines that are registered or left lately, from the one that was there first to the last one; nil if their
// order is not known, or if the last one takes no requests. Versions have no order of their own. Where this is known, a session moved from an earlier
// version to a later one only, see sessionVersion.
func (s *service) versionOrder(now time.Time) []endpoint.Version {
	if !s.mayBeOlder(now) || len(s.versionSince) < 2 && len(s.departed) == 0 {
		return nil
	}
	first := make(map[endpoint.Version]int64)
	note := func(version endpoint.Version, created int64) {
		if earliest, found := first[version]; !found || created < earliest {
			first[version] = created
		}
	}
	for _, st := range s.sorted {
		created, known := s.createdAt[st.record.Instance]
		switch {
		case known:
			note(st.record.Version, created)
		case st.addedAt.After(s.loadedAt):
			note(st.record.Version, math.MaxInt64)
		default:
			return nil
		}
	}
	for _, d := range s.departed.lately(now) {
		created, known := s.createdAt[d.instance]
		if !known {
			return nil
		}
		note(d.version, created)
	}
	return s.inOrder(first)
}

// inOrder returns versions in the order in which each was there first, for versionOrder.
func (s *service) inOrder(first map[endpoint.Version]int64) []endpoint.Version {
	order := sortedKeys(first)
	slices.SortStableFunc(order, func(a, b endpoint.Version) int { return cmp.Compare(first[a], first[b]) })
	for i := range max(len(order)-1, 0) {
		if first[order[i]] == first[order[i+1]] {
			return nil
		}
	}
	if len(order) == 0 || !s.takesRequests(order[len(order)-1]) {
		return nil
	}
	return order
}

// takesRequests reports whether an engine of a version takes requests.
func (s *service) takesRequests(version endpoint.Version) bool {
	return slices.ContainsFunc(s.sorted, func(st *endpointState) bool { return st.record.Version == version && st.takesRequests() })
}
