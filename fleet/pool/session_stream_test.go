package pool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"balsamknot.org/fleet/endpoint"
	"balsamknot.org/fleet/stream"
)

// takenUpOfSession returns the lookup of a stream of the session of ownLookup that can have run for age.
func takenUpOfSession(id stream.ID, age time.Duration, events int) PartLookup {
	lookup := ownLookup
	lookup.TakenUp = TakenUp{Stream: id, Age: age, Events: events}
	return lookup
}

// playLookups repeats lookups until they can be answered.
func (l *listingSite) playLookups(lookups ...PartLookup) {
	l.advance(returnWait+2*step, func() {
		for _, lookup := range lookups {
			l.apply(l.keeper.Update(l.now, PartQueried{Lookup: lookup}))
		}
	})
}

// requireVersions checks at which versions the stream of a lookup can have begun.
func (l *listingSite) requireVersions(t *testing.T, lookup PartLookup, want ...endpoint.Version) {
	t.Helper()
	versions, known := l.keeper.VersionsCaching(l.now, lookup)
	require.True(t, known)
	require.ElementsMatch(t, want, versions)
}

// readPast tells the keeper that the engines of v1 registered before those of v2, and which engines left before it started.
func (l *listingSite) readPast(createdAt map[int]int64, departed ...endpoint.Record) {
	past := PastRead{Departed: departed, CreatedAt: map[endpoint.Instance]int64{}}
	for i, revision := range createdAt {
		past.CreatedAt[endpoint.Instance{ID: engineID(i), StartedAt: 1}] = revision
	}
	l.apply(l.keeper.Update(l.now, past))
}

// departedV1 is the registration of engine 9, of v1, which left before the keeper started.
var departedV1 = endpoint.Record{Instance: endpoint.Instance{ID: engineID(9), StartedAt: 1}, Service: assistant, Slots: 4, Version: "v1"}

// newSiteThatV1HasLeft returns a site with engines of v2, one of which lists the part of ownLookup, after an engine of v1 has left unseen.
func newSiteThatV1HasLeft() *listingSite {
	l := newListingSite("v2", "v2")
	l.caches(0)
	l.readPast(map[int]int64{9: 10, 0: 20, 1: 21}, departedV1)
	return l
}

// Guards against ORDER, review/12: the streams of a version whose engines left while no host ran went on at the version of other streams of their sessions.
func TestOlderStreamOfASessionBeganAtTheVersionThatLeftWhileNoHostRan(t *testing.T) {
	t.Parallel()
	l := newSiteThatV1HasLeft()
	older, newer := takenUpOfSession(1, 4*time.Second, 27), takenUpOfSession(2, 2*time.Second, 10)
	l.playLookups(older, newer)
	l.requireVersions(t, older, "v1")
	l.requireVersions(t, newer, "v2")
}

// Guards against LOST beside it: where the sessions have one stream each, those of the remaining version go on.
func TestOnlyStreamOfASessionBeganWhereItsPartIsCached(t *testing.T) {
	t.Parallel()
	l := newSiteThatV1HasLeft()
	lookup := takenUpOfSession(1, 4*time.Second, 27)
	l.advance(returnWait/2, func() { l.apply(l.keeper.Update(l.now, PartQueried{Lookup: lookup})) })
	_, known := l.keeper.VersionsCaching(l.now, lookup)
	require.False(t, known, "another stream of the session may still be taken up")
	l.playLookups(lookup)
	l.requireVersions(t, lookup, "v2")
}

// Guards against LOST, review/13: after a start of all hosts the streams of sessions that ran at two versions were refused for good.
func TestStreamsOfASessionAtTwoVersionsBeganInTheOrderOfTheVersions(t *testing.T) {
	t.Parallel()
	l := newListingSite("v1", "v2", "v2")
	l.caches(0)
	l.caches(1)
	l.readPast(map[int]int64{0: 10, 1: 20, 2: 21})
	first, second, third := takenUpOfSession(1, 5*time.Second, 27), takenUpOfSession(2, 4*time.Second, 20), takenUpOfSession(3, 2*time.Second, 10)
	l.playLookups(second, third, first)
	l.requireVersions(t, first, "v1")
	l.requireVersions(t, second, "v1", "v2")
	l.requireVersions(t, third, "v2")
}

// Callers that return later are waited for, too, but not for as long.
func TestStreamThatIsTakenUpLaterWaitsForOthersOfItsSession(t *testing.T) {
	t.Parallel()
	l := newSiteThatV1HasLeft()
	early := takenUpOfSession(1, 4*time.Second, 27)
	early.Part++
	l.playLookups(early)
	older, newer := takenUpOfSession(2, 6*time.Second, 27), takenUpOfSession(3, 2*time.Second, 10)
	l.apply(l.keeper.Update(l.now, PartQueried{Lookup: older}))
	_, known := l.keeper.VersionsCaching(l.now, older)
	require.False(t, known)
	l.advance(sessionWait, func() { l.apply(l.keeper.Update(l.now, PartQueried{Lookup: newer})) })
	l.requireVersions(t, older, "v1")
	l.requireVersions(t, newer, "v2")
}

func TestVersionIsOpenWithoutTheOrderOfVersionsOrOfStreams(t *testing.T) {
	t.Parallel()
	older, newer := takenUpOfSession(1, 4*time.Second, 27), takenUpOfSession(2, 2*time.Second, 10)
	order := map[int]int64{0: 10, 1: 20}
	for name, c := range map[string]struct {
		createdAt map[int]int64
		older     PartLookup
		newer     PartLookup
		rolled    bool
	}{
		"a registration that the history does not tell": {createdAt: map[int]int64{0: 10}, older: older, newer: newer},
		"no history": {older: older, newer: newer},
		"streams that may have begun at one moment":     {createdAt: order, older: older, newer: takenUpOfSession(2, 4*time.Second-beginMargin/2, 10)},
		"the older one has fewer events":                {createdAt: order, older: takenUpOfSession(1, 4*time.Second, 9), newer: newer},
		"callers that do not tell when they gave up":    {createdAt: order, older: takenUpOfSession(1, 0, 27), newer: takenUpOfSession(2, 0, 10)},
		"the last version is leaving, as in a rollback": {createdAt: order, older: older, newer: newer, rolled: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := newListingSite("v1", "v2")
			l.caches(0)
			l.caches(1)
			if c.createdAt != nil {
				l.readPast(c.createdAt)
			}
			if c.rolled {
				l.apply(l.keeper.Update(l.now, EndpointRegistered{Record: endpoint.Record{
					Instance: endpoint.Instance{ID: engineID(1), StartedAt: 1}, Service: assistant, Slots: 4, Version: "v2", Leaving: true,
				}}))
			}
			l.playLookups(c.older, c.newer)
			l.requireVersions(t, c.older, "v1", "v2")
			l.requireVersions(t, c.newer, "v1", "v2")
		})
	}
}

func TestEngineThatLeftBeforeItWasListedMayHaveBegunTheOlderStream(t *testing.T) {
	t.Parallel()
	l := newListingSite("v1", "v2")
	l.caches(0)
	l.caches(1)
	l.readPast(map[int]int64{0: 10, 1: 20})
	l.apply(l.keeper.Update(l.now, EndpointRemoved{ID: engineID(0)}))
	older, newer := takenUpOfSession(1, 4*time.Second, 27), takenUpOfSession(2, 2*time.Second, 10)
	l.playLookups(older, newer)
	l.requireVersions(t, older, "v1")
	l.requireVersions(t, newer, "v2")
}

// A host of an earlier release does not tell which stream it looks up.
func TestLookupWithoutAStreamIsAnsweredByTheCachesAlone(t *testing.T) {
	t.Parallel()
	l := newSiteThatV1HasLeft()
	l.playLookups(ownLookup)
	l.requireVersions(t, ownLookup, "v2")
}

func TestStreamsAreForgottenOnceNoneCanBeOlderThanTheHost(t *testing.T) {
	t.Parallel()
	l := newListingSite("v1", "v2")
	l.playLookups(takenUpOfSession(1, time.Second, 1))
	require.Len(t, l.keeper.service(assistant).sessions, 1)
	l.advance(stream.Lifetime, l.nobody)
	l.playLookups(takenUpOfSession(2, time.Second, 1))
	require.Empty(t, l.keeper.service(assistant).sessions)
}
