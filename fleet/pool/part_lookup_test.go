package pool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"balsamknot.org/fleet/chat"
	"balsamknot.org/fleet/endpoint"
	"balsamknot.org/fleet/stream"
)

func (l *listingSite) unregister(i int) {
	l.apply(l.keeper.Update(l.now, EndpointRemoved{ID: engineID(i)}))
}

// grant requests a slot for the part of ownLookup and waits until an engine was chosen.
func (l *listingSite) grant(t *testing.T) {
	t.Helper()
	ticket := Ticket{Host: "host-1", Number: 1}
	l.apply(l.keeper.Update(l.now, SlotRequested{
		Ticket: ticket, Service: assistant, TimeLeft: time.Minute, Prompt: chat.Prompt{Parts: []chat.Part{{ID: 1, Tokens: 100}, {ID: ownPart, Tokens: ownTokens}}},
	}))
	l.advance(cacheListWait+step, l.nobody)
	require.NotNil(t, l.keeper.service(assistant).heldSlots[ticket], "no slot is granted")
}

// requireAnswer asks for the part of ownLookup until it is known which versions cache it.
func (l *listingSite) requireAnswer(t *testing.T, want ...endpoint.Version) {
	t.Helper()
	versions, known, _ := l.answer(time.Second)
	require.True(t, known)
	require.Equal(t, want, versions)
}

// Guards against ORDER: two requests of one session ran at engines of two versions. When the engines of one version had left, its streams went on at the
// other one, whose engines cached the part too.
func TestVersionCountsWhoseEnginesHaveLeftSinceTheyListedThePart(t *testing.T) {
	l := newListingSite("v1", "v2")
	l.caches(0)
	l.caches(1)
	l.requireAnswer(t, "v1", "v2")

	l.unregister(0)
	versions, known := l.keeper.VersionsCaching(l.now, ownLookup)
	require.True(t, known)
	require.Equal(t, []endpoint.Version{"v1", "v2"}, versions, "the engine of v1 has left")

	l.advance(stream.Lifetime+step, l.nobody)
	versions, known = l.keeper.VersionsCaching(l.now, ownLookup)
	require.True(t, known)
	require.Equal(t, []endpoint.Version{"v2"}, versions, "no stream of v1 can be taken up any more")
}

func TestVersionCountsWhoseEngineWasReplacedInPlace(t *testing.T) {
	l := newListingSite("v1", "v2")
	l.caches(0)
	l.caches(1)
	_, known, _ := l.answer(time.Second)
	require.True(t, known)
	delete(l.cached, engineID(0))
	l.register(0, 2, "v2")
	l.requireAnswer(t, "v1", "v2")
}

func TestEngineWhoseRegistrationReturnsIsListedAnew(t *testing.T) {
	l := newListingSite("v1", "v2")
	l.caches(0)
	_, known, _ := l.answer(time.Second)
	require.True(t, known)
	l.unregister(0)
	delete(l.cached, engineID(0))
	l.register(0, 1, "v1")
	versions, known, _ := l.answer(time.Second)
	require.True(t, known)
	require.Empty(t, versions, "the engine has dropped the part")
}

// Guards against ORDER: a stream of a version whose engines had left went on where another request of its session had got a slot since the start of the
// keeper, since that engine caches the part from then on.
func TestSlotThatWasGrantedSinceTheStartIsNoSignOfWhereAnOlderStreamBegan(t *testing.T) {
	l := newListingSite("v2", "v1")
	l.unregister(1)
	l.caches(0)
	l.grant(t)
	versions, known, _ := l.answer(time.Second)
	require.True(t, known)
	require.Empty(t, versions)
}

func TestSlotThatWasGrantedSinceTheStartCountsWhereThereIsOneVersion(t *testing.T) {
	l := newListingSite("v2", "v2")
	l.caches(0)
	l.caches(1)
	l.grant(t)
	l.requireAnswer(t, "v2")
}

func TestSlotThatWasGrantedAtAnotherVersionLeavesTheVersionOpen(t *testing.T) {
	l := newListingSite("v1", "v2")
	l.caches(0)
	l.caches(1)
	l.grant(t)
	l.requireAnswer(t, "v1", "v2")
}

func TestOnlyServicesWithSeveralVersionsAreListedAfterAStart(t *testing.T) {
	for want, versions := range map[int][]endpoint.Version{0: {"v1", "v1"}, 2: {"v1", "v2"}} {
		l := newListingSite(versions...)
		l.apply(l.keeper.Update(l.now, ListsNeeded{Service: assistant}))
		require.Len(t, l.attempts, want)
	}
}
