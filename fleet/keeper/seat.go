package keeper

import (
	"math"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"balsamknot.org/fleet/chat"
	"balsamknot.org/fleet/engine"
)

const (
	// chatsPerEngine bounds the chats that a keeper remembers for one endpoint.
	chatsPerEngine = 4096
	// sampleWindow is how long the running count's history is kept.
	sampleWindow = 3 * time.Second
	// sampleStep is the resolution of that history.
	sampleStep = 50 * time.Millisecond
	// reportJitter is how far a report's age may be off.
	reportJitter = 150 * time.Millisecond
	// durationSmoothing is the weight of the latest request in the mean duration.
	durationSmoothing = 0.1
	// initialDuration is the assumed duration of a request before one has ended.
	initialDuration = time.Second
	// unknownCapacity is used until the set or a report names one.
	unknownCapacity = 1
)

// place is a request's stay at an endpoint.
type place struct {
	seat    *seat
	request RequestArrived
	started time.Time
	queued  bool
}

// sample is the highest running count within one step of time.
type sample struct {
	at   time.Time
	most int
}

// seat is the state of one kept endpoint.
type seat struct {
	id        engine.ID
	pool      string
	running   int
	alone     bool
	leaving   bool
	withdrawn bool
	hasReport bool
	reported  engine.Report
	// reportedAt is when the report's figures held.
	reportedAt time.Time
	// foreign counts requests that the endpoint holds from other keepers.
	foreign  int
	history  []sample
	queue    *fairQueue
	duration time.Duration
	// average is the load over about the last averageSpan, as of averaged.
	average  float64
	averaged time.Time
	// chats holds the chats whose prefix is here, and overflows those that were sent on.
	chats     *lru.Cache[chat.ID, struct{}]
	overflows *lru.Cache[chat.ID, struct{}]
	// prints counts the running requests of each fingerprint.
	prints map[uint64]int
}

func newSeat(id engine.ID, pool string) *seat {
	chats, _ := lru.New[chat.ID, struct{}](chatsPerEngine)
	overflows, _ := lru.New[chat.ID, struct{}](chatsPerEngine)
	return &seat{
		id: id, pool: pool, queue: newFairQueue(), duration: initialDuration,
		chats: chats, overflows: overflows, prints: make(map[uint64]int),
	}
}

// load is the requests in the endpoint: this keeper's own, and others' by the last report.
func (s *seat) load(now time.Time) int {
	if now.Sub(s.reportedAt) > reportLifetime {
		return s.running
	}
	return s.running + s.foreign
}

// averageSpan is the time constant of the average load. What it smooths are the ups and downs of single requests:
// a sum of figures taken at instants some seconds apart would swing by its square root.
const averageSpan = time.Second

// settle brings the average up to now; it is called before each change of the load.
func (s *seat) settle(now time.Time) {
	load := float64(s.load(now))
	if s.averaged.IsZero() {
		s.average, s.averaged = load, now
		return
	}
	weight := math.Exp(-now.Sub(s.averaged).Seconds() / averageSpan.Seconds())
	s.average = load + (s.average-load)*weight
	s.averaged = now
}

func (s *seat) capacity(cfg PoolConfig) int {
	switch {
	case cfg.Capacity > 0 && s.hasReport && s.reported.Capacity > 0:
		return min(cfg.Capacity, s.reported.Capacity)
	case cfg.Capacity > 0:
		return cfg.Capacity
	case s.hasReport && s.reported.Capacity > 0:
		return s.reported.Capacity
	}
	return unknownCapacity
}

func (s *seat) start(now time.Time, e RequestArrived) {
	s.settle(now)
	s.running++
	s.alone = s.alone || e.Alone
	if e.Chat != "" {
		s.chats.Add(e.Chat, struct{}{})
		s.overflows.Remove(e.Chat)
	}
	if e.Fingerprint != 0 {
		s.prints[e.Fingerprint]++
	}
	s.sample(now)
}

func (s *seat) end(now, started time.Time, e RequestArrived) {
	s.settle(now)
	s.running--
	if e.Alone {
		s.alone = false
	}
	if s.prints[e.Fingerprint]--; s.prints[e.Fingerprint] <= 0 {
		delete(s.prints, e.Fingerprint)
	}
	took := now.Sub(started)
	s.duration += time.Duration(durationSmoothing * float64(took-s.duration))
	s.sample(now)
}

// runs reports whether a copy of the request runs here.
func (s *seat) runs(fingerprint uint64) bool {
	return fingerprint != 0 && s.prints[fingerprint] > 0
}

// sample records the running count after a change.
func (s *seat) sample(now time.Time) {
	n := len(s.history)
	if n > 0 && now.Sub(s.history[n-1].at) < sampleStep {
		s.history[n-1].most = max(s.history[n-1].most, s.running)
		return
	}
	first := 0
	for first < n-1 && now.Sub(s.history[first+1].at) > sampleWindow {
		first++
	}
	s.history = append(s.history[first:], sample{at: now, most: s.running})
}

// runningAround returns the most that this keeper had running within reportJitter of a time,
// so that our own ups and downs are not taken for requests of another keeper.
func (s *seat) runningAround(at time.Time) int {
	most := -1
	for i := len(s.history) - 1; i >= 0; i-- {
		h := s.history[i]
		if h.at.After(at.Add(reportJitter)) {
			continue
		}
		most = max(most, h.most)
		if h.at.Before(at.Add(-reportJitter)) {
			break
		}
	}
	if most < 0 {
		return s.running
	}
	return most
}

func (s *seat) report(now time.Time, report engine.Report) {
	if report.Age <= 0 {
		report.Age = defaultAge
	}
	s.settle(now)
	at := now.Add(-report.Age)
	if s.hasReport && at.Before(s.reportedAt) {
		return
	}
	s.reported = report
	s.reportedAt = at
	s.hasReport = true
	s.foreign = max(0, report.Running-s.runningAround(at))
}

// overflowed remembers that a chat was sent on because of the bound.
func (s *seat) overflowed(id chat.ID) {
	if id != "" && !s.chats.Contains(id) {
		s.overflows.Add(id, struct{}{})
	}
}

// followMemory sends a chat to where its prefix is expected.
func (s *seat) followMemory(e RequestArrived) (Redirect, bool) {
	if e.MustDecide || e.Chat == "" || s.chats.Contains(e.Chat) {
		return Redirect{}, false
	}
	if s.overflows.Contains(e.Chat) {
		return Redirect{Ticket: e.Ticket, Reason: Overflowed}, true
	}
	if e.FollowOverflow {
		return Redirect{Ticket: e.Ticket, Reason: NotHere}, true
	}
	return Redirect{}, false
}

// waitsForReuse reports whether a chat is worth a short wait because its prefix is here.
func (s *seat) waitsForReuse(cfg PoolConfig, e RequestArrived) bool {
	return cfg.ReuseWait > 0 && !e.MayQueue && !e.MustDecide && e.Chat != "" && s.chats.Contains(e.Chat)
}

// expectedWait estimates when a request that joins the queue now is started.
func (s *seat) expectedWait(limit int) time.Duration {
	return s.duration * time.Duration(s.queue.len()+1) / time.Duration(max(1, limit))
}

// rejectQueue sends every waiting request on.
func (s *seat) rejectQueue(reason RedirectReason, tickets map[Ticket]*place) []Command {
	var commands []Command
	for s.queue.len() > 0 {
		e := s.queue.pop()
		delete(tickets, e.Ticket)
		commands = append(commands, Redirect{Ticket: e.Ticket, Reason: reason})
	}
	return commands
}
