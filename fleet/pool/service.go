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
	name   site.ServiceName
	cfg    Config
	engine *site.Engine
	seats  map[endpoint.ID]*seat
	// order holds the seats in order of ID. usable counts those that don't leave, running what all hold.
	order   []*seat
	usable  int
	running int
	holders map[Ticket]*holder
	// queue is in order of due.
	queue  []waiting
	budget retryBudget
	// told holds where each subject was last told to be, and news what is to be told next.
	told map[chat.PartID]telling
	news map[chat.PartID]Cached
	// stay is the mean time that a request holds its place.
	stay    time.Duration
	listing listing
}

type holder struct {
	seat *seat
	// place is what the holder was told, in case that was lost.
	place Place
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

func newService(name site.ServiceName, cfg Config) *service {
	return &service{
		name: name, cfg: cfg, told: make(map[chat.PartID]telling), news: make(map[chat.PartID]Cached), seats: make(map[endpoint.ID]*seat), holders: make(map[Ticket]*holder), stay: assumedStay,
		budget: newRetryBudget(cfg),
	}
}

func (s *service) configure(c site.Service) { s.engine = c.Engine }

func (s *service) add(now time.Time, r endpoint.Record) []Command {
	if st := s.seats[r.Instance.ID]; st != nil && st.record.Instance == r.Instance {
		s.countSeat(st, -1)
		st.record = r
		s.countSeat(st, 1)
		return s.drain(now)
	}
	s.remove(r.Instance.ID)
	st := newSeat(r)
	s.seats[r.Instance.ID] = st
	at, _ := s.position(r.Instance.ID)
	s.order = slices.Insert(s.order, at, st)
	s.countSeat(st, 1)
	return s.drain(now)
}

func (s *service) remove(id endpoint.ID) {
	st := s.seats[id]
	if st == nil {
		return
	}
	delete(s.seats, id)
	if at, found := s.position(id); found {
		s.order = slices.Delete(s.order, at, at+1)
	}
	s.countSeat(st, -1)
}

// position returns where an endpoint stands in the order, or would.
func (s *service) position(id endpoint.ID) (at int, found bool) {
	return slices.BinarySearchFunc(s.order, id, func(st *seat, id endpoint.ID) int { return cmp.Compare(st.record.Instance.ID, id) })
}

// countSeat counts a seat that came, or with -1 one that goes.
func (s *service) countSeat(st *seat, sign int) {
	s.running += sign * st.running
	if !st.record.Leaving {
		s.usable += sign
	}
}

// take gives a place at a seat, and give takes it back. A seat that is gone counts no more.
func (s *service) take(now time.Time, place Place, st *seat, p chat.Prompt) {
	s.holders[place.Ticket] = &holder{seat: st, place: place, since: now, heard: now}
	st.take(now, p)
	s.count(st, 1)
}

func (s *service) give(now time.Time, t Ticket, h *holder, r Result) {
	delete(s.holders, t)
	h.seat.end(now, r)
	s.count(h.seat, -1)
}

func (s *service) count(st *seat, change int) {
	if s.seats[st.record.Instance.ID] == st {
		s.running += change
	}
}

// ask places a request, lets it wait, or refuses it at once when no place will be free in its time.
func (s *service) ask(now time.Time, e Asked) []Command {
	if h := s.holders[e.Ticket]; h != nil {
		h.heard = now
		return []Command{h.place}
	}
	if slices.ContainsFunc(s.queue, func(w waiting) bool { return w.ask.Ticket == e.Ticket }) {
		return []Command{Queue{e.Ticket}}
	}
	if !s.budget.take(now, e) {
		return []Command{Refuse{e.Ticket, NoBudget, longestReturn}}
	}
	if !s.anyUsable(e) {
		return []Command{Refuse{e.Ticket, NoEndpoint, assumedReturn(e)}}
	}
	lists := s.list(now, e)
	if len(s.queue) == 0 && !s.awaitsLists(now) {
		if c, ok := s.choose(now, e); ok {
			return s.place(now, e, c, 0)
		}
	}
	wait := s.expectedWait(len(s.queue) + 1)
	if wait > e.Patience || len(s.queue) >= queuePerPlace*s.places() {
		return append(lists, Refuse{e.Ticket, NoRoom, clampReturn(wait)})
	}
	w := waiting{ask: e, since: now, due: now.Add(time.Duration(e.Rank) * rankDelay), until: now.Add(e.Patience)}
	at, _ := slices.BinarySearchFunc(s.queue, w, func(a, b waiting) int { return a.due.Compare(b.due) })
	s.queue = slices.Insert(s.queue, at, w)
	return append(append(lists, Queue{e.Ticket}), s.drain(now)...)
}

func assumedReturn(e Asked) time.Duration { return clampReturn(e.Patience / 4) }

func clampReturn(d time.Duration) time.Duration { return min(max(d, shortestReturn), longestReturn) }

func (s *service) place(now time.Time, e Asked, c choice, waited time.Duration) []Command {
	place := Place{Ticket: e.Ticket, Endpoint: c.seat.record, Why: Why{
		Running: c.seat.running, Limit: s.limit(), Missing: c.missing, Suspect: c.seat.suspect(now), Waited: waited,
	}}
	if c.source != nil {
		place.Fetch, place.Why.Fetched = c.source.record.Instance.ID, c.missing-c.sourceMissing
	}
	s.take(now, place, c.seat, e.Prompt)
	s.noteNews(now, c.seat.record.Instance.ID, e.Prompt)
	return []Command{place}
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
	s.take(now, Place{Ticket: e.Ticket, Endpoint: st.record}, st, e.Prompt)
}

func (s *service) end(now time.Time, e Ended) []Command {
	h := s.holders[e.Ticket]
	if h == nil {
		s.queue = slices.DeleteFunc(s.queue, func(w waiting) bool { return w.ask.Ticket == e.Ticket })
		return nil
	}
	s.give(now, e.Ticket, h, e.Result)
	if e.Result == Done {
		s.stay += time.Duration(stayWeight * float64(now.Sub(h.since)-s.stay))
	}
	return s.drain(now)
}

func (s *service) forgetHost(now time.Time, id host.ID) []Command {
	for ticket, h := range s.holders {
		if ticket.Host == id {
			s.give(now, ticket, h, Unknown)
		}
	}
	s.queue = slices.DeleteFunc(s.queue, func(w waiting) bool { return w.ask.Ticket.Host == id })
	return s.drain(now)
}

// tick drops places that nobody speaks of, and refuses who waited too long.
func (s *service) tick(now time.Time) []Command {
	for ticket, h := range s.holders {
		if now.Sub(h.heard) > holdLimit {
			s.give(now, ticket, h, Unknown)
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
	return append(append(commands, s.drain(now)...), s.tell(now)...)
}

// drain places who waits, in order, while there is room.
func (s *service) drain(now time.Time) []Command {
	var commands []Command
	for len(s.queue) > 0 && !s.awaitsLists(now) {
		c, ok := s.choose(now, s.queue[0].ask)
		if !ok {
			return commands
		}
		next := s.queue[0]
		s.queue = s.queue[1:]
		commands = append(commands, s.place(now, next.ask, c, now.Sub(next.since))...)
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
	for _, st := range s.order {
		if !st.record.Leaving {
			n += st.record.Places
		}
	}
	return n
}

func (s *service) anyUsable(e Asked) bool {
	for _, st := range s.order {
		if !st.record.Leaving && !slices.Contains(e.Tried, st.record.Instance.ID) {
			return true
		}
	}
	return false
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
