package pool

import (
	"slices"
	"strconv"

	"balsamknot.org/fleet/chat"
	"balsamknot.org/fleet/endpoint"
	"balsamknot.org/fleet/site"
)

// ListGroup is a part of a service's engines, whose caches one host lists: those whose hash modulo Count is Index. It says by itself which engines
// it has, so that hosts whose registrations differ mean the same ones. The zero value is all engines.
type ListGroup struct{ Index, Count uint32 }

// GroupAnswer is what a host knows of the engines of a group that may cache a part of a prompt.
type GroupAnswer struct {
	Group ListGroup
	// Found has the versions whose engines cache the part, or did until they left, in order. Possible has those whose engines may cache it only for
	// requests that came after the host started, so that it is no sign by itself of where an older stream began.
	Found    []endpoint.Version
	Possible []endpoint.Version
	// Left has the versions of engines that left before this host knew what they cached, so that one of them may have begun the stream, in order.
	Left []endpoint.Version
	// Order has the versions of the service from the earliest to the latest; empty if that is not known, see service.versionOrder.
	Order []endpoint.Version
	// Standing is that of the lookup's stream among those of its session.
	Standing Standing
	// Awaited has the versions of the engines that are still to be asked or awaited, in order, and Unlisted is true if an engine has not listed its
	// cache, awaited or not.
	Awaited  []endpoint.Version
	Unlisted bool
}

// AwaitPast returns the answer of a host that does not know yet which engines left before it started: whatever caches the part may still be contradicted.
func (a GroupAnswer) AwaitPast() GroupAnswer {
	return GroupAnswer{Group: a.Group, Awaited: distinct(append(slices.Clone(a.Found), a.Awaited...)), Unlisted: true}
}

// ListGroupCount returns how many groups the engines of a service are divided into for the listing of their caches: a power of two, 1 for those
// that the keeper of the service lists itself.
func (k *Keeper) ListGroupCount(name site.ServiceName) int {
	return k.service(name).listGroupCount()
}

func (s *service) listGroupCount() int { return groupCount(len(s.sorted), s.maxGroupSize) }

// homeGroups returns the groups to which a prompt's prefix falls, without a second one that is the same. A prompt without a prefix has none.
func homeGroups(prefix chat.PartID, count int) []ListGroup {
	if prefix == 0 {
		return nil
	}
	first, second := homeIndexes(uint64(prefix), uint64(count-1))
	home := []ListGroup{listGroup(int(first), count), listGroup(int(second), count)}
	return slices.Compact(home)
}

func listGroup(index, count int) ListGroup {
	return ListGroup{Index: uint32(index), Count: uint32(count)}
}

// RankKey returns the key by which hosts are ranked for the listing of a group of a service: the first live one lists it.
func (g ListGroup) RankKey(name site.ServiceName) string {
	return "lists/" + string(name) + "/" + strconv.Itoa(int(g.Count)) + "/" + strconv.Itoa(int(g.Index))
}

// isAll reports whether the group has all engines.
func (g ListGroup) isAll() bool { return g.Count <= 1 }

// contains reports whether the engine with a hash belongs to the group.
func (g ListGroup) contains(hash uint64) bool {
	return g.isAll() || hash%uint64(g.Count) == uint64(g.Index)
}

// members returns the engines of a group, in order of ID.
func (s *service) members(g ListGroup) []*endpointState {
	switch {
	case g.isAll():
		return s.sorted
	case int(g.Count) == len(s.groups) && int(g.Index) < len(s.groups):
		return s.groups[g.Index].members
	}
	var members []*endpointState
	for _, st := range s.sorted {
		if g.contains(st.hash) {
			members = append(members, st)
		}
	}
	return members
}
