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

	discoveryTime     = 360 * time.Millisecond
	loneDiscoveryTime = 660 * time.Millisecond
)

func newPeerSets() *PeerSets {
	return NewPeerSets(PeerSetsConfig{
		Confirmations: 2, DiscoveryTime: discoveryTime, LoneDiscoveryTime: loneDiscoveryTime,
		FetchDelay: fetchDelay, FailureBackoff: fetchRetry, Lifetime: setLifetime, RecheckInterval: setRecheck,
	})
}

func inForce(v site.Version) SetState { return SetState{Version: v, InForce: true} }

func TestRunningHostFetchesANewerSetThatItsCopyDoesNotBring(t *testing.T) {
	t.Parallel()
	p, now := newPeerSets(), time.Unix(1000, 0)
	require.False(t, p.Announced(now, "host-2", inForce(4), inForce(4)))
	require.Equal(t, SetStep{}, p.Next(now, inForce(4), Surroundings{}))
	require.True(t, p.Announced(now, "host-2", inForce(9), inForce(4)))
	require.True(t, p.Announced(now, "host-3", inForce(7), inForce(4)))
	require.Equal(t, SetStep{Wait: setRecheck}, p.Next(now.Add(fetchDelay/2), inForce(4), Surroundings{}))
	p.Announced(now.Add(fetchDelay/2), "host-2", inForce(9), inForce(4))
	require.Equal(t, host.ID("host-2"), p.Next(now.Add(fetchDelay), inForce(4), Surroundings{}).Fetch, "a repetition does not postpone it")
	require.Equal(t, SetStep{}, p.Next(now.Add(fetchDelay), inForce(9), Surroundings{}), "the copy brought it")
}

func TestHostsWhoseSetCannotBeFetchedAreAskedAgainLater(t *testing.T) {
	t.Parallel()
	p, now := newPeerSets(), time.Unix(1000, 0)
	p.Announced(now, "host-2", inForce(9), inForce(4))
	p.Announced(now, "host-3", inForce(7), inForce(4))
	now = now.Add(fetchDelay)
	p.FetchFailed(now, "host-2")
	require.Equal(t, host.ID("host-3"), p.Next(now, inForce(4), Surroundings{}).Fetch)
	p.FetchFailed(now, "host-3")
	require.Equal(t, SetStep{Wait: setRecheck}, p.Next(now, inForce(4), Surroundings{}))
	require.Equal(t, host.ID("host-2"), p.Next(now.Add(fetchRetry), inForce(4), Surroundings{}).Fetch)
	require.Equal(t, SetStep{}, p.Next(now.Add(setLifetime+time.Millisecond), inForce(4), Surroundings{}), "they are gone")
}

func TestHostThatStartsFetchesANewerSetAtOnceButOnlyOnceItHasACopy(t *testing.T) {
	t.Parallel()
	p, now := newPeerSets(), time.Unix(1000, 0)
	p.Announced(now, "host-2", inForce(9), SetState{})
	require.Equal(t, SetStep{}, p.Next(now, SetState{}, Surroundings{}))
	require.Equal(t, host.ID("host-2"), p.Next(now, SetState{Version: 4}, Surroundings{}).Fetch)
}

func TestAdoptedSetIsReplacedByANewerOneAndDoesNotConfirmTheCopy(t *testing.T) {
	t.Parallel()
	c, now := New(Config{Lease: 5 * time.Second}), time.Unix(1000, 0)
	c.Apply(now, Update{Confirmation: Confirmation{SentAt: now}, Full: true, Position: Position{Era: 4, Revision: 10}, Changes: []Change{Published{&site.Set{Version: 4}}}})
	later := now.Add(3 * time.Second)
	require.False(t, c.Adopt(&site.Set{Version: 4}, 5))
	require.False(t, c.Adopt(&site.Set{Version: 3}, 5))
	require.False(t, c.Adopt(nil, 5))
	require.True(t, c.Adopt(&site.Set{Version: 9}, 3))
	require.Equal(t, 3*time.Second, c.Age(later))
	update := Update{Confirmation: Confirmation{SentAt: later}, Position: Position{Era: 4, Revision: 11}, Changes: []Change{Published{&site.Set{Version: 8}}}}
	require.Nil(t, c.Apply(later, update).Set)
	update.Changes = []Change{Published{&site.Set{Version: 9}}}
	require.NotNil(t, c.Apply(later, update).Set, "it was written again after the return")
	version, era := c.SetVersion()
	require.Equal(t, site.Version(9), version)
	require.Equal(t, Era(4), era)
}

func TestHostThatStartsUsesItsSetOnlyOnceOthersHadTimeToTellOfANewerOne(t *testing.T) {
	t.Parallel()
	starting, running := SetState{Version: 4}, inForce(4)
	seeds := []host.ID{"host-2", "host-3"}
	for _, tc := range []struct {
		name   string
		heard  map[host.ID]SetState
		around Surroundings
		step   SetStep
	}{
		{"alone", nil, Surroundings{Age: loneDiscoveryTime - 1}, SetStep{Wait: setRecheck}},
		{"alone for long", nil, Surroundings{Age: loneDiscoveryTime}, SetStep{Use: true}},
		{"others silent", nil, Surroundings{Age: discoveryTime - 1, Others: 3}, SetStep{Wait: setRecheck}},
		{"others silent for long", nil, Surroundings{Age: discoveryTime, Others: 3}, SetStep{Use: true}},
		{"one confirms", map[host.ID]SetState{"host-2": running}, Surroundings{Others: 2}, SetStep{Wait: setRecheck}},
		{"the only other confirms", map[host.ID]SetState{"host-2": running}, Surroundings{Others: 1}, SetStep{Use: true}},
		{"two confirm", map[host.ID]SetState{"host-2": running, "host-3": inForce(3)}, Surroundings{Others: 9}, SetStep{Use: true}},
		{"two start", map[host.ID]SetState{"host-2": starting, "host-3": {}}, Surroundings{Others: 9}, SetStep{Wait: setRecheck}},
		{"all seeds start", map[host.ID]SetState{"host-2": starting, "host-3": {}}, Surroundings{Others: 9, Seeds: seeds}, SetStep{Use: true}},
		{"one seed is silent", map[host.ID]SetState{"host-2": starting}, Surroundings{Others: 9, Seeds: seeds}, SetStep{Wait: setRecheck}},
		{
			"one has a newer set", map[host.ID]SetState{"host-2": running, "host-3": running, "host-4": {Version: 9}},
			Surroundings{Age: loneDiscoveryTime, Others: 9, Seeds: seeds}, SetStep{Fetch: "host-4"},
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			p, now := newPeerSets(), time.Unix(1000, 0)
			for id, state := range tc.heard {
				require.True(t, p.Announced(now, id, state, starting))
			}
			require.Equal(t, tc.step, p.Next(now, starting, tc.around))
		})
	}
}

func TestHostThatStartsUsesItsSetIfTheNewerOneCannotBeFetched(t *testing.T) {
	t.Parallel()
	p, now := newPeerSets(), time.Unix(1000, 0)
	around := Surroundings{Age: discoveryTime, Others: 1}
	p.Announced(now, "host-2", inForce(9), SetState{Version: 4})
	require.Equal(t, SetStep{Fetch: "host-2"}, p.Next(now, SetState{Version: 4}, around))
	p.FetchFailed(now, "host-2")
	require.Equal(t, SetStep{Use: true}, p.Next(now, SetState{Version: 4}, around))
}

func TestSetOfAnEarlierEraInAReadersCopyIsReplacedByOneOfTheSameVersion(t *testing.T) {
	t.Parallel()
	c, now := New(Config{Lease: 5 * time.Second}), time.Unix(1000, 0)
	update := Update{Confirmation: Confirmation{SentAt: now}, Full: true, Position: Position{Era: 4, Revision: 10}, Changes: []Change{Published{&site.Set{Version: 9}}}, SetEra: 3}
	require.NotNil(t, c.Apply(now, update).Set)
	require.Nil(t, c.Apply(now, update).Set)
	update.SetEra = 0
	require.NotNil(t, c.Apply(now, update).Set)
	require.Nil(t, c.Apply(now, update).Set)
}
