package pool

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"balsamknot.org/fleet/chat"
	"balsamknot.org/fleet/endpoint"
)

const (
	// readRate is how many prompt tokens an engine reads in a millisecond.
	readRate = 92.0
	// neighbourCost is what each running request adds to the cost of an engine, and busyCost each request that ran on the
	// mean of the last busyMemory, in milliseconds. Both are small against reading a part again: a chat moves only when
	// it has to, and a new one goes where little was to do for a while.
	neighbourCost = 1.0
	busyCost      = 4.0
	busyMemory    = 4 * time.Second
	// spreadCost is the share of the rendezvous order in the cost, in milliseconds. It makes keepers that know nothing agree.
	spreadCost = 4.0
	// farCost is what another data centre adds, in running requests of a runner.
	farCost = 1.5
	// failureCost is what a runner that always fails adds, in running requests.
	failureCost = 12.0
	// failureWeight is the weight of the newest result in the failure share.
	failureWeight = 0.15
	// partLifetime is how long a part that nobody used is taken to be cached.
	partLifetime = 60 * time.Second
	// partLimit bounds the parts remembered of an engine.
	partLimit = 4096
	// firstSuspicion is how long an endpoint is passed over after it broke off; it doubles up to longestSuspicion.
	firstSuspicion   = 500 * time.Millisecond
	longestSuspicion = 4 * time.Second
	// fullPause is how long an endpoint is passed over that turned a request away.
	fullPause = 200 * time.Millisecond
)

// seat is one endpoint as its keeper sees it.
type seat struct {
	record endpoint.Record
	// hash stands for the endpoint's ID in rendezvous orders.
	hash    uint64
	running int
	parts   map[chat.PartID]time.Time
	// failures is the recent share of requests that failed, 0 to 1.
	failures float64
	// breaks counts connections that broke since the last whole answer.
	breaks int
	// busy is the decaying mean of running, as of changed.
	busy         float64
	changed      time.Time
	suspectUntil time.Time
}

func newSeat(r endpoint.Record) *seat {
	return &seat{record: r, hash: xxhash.Sum64String(string(r.Instance.ID)), parts: make(map[chat.PartID]time.Time)}
}

func (st *seat) take(now time.Time, p chat.Prompt) {
	st.run(now, 1)
	for i, part := range p.Parts {
		if i == len(p.Parts)-1 && len(p.Parts) > 1 {
			return
		}
		st.hold(now, part.ID)
	}
}

// hold notes that the endpoint has a part.
func (st *seat) hold(now time.Time, part chat.PartID) {
	st.parts[part] = now
	if len(st.parts) > partLimit {
		st.forgetParts(now)
	}
}

func (st *seat) forgetParts(now time.Time) {
	for id, used := range st.parts {
		if now.Sub(used) > partLifetime {
			delete(st.parts, id)
		}
	}
}

func (st *seat) end(now time.Time, result Result) {
	st.run(now, -1)
	switch result {
	case Done:
		st.failures -= failureWeight * st.failures
		st.breaks = 0
		st.suspectUntil = time.Time{}
	case Failed:
		st.failures += failureWeight * (1 - st.failures)
	case TurnedAway:
		st.failures += failureWeight * (1 - st.failures)
		st.pause(now, fullPause)
	case Broken, Silent:
		st.failures += failureWeight * (1 - st.failures)
		st.pause(now, min(firstSuspicion<<min(st.breaks, 8), longestSuspicion))
		st.breaks++
	case Unknown:
	}
}

func (st *seat) pause(now time.Time, d time.Duration) {
	if until := now.Add(d); until.After(st.suspectUntil) {
		st.suspectUntil = until
	}
}

func (st *seat) suspect(now time.Time) bool { return now.Before(st.suspectUntil) }

// hasRoom reports whether the endpoint may get one more request.
func (st *seat) hasRoom(limit int) bool {
	return !st.record.Leaving && st.running < min(limit, st.record.Places)
}

// missing is how many tokens of a prompt's shared parts the endpoint does not hold. A part counts as held only when all
// parts before it are held too.
func (st *seat) missing(now time.Time, p chat.Prompt) int {
	tokens := 0
	cached := true
	for i := range len(p.Parts) - 1 {
		if cached {
			used, held := st.parts[p.Parts[i].ID]
			cached = held && now.Sub(used) < partLifetime
		}
		if !cached {
			tokens += p.Parts[i].Tokens
		}
	}
	return tokens
}

// engineCost estimates, in milliseconds, what a prompt costs at this engine: parts to read, and requests beside it.
func (st *seat) engineCost(now time.Time, e Asked, missing int, subject uint64) float64 {
	return float64(missing)/readRate + neighbourCost*float64(st.running) + busyCost*st.load(now) +
		failingCost*st.risk(e) + spreadCost*st.spread(subject)
}

// risk is the endpoint's share of failures as it weighs for a request: one that can't go elsewhere after a failure leaves
// the failing endpoints to those that can.
func (st *seat) risk(e Asked) float64 {
	if e.Once {
		return st.failures
	}
	return repeatableWeight * st.failures
}

// repeatableWeight is how little a failure costs a request that may be repeated, against one that may not.
const repeatableWeight = 0.3

// run changes how many requests run.
func (st *seat) run(now time.Time, change int) {
	st.busy, st.changed = st.load(now), now
	st.running += change
}

// load is how many requests ran on the mean of late.
func (st *seat) load(now time.Time) float64 {
	if st.changed.IsZero() {
		return 0
	}
	old := 1 / (1 + now.Sub(st.changed).Seconds()/busyMemory.Seconds())
	return old*st.busy + (1-old)*float64(st.running)
}

// failingCost is what an engine that always fails adds, in milliseconds.
const failingCost = 600.0

// runnerCost orders runners of a plain service: the least busy, near ones first.
func (st *seat) runnerCost(e Asked) float64 {
	c := float64(st.running) + failureCost*st.risk(e)
	if st.record.DataCentre != e.DataCentre {
		c += farCost
	}
	return c
}

// spread is the endpoint's place in the rendezvous order of a subject, from 0 to 1, lowest first.
func (st *seat) spread(subject uint64) float64 { return float64(mix(subject^st.hash)) / (1 << 64) }

// mix scatters the bits of x. Source: Steele, Lea and Flood, "Fast Splittable Pseudorandom Number Generators", 2014.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
