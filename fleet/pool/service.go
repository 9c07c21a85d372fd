package pool

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"balsamknot.org/fleet/chat"
	"balsamknot.org/fleet/endpoint"
	"balsamknot.org/fleet/host"
	"balsamknot.org/fleet/site"
)

const (
	// boundMargin is added to LoadFactor times the mean.
	boundMargin = 3
	// rankDelay is by how much a rank's requests may overtake those of the next rank.
	rankDelay = 400 * time.Millisecond
	// queuePerPlace bounds the requests that wait for a service, for each of its places.
	queuePerPlace = 2
	// holdLimit is how long a place is kept that nobody speaks of again.
	holdLimit = 4 * time.Second
	// assumedStay is how long a request stays at an endpoint while nothing is known of it.
	assumedStay = 100 * time.Millisecond
	// stayWeight is the weight of the newest stay in the mean.
	stayWeight = 0.1
	// shortestReturn and longestReturn bound the advice to a refused caller.
	shortestReturn = 50 * time.Millisecond
	longestReturn  = 2 * time.Second
)

// service is the state of one service's endpoints.
type service struct {
	cfg     Config
	engine  *site.Engine
	seats   map[endpoint.ID]*seat
	holders map[Ticket]*holder
	// queue is in order of due.
	queue  []waiting
	budget retryBudget
	// stay is the mean time that a request holds its place.
	stay time.Duration
}

type holder struct {
	seat  *seat
	since time.Time
	// heard is when the holder last spoke of its place.
	heard time.Time
}

type waiting struct {
	ask   Asked
	since time.Time
	// due orders the queue: arrival, later for less urgent ranks.
	due time.Time
	// until is when the request is no longer worth a place.
	until time.Time
}

func newService(cfg Config) *service {
	return &service{
		cfg: cfg, seats: make(map[endpoint.ID]*seat), holders: make(map[Ticket]*holder), stay: assumedStay,
		budget: newRetryBudget(cfg),
	}
}

func (s *service) configure(c site.Service) { s.engine = c.Engine }

func (s *service) add(now time.Time, r endpoint.Record) []Command {
	st := s.seats[r.Instance.ID]
	if st == nil || st.record.Instance != r.Instance {
		st = newSeat(r)
		s.seats[r.Instance.ID] = st
	}
	st.record = r
	return s.drain(now)
}

func (s *service) remove(id endpoint.ID) { delete(s.seats, id) }

// ask places a request, lets it wait, or refuses it at once when no place will be free in its time.
func (s *service) ask(now time.Time, e Asked) []Command {
	if h := s.holders[e.Ticket]; h != nil {
		h.heard = now
		return []Command{Place{Ticket: e.Ticket, Endpoint: h.seat.record}}
	}
	if slices.ContainsFunc(s.queue, func(w waiting) bool { return w.ask.Ticket == e.Ticket }) {
		return []Command{Queue{e.Ticket}}
	}
	if !s.budget.take(now, e) {
		return []Command{Refuse{e.Ticket, NoBudget, longestReturn}}
	}
	if len(s.queue) == 0 {
		if st := s.choose(now, e); st != nil {
			return s.place(now, e, st, 0)
		}
	}
	if !s.anyUsable(e) {
		return []Command{Refuse{e.Ticket, NoEndpoint, assumedReturn(e)}}
	}
	wait := s.expectedWait(len(s.queue) + 1)
	if wait > e.Patience || len(s.queue) >= queuePerPlace*s.places() {
		return []Command{Refuse{e.Ticket, NoRoom, clampReturn(wait)}}
	}
	w := waiting{ask: e, since: now, due: now.Add(time.Duration(e.Rank) * rankDelay), until: now.Add(e.Patience)}
	at, _ := slices.BinarySearchFunc(s.queue, w, func(a, b waiting) int { return a.due.Compare(b.due) })
	s.queue = slices.Insert(s.queue, at, w)
	return append([]Command{Queue{e.Ticket}}, s.drain(now)...)
}

func assumedReturn(e Asked) time.Duration { return clampReturn(e.Patience / 4) }

func clampReturn(d time.Duration) time.Duration { return min(max(d, shortestReturn), longestReturn) }

func (s *service) place(now time.Time, e Asked, st *seat, waited time.Duration) []Command {
	why := Why{Running: st.running, Limit: s.limit(), Missing: st.missing(now, e), Suspect: st.suspect(now), Waited: waited}
	var fetch endpoint.ID
	if source := s.source(now, st, e); source != nil {
		fetch, why.Fetched = source.record.Instance.ID, why.Missing-source.missing(now, e)
	}
	s.holders[e.Ticket] = &holder{seat: st, since: now, heard: now}
	st.take(now, e.Prompt)
	return []Command{Place{Ticket: e.Ticket, Endpoint: st.record, Fetch: fetch, Why: why}}
}

// hold takes up a place that was given by another keeper.
func (s *service) hold(now time.Time, e Held) {
	if h := s.holders[e.Ticket]; h != nil {
		h.heard = now
		return
	}
	st := s.seats[e.ID]
	if st == nil {
		return
	}
	s.holders[e.Ticket] = &holder{seat: st, since: now, heard: now}
	st.take(now, e.Prompt)
}

func (s *service) end(now time.Time, e Ended) []Command {
	h := s.holders[e.Ticket]
	if h == nil {
		s.queue = slices.DeleteFunc(s.queue, func(w waiting) bool { return w.ask.Ticket == e.Ticket })
		return nil
	}
	delete(s.holders, e.Ticket)
	h.seat.end(now, e.Result)
	if e.Result == Done {
		s.stay += time.Duration(stayWeight * float64(now.Sub(h.since)-s.stay))
	}
	return s.drain(now)
}

func (s *service) forgetHost(now time.Time, id host.ID) []Command {
	for ticket, h := range s.holders {
		if ticket.Host == id {
			delete(s.holders, ticket)
			h.seat.end(now, Unknown)
		}
	}
	s.queue = slices.DeleteFunc(s.queue, func(w waiting) bool { return w.ask.Ticket.Host == id })
	return s.drain(now)
}

// tick drops places that nobody speaks of, and refuses who waited too long.
func (s *service) tick(now time.Time) []Command {
	for ticket, h := range s.holders {
		if now.Sub(h.heard) > holdLimit {
			delete(s.holders, ticket)
			h.seat.end(now, Unknown)
		}
	}
	var commands []Command
	s.queue = slices.DeleteFunc(s.queue, func(w waiting) bool {
		if now.Before(w.until) {
			return false
		}
		commands = append(commands, Refuse{w.ask.Ticket, NoRoom, clampReturn(s.expectedWait(len(s.queue)))})
		return true
	})
	return append(commands, s.drain(now)...)
}

// drain places who waits, in order, while there is room.
func (s *service) drain(now time.Time) []Command {
	var commands []Command
	for len(s.queue) > 0 {
		st := s.choose(now, s.queue[0].ask)
		if st == nil {
			return commands
		}
		next := s.queue[0]
		s.queue = s.queue[1:]
		commands = append(commands, s.place(now, next.ask, st, now.Sub(next.since))...)
	}
	return commands
}

func (s *service) expectedWait(position int) time.Duration {
	places := s.places()
	if places == 0 {
		return longestReturn
	}
	return s.stay * time.Duration(position) / time.Duration(places)
}

func (s *service) places() int {
	n := 0
	for _, st := range s.seats {
		if !st.record.Leaving {
			n += st.record.Places
		}
	}
	return n
}

func (s *service) anyUsable(e Asked) bool {
	for id, st := range s.seats {
		if !st.record.Leaving && !slices.Contains(e.Tried, id) {
			return true
		}
	}
	return false
}

// choose returns the endpoint with the lowest cost that has room; nil when none has.
// Endpoints under suspicion are taken only when there is no other.
func (s *service) choose(now time.Time, e Asked) *seat {
	if s.engine != nil && e.Known != "" && s.knows(now, e.Prompt) != "" {
		e.Known = ""
	}
	limit := s.limit()
	var best *seat
	var least cost
	for _, id := range sortedKeys(s.seats) {
		st := s.seats[id]
		if st.record.Leaving || st.running >= min(limit, st.record.Places) || slices.Contains(e.Tried, id) {
			continue
		}
		c := s.cost(now, st, e)
		if best == nil || c.before(least) {
			best, least = st, c
		}
	}
	return best
}

// leastFetch is the least number of tokens for which one engine fetches from another.
const leastFetch = 64

// source returns the engine that holds the most of a prompt beyond what st holds; nil when none holds enough more.
// An engine that leaves still hands out what it holds; one under suspicion may not answer.
func (s *service) source(now time.Time, st *seat, e Asked) *seat {
	if s.engine == nil || !s.engine.Transfers {
		return nil
	}
	var best *seat
	least := st.missing(now, e) - leastFetch
	for _, id := range sortedKeys(s.seats) {
		other := s.seats[id]
		if other == st || other.suspect(now) {
			continue
		}
		if m := other.missing(now, e); m <= least {
			best, least = other, m-1
		}
	}
	return best
}

// limit is how many requests an endpoint may hold.
func (s *service) limit() int {
	usable, running := 0, 0
	for _, st := range s.seats {
		if !st.record.Leaving {
			usable++
		}
		running += st.running
	}
	if usable == 0 {
		return 0
	}
	return int(s.cfg.LoadFactor*float64(running)/float64(usable) + boundMargin)
}

// knows returns the endpoint that last served the prompt's subject and may still hold it.
func (s *service) knows(now time.Time, p chat.Prompt) endpoint.ID {
	subject := p.Subject()
	if subject == 0 {
		return ""
	}
	var best endpoint.ID
	latest := now.Add(-partLifetime)
	for _, id := range sortedKeys(s.seats) {
		if used, ok := s.seats[id].parts[subject]; ok && used.After(latest) {
			best, latest = id, used
		}
	}
	return best
}

func (s *service) cost(now time.Time, st *seat, e Asked) cost {
	c := cost{suspect: st.suspect(now)}
	if s.engine != nil {
		c.work = st.engineCost(now, e)
		return c
	}
	c.work = st.runnerCost(e)
	return c
}

// cost orders endpoints for a request.
type cost struct {
	suspect bool
	// work is in milliseconds.
	work float64
}

func (c cost) before(d cost) bool {
	if c.suspect != d.suspect {
		return d.suspect
	}
	return c.work < d.work
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}

// subjectKey is what a prompt's rendezvous order hangs on.
func subjectKey(p chat.Prompt) uint64 { return uint64(p.Subject()) }
