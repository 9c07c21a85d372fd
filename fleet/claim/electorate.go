package claim

import (
	"slices"
	"time"

	"balsamknot.org/fleet/host"
	"balsamknot.org/fleet/placement"
)

// electorsPerKey is how many hosts may vouch for a key.
const electorsPerKey = 5

// Quorum returns how many of n electors must vouch. Two quorums of 4 of 5 meet
// even when the two lists differ in two electors: (5-2) - 2*(5-4) = 1.
func Quorum(n int) int {
	if n < electorsPerKey {
		return n
	}
	return electorsPerKey - 1
}

// Electorate is one node's history of the slow host view, long enough to tell
// since when the node has been an elector of a key.
type Electorate struct {
	views []view
}

type view struct {
	since time.Time
	hosts []host.ID
}

// Observe records the hosts that may be electors from now on and drops views older than keep.
func (e *Electorate) Observe(now time.Time, hosts []host.ID, keep time.Duration) {
	if n := len(e.views); n > 0 && slices.Equal(e.views[n-1].hosts, hosts) {
		return
	}
	e.views = append(e.views, view{since: now, hosts: slices.Clone(hosts)})
	for len(e.views) > 1 && now.Sub(e.views[1].since) > keep {
		e.views = e.views[1:]
	}
}

// Electors returns the hosts that vouch for a key by the current view.
func (e *Electorate) Electors(key Key) []host.ID {
	if len(e.views) == 0 {
		return nil
	}
	return placement.Rank(string(key), e.views[len(e.views)-1].hosts, electorsPerKey)
}

// Since returns when self became an elector of the key and has been ever since, zero if it is not one.
func (e *Electorate) Since(key Key, self host.ID) time.Time {
	var since time.Time
	for i := len(e.views) - 1; i >= 0; i-- {
		if !slices.Contains(placement.Rank(string(key), e.views[i].hosts, electorsPerKey), self) {
			break
		}
		since = e.views[i].since
	}
	return since
}
