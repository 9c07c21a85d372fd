package pool

import (
	"slices"
	"time"

	"balsamknot.org/fleet/chat"
	"balsamknot.org/fleet/endpoint"
)

// choice is an endpoint for a request, and where it can fetch what it lacks.
type choice struct {
	seat *seat
	// missing is how many tokens of shared parts the seat does not hold.
	missing int
	// source holds more of the prompt than seat does; nil when none does.
	source        *seat
	sourceMissing int
}

// leastFetch is the least number of tokens for which one engine fetches from another.
const leastFetch = 64

// scan is one pass over a service's endpoints for a request.
type scan struct {
	now     time.Time
	ask     Asked
	engine  bool
	limit   int
	subject uint64

	best  choice
	least cost
	// known is the endpoint that the entry named, if it can take the request.
	known *seat
	// fullest holds the most of the prompt.
	fullest        *seat
	fullestMissing int
}

// choose returns the endpoint with the lowest cost that has room; ok is false when none has.
// Endpoints under suspicion are taken only when there is no other. It looks at each endpoint once.
func (s *service) choose(now time.Time, e Asked) (c choice, ok bool) {
	sc := scan{now: now, ask: e, engine: s.engine != nil, limit: s.limit(), subject: subjectKey(e.Prompt)}
	for _, st := range s.order {
		sc.look(st)
	}
	c = sc.best
	switch {
	case c.seat == nil:
		return choice{}, false
	case !sc.engine:
		return c, true
	case sc.known != nil && sc.fullestMissing >= e.Prompt.SubjectTokens():
		return choice{seat: sc.known}, true
	}
	if s.engine.Transfers && sc.fullest != nil && sc.fullestMissing <= c.missing-leastFetch {
		c.source, c.sourceMissing = sc.fullest, sc.fullestMissing
	}
	return c, true
}

func (sc *scan) look(st *seat) {
	missing := 0
	if sc.engine {
		missing = st.missing(sc.now, sc.ask.Prompt)
	}
	suspect := st.suspect(sc.now)
	// An engine that leaves still hands out what it holds; one under suspicion may not answer.
	if !suspect && (sc.fullest == nil || missing < sc.fullestMissing) {
		sc.fullest, sc.fullestMissing = st, missing
	}
	id := st.record.Instance.ID
	if !st.hasRoom(sc.limit) || slices.Contains(sc.ask.Tried, id) {
		return
	}
	if id == sc.ask.Known && !suspect {
		sc.known = st
	}
	c := cost{suspect: suspect, work: sc.work(st, missing)}
	if sc.best.seat == nil || c.before(sc.least) {
		sc.best, sc.least = choice{seat: st, missing: missing}, c
	}
}

// work is the request's cost at an endpoint: milliseconds at an engine, running requests at a plain service's runner.
func (sc *scan) work(st *seat, missing int) float64 {
	if sc.engine {
		return st.engineCost(sc.now, sc.ask, missing, sc.subject)
	}
	return st.runnerCost(sc.ask)
}

// limit is how many requests an endpoint may hold.
func (s *service) limit() int {
	if s.usable == 0 {
		return 0
	}
	return int(s.cfg.LoadFactor*float64(s.running)/float64(s.usable) + boundMargin)
}

// knows returns the endpoint that last served the prompt's subject and may still hold it.
func (s *service) knows(now time.Time, p chat.Prompt) endpoint.ID {
	subject := p.Subject()
	if subject == 0 {
		return ""
	}
	var best endpoint.ID
	latest := now.Add(-partLifetime)
	for _, st := range s.order {
		if used, ok := st.parts[subject]; ok && used.After(latest) {
			best, latest = st.record.Instance.ID, used
		}
	}
	return best
}

// cost orders endpoints for a request.
type cost struct {
	suspect bool
	work    float64
}

func (c cost) before(d cost) bool {
	if c.suspect != d.suspect {
		return d.suspect
	}
	return c.work < d.work
}

// subjectKey is what a prompt's rendezvous order hangs on.
func subjectKey(p chat.Prompt) uint64 { return uint64(p.Subject()) }
