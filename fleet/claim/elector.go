package claim

import (
	"slices"
	"time"

	"balsamknot.org/fleet/host"
)

// Claimant identifies one process that claims a key as its home: a host and the incarnation of its process.
// A restarted process is another claimant, because it has no record of the requests that its predecessor sent.
type Claimant struct {
	Host        host.ID
	Incarnation host.Incarnation
}

// Attempt numbers a claimant's attempts to win a key, from 1, so that votes and releases of an earlier attempt are recognised.
type Attempt uint64

// Verdict is an elector's decision on a vote request. Its numbers are sent between hosts.
type Verdict int32

// Verdicts of an elector. The zero value grants nothing.
const (
	// Abstained means that the elector does not vote. Either it may lack the record of a grant to another claimant (see
	// mustAbstain), or it can record no more keys, or the attempt was already released.
	Abstained Verdict = iota
	// Granted means that the elector votes for the claimant, and for no other until the grant is released.
	Granted
	// Refused means that the elector has granted the key to the claimant named in the vote.
	Refused
)

// Vote is an elector's reply to a VoteRequest. Attempt is the attempt of the request that it answers.
type Vote struct {
	Verdict Verdict
	Attempt Attempt
	// Holder is the claimant to which the key is granted; zero if the elector abstained.
	Holder Claimant
}

// maxViewDifference is the largest ViewDifference of two lists of electors whose quorums still intersect; see Quorum.
const maxViewDifference = 2

// Elector holds the grants that one host has made, in memory only. It is not safe for concurrent use.
type Elector struct {
	limits Limits
	grants map[Key]*grant
}

type grant struct {
	holder       Claimant
	attempt      Attempt
	keyCreatedAt time.Time
	// releasedAttempts holds the highest attempt that each claimant has released. A delayed request of such an attempt
	// must not be granted.
	releasedAttempts map[Claimant]Attempt
}

// NewElector returns an elector that has granted no key.
func NewElector(limits Limits) *Elector {
	return &Elector{limits: limits, grants: make(map[Key]*grant)}
}

// VoteRequest requests an elector's vote for a claimant of a key.
type VoteRequest struct {
	Key          Key
	KeyCreatedAt time.Time
	Claimant     Claimant
	Attempt      Attempt
	// Electors is the claimant's list of the key's electors, LocalElectors the elector's own list.
	Electors, LocalElectors []host.ID
	// ElectorSince is the start of the uninterrupted period in which this host has been an elector of the key; it does not
	// lie before the start of the process. The zero time means that the host is not an elector by its own view.
	ElectorSince time.Time
}

// Vote decides on a request and records a grant. The grant stays until it is released or removed by RemoveExpired.
func (e *Elector) Vote(now time.Time, req VoteRequest) Vote {
	if e.mustAbstain(now, req) {
		return Vote{Attempt: req.Attempt}
	}
	g := e.grants[req.Key]
	if g == nil && e.limits.Full(len(e.grants)) {
		return Vote{Attempt: req.Attempt}
	}
	if g == nil {
		g = &grant{keyCreatedAt: req.KeyCreatedAt, releasedAttempts: make(map[Claimant]Attempt)}
		e.grants[req.Key] = g
	}
	if req.Attempt <= g.releasedAttempts[req.Claimant] {
		return Vote{Attempt: req.Attempt}
	}
	if g.holder == (Claimant{}) {
		g.holder = req.Claimant
	}
	if g.holder != req.Claimant {
		return Vote{Verdict: Refused, Attempt: req.Attempt, Holder: g.holder}
	}
	g.attempt = max(g.attempt, req.Attempt)
	return Vote{Verdict: Granted, Attempt: req.Attempt, Holder: g.holder}
}

// mustAbstain reports whether this elector must not vote: it is not an elector of the key; it may have become one only after
// the key was created, so that it may have no record of a grant; the key has expired and its grant may be deleted; or the two
// lists of electors differ so much that their quorums need not intersect.
func (e *Elector) mustAbstain(now time.Time, req VoteRequest) bool {
	switch {
	case req.ElectorSince.IsZero():
		return true
	case req.KeyCreatedAt.Before(req.ElectorSince.Add(e.limits.ClockSkew)):
		return true
	case e.limits.Expired(now, req.KeyCreatedAt):
		return true
	}
	return ViewDifference(req.Electors, req.LocalElectors) > maxViewDifference
}

// Release withdraws a grant whose attempt was abandoned before the request was sent. If the elector has a
// record of the key, it does not grant a released attempt again, even if its vote request arrives later.
func (e *Elector) Release(key Key, claimant Claimant, attempt Attempt) {
	g := e.grants[key]
	if g == nil {
		return
	}
	g.releasedAttempts[claimant] = max(g.releasedAttempts[claimant], attempt)
	if g.holder == claimant && g.attempt <= attempt {
		g.holder, g.attempt = Claimant{}, 0
	}
}

// RemoveExpired deletes the grants of keys that have expired by the clock of every host, and returns how many are left.
func (e *Elector) RemoveExpired(now time.Time) int {
	for key, g := range e.grants {
		if now.Sub(g.keyCreatedAt) > e.limits.Lifetime+e.limits.ClockSkew {
			delete(e.grants, key)
		}
	}
	return len(e.grants)
}

// ViewDifference returns the larger of the number of hosts in a that are not in b and the number in b that are not in a.
func ViewDifference(a, b []host.ID) int {
	return max(countMissing(a, b), countMissing(b, a))
}

func countMissing(ids, other []host.ID) int {
	n := 0
	for _, id := range ids {
		if !slices.Contains(other, id) {
			n++
		}
	}
	return n
}
