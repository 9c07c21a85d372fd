package pool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"balsamknot.org/fleet/chat"
	"balsamknot.org/fleet/endpoint"
	"balsamknot.org/fleet/site"
)

// listingSite plays the engines of a service that list their caches, for a keeper that has just started.
type listingSite struct {
	keeper *Keeper
	now    time.Time
	events []listEvent
	// listTime is how long an engine takes to list its cache; a list that takes longer than its time limit fails.
	listTime func(id endpoint.ID, attempt int) time.Duration
	cached   map[endpoint.ID][]chat.Part
	// attempts counts the lists that were requested of each engine, and inFlight those that it has not answered.
	attempts, inFlight      map[endpoint.ID]int
	maxPerEngine, maxInTime int
	requestedAt             map[endpoint.ID][]time.Time
}

// listEvent is the result of a list at the time at which it arrives.
type listEvent struct {
	at     time.Time
	result CacheListed
}

// ownPart is the last part of a prompt, and ownTokens its length.
const (
	ownPart   = chat.PartID(77)
	ownTokens = 300
)

var ownLookup = PartLookup{Service: assistant, Part: ownPart, MinTokens: ownTokens, MaxTokens: 2 * ownTokens}

func newListingSite(versions ...endpoint.Version) *listingSite {
	l := &listingSite{
		keeper: New(Config{LoadFactor: 2, RetryWindow: time.Second}), now: time.Unix(1000, 0),
		listTime: func(endpoint.ID, int) time.Duration { return 100 * time.Millisecond },
		cached:   map[endpoint.ID][]chat.Part{}, attempts: map[endpoint.ID]int{}, inFlight: map[endpoint.ID]int{}, requestedAt: map[endpoint.ID][]time.Time{},
	}
	l.keeper.Update(l.now, ServiceChanged{Service: site.Service{Name: assistant, Engine: &site.Engine{Slots: 4}}})
	for i, version := range versions {
		l.register(i, 1, version)
	}
	return l
}

func (l *listingSite) register(i int, startedAt int64, version endpoint.Version) {
	l.apply(l.keeper.Update(l.now, EndpointRegistered{Record: endpoint.Record{
		Instance: endpoint.Instance{ID: engineID(i), StartedAt: startedAt}, Service: assistant, Slots: 4, Version: version,
	}}))
}

// caches adds the part of ownLookup to an engine's cache.
func (l *listingSite) caches(i int) {
	l.cached[engineID(i)] = []chat.Part{{ID: ownPart, Tokens: ownTokens}}
}

func (l *listingSite) apply(commands []Command) {
	for _, command := range commands {
		if c, ok := command.(CancelList); ok {
			l.cancel(c.Instance)
		}
		c, ok := command.(ListCache)
		if !ok {
			continue
		}
		id := c.Endpoint.Instance.ID
		l.attempts[id]++
		l.inFlight[id]++
		l.requestedAt[id] = append(l.requestedAt[id], l.now)
		l.maxPerEngine = max(l.maxPerEngine, l.inFlight[id])
		l.maxInTime = max(l.maxInTime, l.concurrent())
		took := l.listTime(id, l.attempts[id])
		result := CacheListed{Service: c.Service, Instance: c.Endpoint.Instance, Parts: l.cached[id]}
		if took > c.TimeLimit {
			took, result.Failed, result.Parts = c.TimeLimit, true, nil
		}
		l.events = append(l.events, listEvent{l.now.Add(took), result})
	}
}

// cancel lets the list of an engine fail now.
func (l *listingSite) cancel(instance endpoint.Instance) {
	for i, e := range l.events {
		if e.result.Instance == instance {
			l.events[i] = listEvent{l.now, CacheListed{Service: e.result.Service, Instance: instance, Failed: true}}
		}
	}
}

func (l *listingSite) concurrent() int {
	n := 0
	for _, inFlight := range l.inFlight {
		n += inFlight
	}
	return n
}

// step is the time between the ticks of a listingSite.
const step = 10 * time.Millisecond

// advance plays the time d, in which ask is called at each tick.
func (l *listingSite) advance(d time.Duration, ask func()) {
	for end := l.now.Add(d); l.now.Before(end); {
		l.now = l.now.Add(step)
		due := l.events
		l.events = nil
		for _, e := range due {
			if e.at.After(l.now) {
				l.events = append(l.events, e)
				continue
			}
			l.inFlight[e.result.Instance.ID]--
			l.apply(l.keeper.Update(l.now, e.result))
		}
		l.apply(l.keeper.Update(l.now, Tick{}))
		ask()
	}
}

// query asks which versions cache the part of ownLookup.
func (l *listingSite) query() { l.apply(l.keeper.Update(l.now, PartQueried{Lookup: ownLookup})) }

func (l *listingSite) nobody() {}

// answer asks for at most limit and returns the answer, and how long it took. known is false if there is none.
func (l *listingSite) answer(limit time.Duration) (versions []endpoint.Version, known bool, took time.Duration) {
	for start := l.now; l.now.Sub(start) < limit; {
		l.advance(step, l.query)
		if versions, known = l.keeper.VersionsCaching(l.now, ownLookup); known {
			return versions, true, l.now.Sub(start)
		}
	}
	return nil, false, limit
}

func alternating(n int) []endpoint.Version {
	versions := make([]endpoint.Version, n)
	for i := range versions {
		versions[i] = []endpoint.Version{"v1", "v2"}[i%2]
	}
	return versions
}

func TestLookupIsAnsweredThoughTheEnginesTakeLongToList(t *testing.T) {
	t.Parallel()
	const engines = 140
	l := newListingSite(alternating(engines)...)
	l.caches(engines - 1)
	versions, known, took := l.answer(10 * time.Second)
	require.True(t, known)
	require.Equal(t, []endpoint.Version{"v2"}, versions)
	require.LessOrEqual(t, took, 2*time.Second)
	require.Equal(t, 1, l.maxPerEngine)
	require.LessOrEqual(t, l.maxInTime, maxConcurrentLists)
	for id, n := range l.attempts {
		require.Equal(t, 1, n, id)
	}
}

func TestEngineThatDoesNotListIsNotTakenForEmpty(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		silent, owner int
		attempts      int
		versions      []endpoint.Version
	}{
		"the silent engine has the part": {silent: 1, owner: 1, attempts: 3, versions: []endpoint.Version{"v2"}},
		"one of another version has it":  {silent: 1, owner: 0, attempts: 2, versions: []endpoint.Version{"v1"}},
		"none has it":                    {silent: 1, owner: -1, attempts: 3, versions: nil},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := newListingSite(alternating(4)...)
			if c.owner >= 0 {
				l.caches(c.owner)
			}
			l.listTime = func(id endpoint.ID, attempt int) time.Duration {
				if id == engineID(c.silent) && attempt < c.attempts {
					return time.Minute
				}
				return 5 * time.Millisecond
			}
			versions, known, _ := l.answer(10 * time.Second)
			require.True(t, known)
			require.Equal(t, c.versions, versions)
			require.Equal(t, c.attempts, l.attempts[engineID(c.silent)])
			require.Equal(t, 1, l.maxPerEngine)
		})
	}
}

func TestLookupWaitsOnlyForEnginesThatCouldAddAVersion(t *testing.T) {
	t.Parallel()
	silent := func(i int) func(endpoint.ID, int) time.Duration {
		return func(id endpoint.ID, _ int) time.Duration {
			if id == engineID(i) {
				return time.Minute
			}
			return 5 * time.Millisecond
		}
	}
	l := newListingSite(alternating(4)...)
	l.caches(0)
	l.listTime = silent(2)
	versions, known, _ := l.answer(time.Second)
	require.True(t, known, "the silent engine has the version that is known to cache the part")
	require.Equal(t, []endpoint.Version{"v1"}, versions)

	l = newListingSite(alternating(5)...)
	l.caches(0)
	l.caches(1)
	l.listTime = silent(4)
	versions, known, _ = l.answer(time.Second)
	require.True(t, known, "two versions remain two")
	require.Equal(t, []endpoint.Version{"v1", "v2"}, versions)

	l = newListingSite(alternating(4)...)
	l.caches(0)
	l.listTime = silent(3)
	_, known, _ = l.answer(listPatience - 2*step)
	require.False(t, known, "the silent engine may have begun the stream after one of the other version lost it")
	l.apply(l.keeper.Update(l.now, EndpointRemoved{ID: engineID(3)}))
	versions, known, _ = l.answer(step)
	require.True(t, known, "the silent engine is gone")
	require.Equal(t, []endpoint.Version{"v1"}, versions)
}

// Guards against LOST: one engine that did not list its cache cost all streams of the other versions.
func TestEngineThatDoesNotListCostsOnlyTheStreamsThatItBegan(t *testing.T) {
	t.Parallel()
	const engines, silentV1, silentV2 = 120, 0, 1
	silent := func(id endpoint.ID, _ int) time.Duration {
		if id == engineID(silentV1) || id == engineID(silentV2) {
			return time.Hour
		}
		return 100 * time.Millisecond
	}
	for name, c := range map[string]struct {
		owner    int
		versions []endpoint.Version
	}{
		"begun at a listed engine of the first version":  {owner: 2, versions: []endpoint.Version{"v1"}},
		"begun at a listed engine of the second version": {owner: 3, versions: []endpoint.Version{"v2"}},
		"begun at a silent engine":                       {owner: silentV1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := newListingSite(alternating(engines)...)
			l.listTime = silent
			l.caches(c.owner)
			versions, known, took := l.answer(20 * time.Second)
			require.Equal(t, c.versions != nil, known)
			require.Equal(t, c.versions, versions)
			if known {
				require.GreaterOrEqual(t, took, listPatience, "a silent engine has its time to list")
				require.LessOrEqual(t, took, listPatience+2*step)
			}
		})
	}
}

// Guards against ORDER: an engine that is late, and that began the stream after one of the other version had lost it, was not waited for.
func TestLookupWaitsForAnEngineThatWasSilentForASecond(t *testing.T) {
	t.Parallel()
	const lost, began, silence = 0, 1, time.Second
	l := newListingSite(alternating(4)...)
	l.caches(lost)
	l.caches(began)
	start := l.now
	l.listTime = func(id endpoint.ID, _ int) time.Duration {
		if id == engineID(began) {
			return max(start.Add(silence).Sub(l.now), 5*time.Millisecond)
		}
		return 5 * time.Millisecond
	}
	versions, known, _ := l.answer(10 * time.Second)
	require.True(t, known)
	require.Equal(t, []endpoint.Version{"v1", "v2"}, versions)
}

func TestLookupAfterALongTimeWithoutOneWaitsForEnginesAnew(t *testing.T) {
	t.Parallel()
	l := newListingSite(alternating(2)...)
	l.caches(0)
	l.listTime = func(id endpoint.ID, _ int) time.Duration {
		if id == engineID(1) {
			return time.Hour
		}
		return 5 * time.Millisecond
	}
	_, known, _ := l.answer(listPatience + 2*step)
	require.True(t, known)
	l.advance(listDemandMemory-time.Second, l.nobody)
	_, known, _ = l.answer(2 * step)
	require.True(t, known, "the engine had its time")
	l.advance(listDemandMemory+time.Second, l.nobody)
	l.caches(1)
	l.listTime = func(endpoint.ID, int) time.Duration { return 5 * time.Millisecond }
	_, known, took := l.answer(10 * time.Second)
	require.True(t, known)
	require.LessOrEqual(t, took, listPatience)
}

// Guards against LOST: lists of 600 ms from many engines came too late for the streams that waited for them.
func TestManySlowListsArriveWhileCallersWait(t *testing.T) {
	t.Parallel()
	const engines, listTime, callersWait = 140, 600 * time.Millisecond, 2200 * time.Millisecond
	l := newListingSite(alternating(engines)...)
	l.listTime = func(endpoint.ID, int) time.Duration { return listTime }
	l.caches(engines - 1)
	versions, known, _ := l.answer(callersWait)
	require.True(t, known)
	require.Equal(t, []endpoint.Version{"v2"}, versions)
	require.Equal(t, 1, l.maxPerEngine)
	require.LessOrEqual(t, l.maxInTime, maxConcurrentLists)
}

func TestSilentEngineIsAskedLessAndLessAndOnlyWhileAnAnswerIsNeeded(t *testing.T) {
	t.Parallel()
	l := newListingSite(alternating(2)...)
	l.listTime = func(endpoint.ID, int) time.Duration { return time.Minute }
	l.advance(40*time.Second, l.query)
	asked := l.requestedAt[engineID(0)]
	require.Greater(t, len(asked), 3)
	require.Equal(t, 1, l.maxPerEngine)
	for i := 2; i < len(asked); i++ {
		require.GreaterOrEqual(t, asked[i].Sub(asked[i-1]), asked[i-1].Sub(asked[i-2]), "the time between two lists does not shrink")
	}
	last := asked[len(asked)-1].Sub(asked[len(asked)-2])
	require.GreaterOrEqual(t, last, maxListTimeLimit+maxListBackoff)
	l.advance(maxListTimeLimit+time.Second, l.nobody)
	before := l.attempts[engineID(0)]
	l.advance(20*time.Second, l.nobody)
	require.Equal(t, before, l.attempts[engineID(0)])
}

func TestEngineThatRegistersLaterOrRestartsIsListedIfALookupNeedsIt(t *testing.T) {
	t.Parallel()
	const late, restarted = 2, 1
	l := newListingSite(alternating(2)...)
	l.caches(0)
	_, known, _ := l.answer(time.Second)
	require.True(t, known)
	l.register(late, 1, "v2")
	_, known = l.keeper.VersionsCaching(l.now, ownLookup)
	require.False(t, known)
	_, known, _ = l.answer(time.Second)
	require.True(t, known)
	l.register(restarted, 2, "v2")
	_, known = l.keeper.VersionsCaching(l.now, ownLookup)
	require.False(t, known)
	_, known, _ = l.answer(time.Second)
	require.True(t, known)
	require.Equal(t, map[endpoint.ID]int{engineID(0): 1, engineID(restarted): 2, engineID(late): 1}, l.attempts)
}

func TestKnownAnswerAsksNoEngine(t *testing.T) {
	t.Parallel()
	l := newListingSite("v1", "v1")
	l.apply(l.keeper.Update(l.now, CacheUpdated{Service: assistant, Cached: []CachedParts{{ID: engineID(0), Parts: []chat.PartID{ownPart}}}}))
	versions, known, _ := l.answer(time.Second)
	require.True(t, known)
	require.Equal(t, []endpoint.Version{"v1"}, versions)
	require.Empty(t, l.attempts)
}

func TestHostThatMayNotBeTheKeeperAsksNoEngineForALookup(t *testing.T) {
	t.Parallel()
	l := newListingSite(alternating(2)...)
	l.advance(time.Second, func() {
		l.apply(l.keeper.Update(l.now, PartQueried{Lookup: ownLookup, KeeperUnconfirmed: true}))
	})
	require.Empty(t, l.attempts)
	_, known := l.keeper.VersionsCaching(l.now, ownLookup)
	require.False(t, known)
}

func TestSlotRequestsOfANewKeeperDoNotWaitForASilentEngine(t *testing.T) {
	t.Parallel()
	l := newListingSite(alternating(4)...)
	l.listTime = func(endpoint.ID, int) time.Duration { return time.Minute }
	ticket := Ticket{"host", 1}
	l.apply(l.keeper.Update(l.now, SlotRequested{Ticket: ticket, Service: assistant, TimeLeft: time.Second}))
	require.Zero(t, l.keeper.Running())
	l.advance(cacheListWait+step, l.nobody)
	require.Equal(t, 1, l.keeper.Running())
}
