package catalogue

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"balsamknot.org/fleet/host"
	"balsamknot.org/fleet/site"
)

const (
	fetchDelay  = 200 * time.Millisecond
	fetchRetry  = time.Second
	setLifetime = 5 * time.Second
	setRecheck  = 20 * time.Millisecond
)

func newPeerSets() *PeerSets {
	return NewPeerSets(PeerSetsConfig{FetchDelay: fetchDelay, FailureBackoff: fetchRetry, Lifetime: setLifetime, RecheckInterval: setRecheck})
}

func inForce(v site.Version) SetState { return SetState{Version: v, InForce: true} }

func TestRunningHostFetchesANewerSetThatItsCopyDoesNotBring(t *testing.T) {
	t.Parallel()
	p, now := newPeerSets(), time.Unix(1000, 0)
	require.False(t, p.Announced(now, "host-2", inForce(4), inForce(4)))
	require.Equal(t, SetStep{}, p.Next(now, inForce(4)))
	require.True(t, p.Announced(now, "host-2", inForce(9), inForce(4)))
	require.True(t, p.Announced(now, "host-3", inForce(7), inForce(4)))
	require.Equal(t, SetStep{Wait: setRecheck}, p.Next(now.Add(fetchDelay/2), inForce(4)))
	p.Announced(now.Add(fetchDelay/2), "host-2", inForce(9), inForce(4))
	require.Equal(t, host.ID("host-2"), p.Next(now.Add(fetchDelay), inForce(4)).Fetch, "a repetition does not postpone it")
	require.Equal(t, SetStep{}, p.Next(now.Add(fetchDelay), inForce(9)), "the copy brought it")
}

func TestHostsWhoseSetCannotBeFetchedAreAskedAgainLater(t *testing.T) {
	t.Parallel()
	p, now := newPeerSets(), time.Unix(1000, 0)
	p.Announced(now, "host-2", inForce(9), inForce(4))
	p.Announced(now, "host-3", inForce(7), inForce(4))
	now = now.Add(fetchDelay)
	p.FetchFailed(now, "host-2")
	require.Equal(t, host.ID("host-3"), p.Next(now, inForce(4)).Fetch)
	p.FetchFailed(now, "host-3")
	require.Equal(t, SetStep{Wait: setRecheck}, p.Next(now, inForce(4)))
	require.Equal(t, host.ID("host-2"), p.Next(now.Add(fetchRetry), inForce(4)).Fetch)
	require.Equal(t, SetStep{}, p.Next(now.Add(setLifetime+time.Millisecond), inForce(4)), "they are gone")
}

func TestHostThatStartsFetchesANewerSetAtOnceButOnlyOnceItHasACopy(t *testing.T) {
	t.Parallel()
	p, now := newPeerSets(), time.Unix(1000, 0)
	p.Announced(now, "host-2", inForce(9), SetState{})
	require.Equal(t, SetStep{}, p.Next(now, SetState{}))
	require.Equal(t, host.ID("host-2"), p.Next(now, SetState{Version: 4}).Fetch)
}

func TestAdoptedSetIsReplacedByANewerOneAndDoesNotConfirmTheCopy(t *testing.T) {
	t.Parallel()
	c, now := New(Config{Lease: 5 * time.Second}), time.Unix(1000, 0)
	c.Apply(now, Update{SentAt: now, Full: true, Position: Position{Era: 4, Revision: 10}, Set: &site.Set{Version: 4}})
	later := now.Add(3 * time.Second)
	require.False(t, c.Adopt(&site.Set{Version: 4}, 5))
	require.False(t, c.Adopt(&site.Set{Version: 3}, 5))
	require.False(t, c.Adopt(nil, 5))
	require.True(t, c.Adopt(&site.Set{Version: 9}, 3))
	require.Equal(t, 3*time.Second, c.Age(later))
	update := Update{SentAt: later, Position: Position{Era: 4, Revision: 11}, Set: &site.Set{Version: 8}}
	require.Nil(t, c.Apply(later, update).Set)
	update.Set = &site.Set{Version: 9}
	require.NotNil(t, c.Apply(later, update).Set, "it was written again after the return")
	version, era := c.SetVersion()
	require.Equal(t, site.Version(9), version)
	require.Equal(t, Era(4), era)
}
