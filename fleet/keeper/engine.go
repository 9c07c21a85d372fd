package keeper

import (
	"math"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"balsamknot.org/fleet/chat"
	"balsamknot.org/fleet/engine"
)

const (
	// maxChatsPerEngine is the size of the LRU lists of chats that a keeper has for one endpoint.
	maxChatsPerEngine = 4096
	// sampleWindow is how long the history of the running count is kept.
	sampleWindow = 3 * time.Second
	// sampleInterval is the resolution of that history.
	sampleInterval = 50 * time.Millisecond
	// reportAgeError is the largest assumed error of a report's age.
	reportAgeError = 150 * time.Millisecond
	// durationSmoothing is the weight of the latest request in the moving average of the request duration.
	durationSmoothing = 0.1
	// initialDuration is the assumed duration of a request until the first one has ended.
	initialDuration = time.Second
	// defaultCapacity is used when neither the configuration set nor a report gives a capacity.
	defaultCapacity = 1
)

// requestState is a request that is running or queued at an endpoint.
type requestState struct {
	engine    *engineState
	request   RequestArrived
	startedAt time.Time
	queued    bool
}

// runningSample is the highest running count within one sampleInterval.
type runningSample struct {
	at   time.Time
	peak int
}

// engineState is the keeper's state of one endpoint.
type engineState struct {
	id      engine.ID
	pool    string
	running int
	// exclusive is true while an exclusive request runs.
	exclusive bool
	leaving   bool
	// withdrawn is true when this host is no longer the keeper but requests that it admitted still run.
	withdrawn bool
	hasReport bool
	reported  engine.Report
	// reportedAt is when the endpoint measured the values of the report.
	reportedAt time.Time
	// foreignRunning is the number of requests that the endpoint runs for other keepers, from the last report.
	foreignRunning int
	history        []runningSample
	queue          *fairQueue
	meanDuration   time.Duration
	// average is the exponential average of the load as of averagedAt.
	average    float64
	averagedAt time.Time
	// chats holds the chats whose prefix the endpoint has cached, and overflows those that were redirected to another one.
	chats     *lru.Cache[chat.ID, struct{}]
	overflows *lru.Cache[chat.ID, struct{}]
	// fingerprints counts the running requests of each fingerprint.
	fingerprints map[uint64]int
}

func newEngineState(id engine.ID, pool string) *engineState {
	chats, _ := lru.New[chat.ID, struct{}](maxChatsPerEngine)
	overflows, _ := lru.New[chat.ID, struct{}](maxChatsPerEngine)
	return &engineState{
		id: id, pool: pool, queue: newFairQueue(), meanDuration: initialDuration,
		chats: chats, overflows: overflows, fingerprints: make(map[uint64]int),
	}
}

// load returns the number of requests that run on the endpoint: those of this keeper and, if the last report is recent
// enough, those of other keepers.
func (s *engineState) load(now time.Time) int {
	if now.Sub(s.reportedAt) > reportLifetime {
		return s.running
	}
	return s.running + s.foreignRunning
}

// averageTimeConstant is the time constant of the average load. The average evens out the start and end of single requests:
// a sum of momentary loads, each taken at a different time within some seconds, would fluctuate by about its square root.
const averageTimeConstant = time.Second

// updateAverage brings the average up to now. It must be called before each change of running and foreignRunning, since it
// assumes that the load has been constant since the last call.
func (s *engineState) updateAverage(now time.Time) {
	load := float64(s.load(now))
	if s.averagedAt.IsZero() {
		s.average, s.averagedAt = load, now
		return
	}
	weight := math.Exp(-now.Sub(s.averagedAt).Seconds() / averageTimeConstant.Seconds())
	s.average = load + (s.average-load)*weight
	s.averagedAt = now
}

// capacity returns the lower of the configured and the reported capacity, or defaultCapacity when there is neither.
func (s *engineState) capacity(cfg PoolConfig) int {
	switch {
	case cfg.Capacity > 0 && s.hasReport && s.reported.Capacity > 0:
		return min(cfg.Capacity, s.reported.Capacity)
	case cfg.Capacity > 0:
		return cfg.Capacity
	case s.hasReport && s.reported.Capacity > 0:
		return s.reported.Capacity
	}
	return defaultCapacity
}

func (s *engineState) start(now time.Time, e RequestArrived) {
	s.updateAverage(now)
	s.running++
	s.exclusive = s.exclusive || e.Exclusive
	if e.Chat != "" {
		s.chats.Add(e.Chat, struct{}{})
		s.overflows.Remove(e.Chat)
	}
	if e.Fingerprint != 0 {
		s.fingerprints[e.Fingerprint]++
	}
	s.recordRunning(now)
}

func (s *engineState) end(now, startedAt time.Time, e RequestArrived) {
	s.updateAverage(now)
	s.running--
	if e.Exclusive {
		s.exclusive = false
	}
	if s.fingerprints[e.Fingerprint]--; s.fingerprints[e.Fingerprint] <= 0 {
		delete(s.fingerprints, e.Fingerprint)
	}
	duration := now.Sub(startedAt)
	s.meanDuration += time.Duration(durationSmoothing * float64(duration-s.meanDuration))
	s.recordRunning(now)
}

// runsCopyOf reports whether a request with the same fingerprint runs on the endpoint.
func (s *engineState) runsCopyOf(fingerprint uint64) bool {
	return fingerprint != 0 && s.fingerprints[fingerprint] > 0
}

// recordRunning adds the running count to the history after a change.
func (s *engineState) recordRunning(now time.Time) {
	n := len(s.history)
	if n > 0 && now.Sub(s.history[n-1].at) < sampleInterval {
		s.history[n-1].peak = max(s.history[n-1].peak, s.running)
		return
	}
	first := 0
	for first < n-1 && now.Sub(s.history[first+1].at) > sampleWindow {
		first++
	}
	s.history = append(s.history[first:], runningSample{at: now, peak: s.running})
}

// peakRunningAround returns the highest number of requests of this keeper that ran on the endpoint within reportAgeError of a
// time. The peak is used because with a lower count some of this keeper's own requests in a report would be attributed to
// other keepers.
func (s *engineState) peakRunningAround(at time.Time) int {
	peak := -1
	for i := len(s.history) - 1; i >= 0; i-- {
		sample := s.history[i]
		if sample.at.After(at.Add(reportAgeError)) {
			continue
		}
		peak = max(peak, sample.peak)
		if sample.at.Before(at.Add(-reportAgeError)) {
			break
		}
	}
	if peak < 0 {
		return s.running
	}
	return peak
}

func (s *engineState) report(now time.Time, report engine.Report) {
	if report.Age <= 0 {
		report.Age = defaultReportAge
	}
	s.updateAverage(now)
	at := now.Add(-report.Age)
	if s.hasReport && at.Before(s.reportedAt) {
		return
	}
	s.reported = report
	s.reportedAt = at
	s.hasReport = true
	s.foreignRunning = max(0, report.Running-s.peakRunningAround(at))
}

// recordOverflow records that a chat was redirected with reason OverBound, unless its prefix is cached at this endpoint.
func (s *engineState) recordOverflow(id chat.ID) {
	if id != "" && !s.chats.Contains(id) {
		s.overflows.Add(id, struct{}{})
	}
}

// redirectToPrefix returns the redirect of a chat whose prefix is expected at another endpoint, or which was sent here for its
// prefix although this endpoint does not have it.
func (s *engineState) redirectToPrefix(e RequestArrived) (Redirect, bool) {
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

// waitsForReuse reports whether a request is queued for up to ReuseWait because its prefix is cached at this endpoint.
func (s *engineState) waitsForReuse(cfg PoolConfig, e RequestArrived) bool {
	return cfg.ReuseWait > 0 && !e.MayQueue && !e.MustDecide && e.Chat != "" && s.chats.Contains(e.Chat)
}

// expectedWait estimates how long a request that is queued now waits for its start.
func (s *engineState) expectedWait(limit int) time.Duration {
	return s.meanDuration * time.Duration(s.queue.len()+1) / time.Duration(max(1, limit))
}

// redirectQueue empties the queue and returns a redirect for each request in it.
func (s *engineState) redirectQueue(reason RedirectReason, requests map[Ticket]*requestState) []Command {
	var commands []Command
	for s.queue.len() > 0 {
		e := s.queue.pop()
		delete(requests, e.Ticket)
		commands = append(commands, Redirect{Ticket: e.Ticket, Reason: reason})
	}
	return commands
}
