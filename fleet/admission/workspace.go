package admission

import (
	"maps"
	"math"
	"time"

	"balsamknot.org/fleet/site"
)

const (
	// workTime is the time over which the work of workspaces is compared, and usualTime that over which it becomes usual.
	workTime  = 500 * time.Millisecond
	usualTime = 30 * time.Second
	// excessFactor is by how much a workspace must ask for more than the others, each compared with its usual, to be held to its share.
	excessFactor = 2
	// riseFactor is the ratio of what is asked to what is usual from which it counts as a sudden increase, and usualGrowth the ratio by
	// which what is usual grows within usualTime then.
	riseFactor  = 1.5
	usualGrowth = 1.25
	// servedTolerance is the largest share of the work that the other workspaces ask for, beside one request, with which they count as served.
	servedTolerance = 0.02
	// minUsualShare is the least work that counts as usual of a workspace, as a share of the mean of all: a new one has no usual yet.
	minUsualShare = 0.5
	// keptShare is the share of the slots that must be held before free ones are kept for others.
	keptShare = 0.85
	// workspaceLifetime is how long a workspace without requests is remembered.
	workspaceLifetime = time.Minute
)

// work counts, in seconds of slots, what requests ask for and what they get.
type work struct {
	asked, granted counter
	// held is the number of slots that are held.
	held int
	// usual is what was asked while there was room for all. It decays in the time of workspaces.usualNow.
	usual counter
	// requests and usualRequests count the requests likewise.
	requests, usualRequests counter
}

// workspaces holds the work of each workspace and of all together. Requests of unknown workspaces count as one, which has no share.
type workspaces struct {
	byName map[site.WorkspaceName]*workspace
	total  work
	// usualNow advances while there is room for all, so that an overload does not change what is usual.
	usualNow, startedAt time.Time
	updatedAt           time.Time
}

type workspace struct {
	work
	askedAt time.Time
	// knownSince is when the first request came, in the time of workspaces.usualNow.
	knownSince time.Time
	// newWork and newRequests are what was asked for since learnedAt and is not counted as usual yet.
	newWork, newRequests float64
	learnedAt            time.Time
}

func newWorkspaces() workspaces { return workspaces{byName: make(map[site.WorkspaceName]*workspace)} }

// advance moves the time in which usual work decays.
func (s *workspaces) advance(now time.Time, overloaded bool) {
	if s.updatedAt.IsZero() {
		s.startedAt, s.usualNow, s.updatedAt = now, now, now
	}
	if !overloaded && now.After(s.updatedAt) {
		s.usualNow = s.usualNow.Add(now.Sub(s.updatedAt))
	}
	s.updatedAt = now
}

// ask counts the work that a request asks for.
func (s *workspaces) ask(now time.Time, name site.WorkspaceName, seconds float64, overloaded bool) {
	s.advance(now, overloaded)
	w := s.byName[name]
	if w == nil {
		w = &workspace{knownSince: s.usualNow, learnedAt: now}
		s.byName[name] = w
	}
	w.askedAt = now
	for _, c := range []*work{&w.work, &s.total} {
		c.asked.addN(now, workTime, seconds)
		c.requests.add(now, workTime)
	}
	if !overloaded {
		w.newWork, w.newRequests = w.newWork+seconds, w.newRequests+1
	}
	if now.Sub(w.learnedAt) >= workTime {
		s.learn(now, w)
	}
}

// learn counts what a workspace asked for since the last time as usual; of a sudden increase only a small part.
func (s *workspaces) learn(now time.Time, w *workspace) {
	part := 1.0
	if counted := s.usualSeconds(w.knownSince); counted > workTime.Seconds() {
		expected := w.usualRequests.at(s.usualNow, usualTime) / counted * now.Sub(w.learnedAt).Seconds()
		if expected > 0 && w.newRequests > riseFactor*expected+minClassRequests {
			part = usualGrowth * expected / w.newRequests
		}
	}
	for _, c := range []*work{&w.work, &s.total} {
		c.usual.addN(s.usualNow, usualTime, part*w.newWork)
		c.usualRequests.addN(s.usualNow, usualTime, part*w.newRequests)
	}
	w.newWork, w.newRequests, w.learnedAt = 0, 0, now
}

// grant counts the work of a request that got a slot.
func (s *workspaces) grant(now time.Time, name site.WorkspaceName, seconds float64) {
	if w := s.byName[name]; w != nil {
		w.granted.addN(now, workTime, seconds)
		s.total.granted.addN(now, workTime, seconds)
	}
}

// exceeds reports whether a workspace that asks for much more than usual, compared with the others, has got its share of the work of the
// last time: what is usual of it. It may also use what the others leave, so that it has no bound while they are served, unless lends is false.
func (s *workspaces) exceeds(now time.Time, name site.WorkspaceName, lends bool) bool {
	w := s.byName[name]
	if name == "" || w == nil || len(s.byName) < 2 {
		return false
	}
	asked, othersAsked := w.asked.at(now, workTime), s.total.asked.at(now, workTime)-w.asked.at(now, workTime)
	usual, totalUsual := w.usual.at(s.usualNow, usualTime), s.total.usual.at(s.usualNow, usualTime)
	othersUsual := totalUsual - usual
	usual = max(usual, minUsualShare*totalUsual/float64(len(s.byName)))
	meanWork := (asked + othersAsked) / s.total.requests.at(now, workTime)
	if asked*othersUsual <= (excessFactor*usual*othersAsked + minClassRequests*meanWork*othersUsual) {
		return false
	}
	share := usual / (usual + othersUsual)
	granted, ownGranted := s.total.granted.at(now, workTime), w.granted.at(now, workTime)
	othersShort := othersAsked - (granted - ownGranted)
	if lends && othersShort <= servedTolerance*othersAsked+meanWork {
		return false
	}
	return ownGranted > share*granted || float64(w.held) > share*float64(s.total.held)
}

// othersRise reports whether the other workspaces ask for more than usual, so that they are about to need free slots.
func (s *workspaces) othersRise(now time.Time, name site.WorkspaceName) bool {
	w := s.byName[name]
	if w == nil {
		return false
	}
	asked := s.total.requests.at(now, workTime) - w.requests.at(now, workTime)
	usual := s.total.usualRequests.at(s.usualNow, usualTime) - w.usualRequests.at(s.usualNow, usualTime)
	return asked/workTime.Seconds() > riseFactor*usual/s.usualSeconds(s.startedAt)
}

// usualSeconds returns the time over which usual work was counted of a workspace that is known since a time.
func (s *workspaces) usualSeconds(since time.Time) float64 {
	known := s.usualNow.Sub(since).Seconds() / usualTime.Seconds()
	return usualTime.Seconds() * (1 - math.Exp(-known))
}

// hold counts a slot that a workspace holds, or no longer holds if change is -1.
func (s *workspaces) hold(name site.WorkspaceName, change int) {
	if w := s.byName[name]; w != nil {
		w.held = max(w.held+change, 0)
	}
	s.total.held = max(s.total.held+change, 0)
}

// forgetIdle forgets workspaces without requests for workspaceLifetime.
func (s *workspaces) forgetIdle(now time.Time) {
	maps.DeleteFunc(s.byName, func(_ site.WorkspaceName, w *workspace) bool {
		return w.held == 0 && now.Sub(w.askedAt) > workspaceLifetime
	})
}

// HoldsBack reports whether a request gets none of the free slots: its workspace has got its share, and the others are about to need them.
func (q *Queue) HoldsBack(now time.Time, r Request, room Room) bool {
	held := float64(q.slots.held)
	if room.Paced || r.Retry || held <= keptShare*float64(room.Slots) || held >= float64(room.Slots) {
		return false
	}
	return q.workspaces.othersRise(now, r.Workspace) && q.workspaces.exceeds(now, r.Workspace, false)
}
