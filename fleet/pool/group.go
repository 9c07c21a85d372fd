package pool

import "slices"

const (
	// maxGroupSize is how many endpoints a group has at most, on average over the groups of a service.
	maxGroupSize = 160
	// minGroupShare is the part of maxGroupSize below which groups are joined: a quarter, so that endpoints that come and go do not divide and
	// join them by turns.
	minGroupShare = 4
	// groupLoadFactor and groupLoadMargin bound the load of the group that a prompt's prefix chooses first: with more running requests an
	// endpoint than groupLoadFactor times those of the second one, plus groupLoadMargin, the second comes first.
	groupLoadFactor = 1.25
	groupLoadMargin = 1.0
)

// group is a part of the endpoints of a large service. Which group an endpoint belongs to follows from the hash of its ID alone.
type group struct {
	// members is in order of ID.
	members []*endpointState
	// running is the number of slots held at the members.
	running int
}

// load returns the mean number of requests that run at a member.
func (g *group) load() float64 { return float64(g.running) / float64(max(len(g.members), 1)) }

// groups divides the endpoints of a service, so that the keeper compares those of one group for a request instead of all of them. There
// are a power of two of them: when their number doubles, each group is divided into two, and joined again when few endpoints are left.
//
// Of the two groups that follow from a prompt's prefix, the first is taken unless it is clearly busier than the second, so that keepers
// without cache information choose the same group, and no group is overloaded by the prefixes that fall to it.
//
// Source: Mitzenmacher, IEEE Transactions on Parallel and Distributed Systems 12, 2001, on the power of two choices; Mirrokni, Thorup and
// Zadimoghaddam, "Consistent Hashing with Bounded Loads", 2018.
type groups []*group

// groupCount returns the least power of two of groups that have at most maxSize endpoints on average.
func groupCount(endpoints, maxSize int) int {
	count := 1
	for endpoints > count*maxSize {
		count *= 2
	}
	return count
}

// homeIndexes returns the indexes of the two groups that follow from a key.
func homeIndexes(key, mask uint64) (first, second uint64) {
	hash := mix64(key)
	return hash & mask, hash >> 32 & mask
}

// newGroups divides endpoints, which are in order of ID, into groups of about maxSize at most.
func newGroups(endpoints []*endpointState, maxSize int) groups {
	gs := make(groups, groupCount(len(endpoints), maxSize))
	for i := range gs {
		gs[i] = &group{}
	}
	for _, st := range endpoints {
		g := gs.of(st)
		g.members = append(g.members, st)
		g.running += st.running
		st.group = g
	}
	return gs
}

// of returns the group of an endpoint.
func (gs groups) of(st *endpointState) *group { return gs[st.hash&gs.mask()] }

func (gs groups) mask() uint64 { return uint64(len(gs) - 1) }

// first returns the index of the group to which a key falls.
func (gs groups) first(key uint64) uint64 {
	first, second := homeIndexes(key, gs.mask())
	if gs[first].load() > groupLoadFactor*gs[second].load()+groupLoadMargin {
		return second
	}
	return first
}

// forEach calls do for each group, the one to which the key falls first, until do returns false.
func (gs groups) forEach(key uint64, do func(*group) bool) {
	first := gs.first(key)
	for i := range uint64(len(gs)) {
		if !do(gs[first^i]) {
			return
		}
	}
}

// add adds an endpoint to its group.
func (gs groups) add(st *endpointState) {
	g := gs.of(st)
	at, _ := searchEndpoint(g.members, st.record.Instance.ID)
	g.members = slices.Insert(g.members, at, st)
	g.running += st.running
	st.group = g
}

// remove removes an endpoint from its group.
func (gs groups) remove(st *endpointState) {
	if at, found := searchEndpoint(st.group.members, st.record.Instance.ID); found {
		st.group.members = slices.Delete(st.group.members, at, at+1)
		st.group.running -= st.running
	}
	st.group = nil
}
