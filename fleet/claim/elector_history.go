package claim

import (
	"slices"
	"time"

	"balsamknot.org/fleet/host"
	"balsamknot.org/fleet/placement"
)

// electorsPerKey is how many hosts vote on a key.
const electorsPerKey = 5

// Quorum returns how many of n electors must grant a key. Two quorums of 4 of 5 have an elector in common
// even when the two lists differ in two electors: (5-2) - 2*(5-4) = 1. With fewer than 5 electors all must grant.
func Quorum(n int) int {
	if n < electorsPerKey {
		return n
	}
	return electorsPerKey - 1
}

// ElectorHistory holds a host's recent lists of possible electors, from which it tells since when it has been an elector of
// a key. The zero value is empty. It is not safe for concurrent use.
type ElectorHistory struct {
	views []hostsView
}

type hostsView struct {
	since time.Time
	hosts []host.ID
}

// Observe records the hosts that may be electors from now on, and drops lists that were replaced more than retention ago.
func (e *ElectorHistory) Observe(now time.Time, hosts []host.ID, retention time.Duration) {
	if n := len(e.views); n > 0 && slices.Equal(e.views[n-1].hosts, hosts) {
		return
	}
	e.views = append(e.views, hostsView{since: now, hosts: slices.Clone(hosts)})
	for len(e.views) > 1 && now.Sub(e.views[1].since) > retention {
		e.views = e.views[1:]
	}
}

// Electors returns the electors of a key by the latest list, in rendezvous order; none before the first call of Observe.
func (e *ElectorHistory) Electors(key Key) []host.ID {
	if len(e.views) == 0 {
		return nil
	}
	return placement.Rank(string(key), e.views[len(e.views)-1].hosts, electorsPerKey)
}

// ElectorSince returns the start of the uninterrupted period in which self has been an elector of the key, as far as the
// history goes back. It is the zero time if self is not an elector by the latest list.
func (e *ElectorHistory) ElectorSince(key Key, self host.ID) time.Time {
	var since time.Time
	for i := len(e.views) - 1; i >= 0; i-- {
		if !slices.Contains(placement.Rank(string(key), e.views[i].hosts, electorsPerKey), self) {
			break
		}
		since = e.views[i].since
	}
	return since
}
