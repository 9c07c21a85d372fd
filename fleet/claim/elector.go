package claim

import (
	"slices"
	"time"

	"balsamknot.org/fleet/host"
)

// Claimant names one run of a home: a host and the incarnation of its process.
type Claimant struct {
	Host        host.ID
	Incarnation host.Incarnation
}

// Attempt counts a claimant's tries to win a key.
type Attempt uint64

// Verdict is an elector's answer.
type Verdict int32

// Verdicts of an elector.
const (
	// Abstained means that the elector can't know whether it vouched for another before.
	Abstained Verdict = iota
	// Granted means that the elector vouches for the claimant and for nobody else.
	Granted
	// Refused means that the elector vouches for the claimant named in the vote.
	Refused
)

// Vote is an elector's answer to a claim.
type Vote struct {
	Verdict Verdict
	Attempt Attempt
	// Holder is who the elector vouches for when it refuses.
	Holder Claimant
}

// maxViewDistance is how many electors two views may differ in while their quorums still meet.
const maxViewDistance = 2

// Elector is one node's memory of whom it vouched for. It is not safe for concurrent use.
type Elector struct {
	limits Limits
	grants map[Key]*grant
}

type grant struct {
	holder  Claimant
	attempt Attempt
	minted  time.Time
	// released holds the last attempt that each claimant gave up.
	released map[Claimant]Attempt
}

// NewElector returns an elector without memory.
func NewElector(limits Limits) *Elector {
	return &Elector{limits: limits, grants: make(map[Key]*grant)}
}

// Claimed asks the elector to vouch for a claimant.
type Claimed struct {
	Key      Key
	Minted   time.Time
	Claimant Claimant
	Attempt  Attempt
	// Electors is the claimant's view of the key's electors, View the elector's own.
	Electors, View []host.ID
	// Since is when the elector became one of the key's electors and has been ever since, at the earliest its start.
	// The zero time means that it is not one by its own view.
	Since time.Time
}

// Decide answers a claim and remembers a grant until no elector decides on the key any more.
func (e *Elector) Decide(now time.Time, c Claimed) Vote {
	if e.mustAbstain(now, c) {
		return Vote{Attempt: c.Attempt}
	}
	g := e.grants[c.Key]
	if g == nil && e.limits.Full(len(e.grants)) {
		return Vote{Attempt: c.Attempt}
	}
	if g == nil {
		g = &grant{minted: c.Minted, released: make(map[Claimant]Attempt)}
		e.grants[c.Key] = g
	}
	if c.Attempt <= g.released[c.Claimant] {
		return Vote{Attempt: c.Attempt}
	}
	if g.holder == (Claimant{}) {
		g.holder = c.Claimant
	}
	if g.holder != c.Claimant {
		return Vote{Verdict: Refused, Attempt: c.Attempt, Holder: g.holder}
	}
	g.attempt = max(g.attempt, c.Attempt)
	return Vote{Verdict: Granted, Attempt: c.Attempt, Holder: g.holder}
}

// mustAbstain reports whether this elector can't vouch: another may have been vouched for before its memory
// of the key began, or the key is no longer remembered, or the two views are too far apart.
func (e *Elector) mustAbstain(now time.Time, c Claimed) bool {
	switch {
	case c.Since.IsZero():
		return true
	case c.Minted.Before(c.Since.Add(e.limits.Skew)):
		return true
	case e.limits.Expired(now, c.Minted):
		return true
	}
	return Distance(c.Electors, c.View) > maxViewDistance
}

// Release forgets a grant whose attempt was given up before anything was sent.
func (e *Elector) Release(key Key, claimant Claimant, attempt Attempt) {
	g := e.grants[key]
	if g == nil {
		return
	}
	g.released[claimant] = max(g.released[claimant], attempt)
	if g.holder == claimant && g.attempt <= attempt {
		g.holder, g.attempt = Claimant{}, 0
	}
}

// Forget drops the grants of keys that no elector decides on any more and returns how many are left.
func (e *Elector) Forget(now time.Time) int {
	for key, g := range e.grants {
		if now.Sub(g.minted) > e.limits.Lifetime+e.limits.Skew {
			delete(e.grants, key)
		}
	}
	return len(e.grants)
}

// Distance returns in how many members two views differ: the larger of those missing on either side.
func Distance(a, b []host.ID) int {
	return max(missing(a, b), missing(b, a))
}

func missing(from, in []host.ID) int {
	n := 0
	for _, id := range from {
		if !slices.Contains(in, id) {
			n++
		}
	}
	return n
}
