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

// choose returns the endpoint with the lowest cost that has room; ok is false when none has.
// Endpoints under suspicion are taken only when there is no other. It looks at each endpoint once.
func (s *service) choose(now time.Time, e Asked) (c choice, ok bool) {
	limit := s.limit()
	subject := subjectKey(e.Prompt)
	var least cost
	var known, fullest *seat
	fullestMissing := 0
	for _, st := range s.order {
		missing := 0
		if s.engine != nil {
			missing = st.missing(now, e.Prompt)
		}
		suspect := st.suspect(now)
		// An engine that leaves still hands out what it holds; one under suspicion may not answer.
		if !suspect && (fullest == nil || missing < fullestMissing) {
			fullest, fullestMissing = st, missing
		}
		if !st.hasRoom(limit) || slices.Contains(e.Tried, st.record.Instance.ID) {
			continue
		}
		if st.record.Instance.ID == e.Known && !suspect {
			known = st
		}
		work := cost{suspect: suspect, work: s.work(now, st, e, missing, subject)}
		if c.seat == nil || work.before(least) {
			c, least = choice{seat: st, missing: missing}, work
		}
	}
	if c.seat == nil {
		return choice{}, false
	}
	if known != nil && s.engine != nil && fullestMissing >= e.Prompt.SubjectTokens() {
		return choice{seat: known}, true
	}
	if s.engine != nil && s.engine.Transfers && fullest != nil && fullestMissing <= c.missing-leastFetch {
		c.source, c.sourceMissing = fullest, fullestMissing
	}
	return c, true
}

// limit is how many requests an endpoint may hold.
func (s *service) limit() int {
	if s.usable == 0 {
		return 0
	}
	return int(s.cfg.LoadFactor*float64(s.running)/float64(s.usable) + boundMargin)
}

// work is a request's cost at an endpoint: milliseconds at an engine, running requests at a plain service's runner.
func (s *service) work(now time.Time, st *seat, e Asked, missing int, subject uint64) float64 {
	if s.engine != nil {
		return st.engineCost(now, missing, subject)
	}
	return st.runnerCost(e)
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
