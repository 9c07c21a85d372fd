package claim

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"balsamknot.org/fleet/host"
)

func TestKeyTellsItsMintTime(t *testing.T) {
	t.Parallel()
	id, err := uuid.NewV7()
	require.NoError(t, err)
	key, minted, err := ParseKey(id.String())
	require.NoError(t, err)
	require.Equal(t, Key(id.String()), key)
	require.WithinDuration(t, time.Now(), minted, time.Minute)
	for _, text := range []string{"", "order-7", uuid.NewString()} {
		_, _, err := ParseKey(text)
		require.ErrorIs(t, err, ErrNotUUIDv7, text)
	}
}

func TestElectorAbstainsWhereItMayHaveForgotten(t *testing.T) {
	t.Parallel()
	all := []host.ID{"1", "2", "3", "4", "5"}
	claimed := Claimed{
		Key: "k", Minted: mintedAt, Claimant: homeNames[0], Attempt: 1, Electors: all, View: all, Since: begunAt,
	}
	change := func(f func(*Claimed)) Claimed {
		c := claimed
		f(&c)
		return c
	}
	tests := []struct {
		name string
		now  time.Time
		c    Claimed
		want Verdict
	}{
		{"remembers", decidedAt, claimed, Granted},
		{"began after the key", decidedAt, change(func(c *Claimed) { c.Since = mintedAt.Add(time.Millisecond) }), Abstained},
		{"began within the clocks' difference", decidedAt, change(func(c *Claimed) { c.Since = mintedAt.Add(-limits.Skew / 2) }), Abstained},
		{"is no elector by its own view", decidedAt, change(func(c *Claimed) { c.Since = time.Time{} }), Abstained},
		{"key too old", mintedAt.Add(limits.Lifetime + time.Second), claimed, Abstained},
		{"views two apart", decidedAt, change(func(c *Claimed) { c.View = []host.ID{"1", "2", "3", "6", "7"} }), Granted},
		{"views three apart", decidedAt, change(func(c *Claimed) { c.View = []host.ID{"1", "2", "6", "7", "8"} }), Abstained},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			require.Equal(t, tt.want, NewElector(limits).Decide(tt.now, tt.c).Verdict)
		})
	}
}

func TestReleasedAttemptStaysReleased(t *testing.T) {
	t.Parallel()
	e := NewElector(limits)
	claimed := func(home, attempt int) Claimed {
		return Claimed{Key: "k", Minted: mintedAt, Claimant: homeNames[home], Attempt: Attempt(attempt), Since: begunAt}
	}
	require.Equal(t, Granted, e.Decide(decidedAt, claimed(0, 1)).Verdict)
	require.Equal(t, homeNames[0], e.Decide(decidedAt, claimed(1, 1)).Holder)
	e.Release("k", homeNames[0], 1)
	require.Equal(t, Abstained, e.Decide(decidedAt, claimed(0, 1)).Verdict, "a late copy of the released attempt")
	require.Equal(t, Granted, e.Decide(decidedAt, claimed(1, 1)).Verdict)
	e.Release("k", homeNames[0], 1)
	require.Equal(t, homeNames[1], e.Decide(decidedAt, claimed(0, 2)).Holder, "another's release changes nothing")
}

// Three electors of a key leave the view after it was claimed. The hosts in their place are old and remember nothing
// of it; they abstain because they were no electors when the key was minted.
func TestElectorsThatCameLaterDontVouchForOlderKeys(t *testing.T) {
	t.Parallel()
	hosts := []host.ID{"h1", "h2", "h3", "h4", "h5", "h6", "h7", "h8"}
	for n := range 200 {
		key := Key(fmt.Sprint("w/", n))
		electorates := map[host.ID]*Electorate{}
		electors := map[host.ID]*Elector{}
		for _, id := range hosts {
			electorates[id], electors[id] = &Electorate{}, NewElector(limits)
			electorates[id].Observe(begunAt, hosts, limits.Lifetime)
		}
		vote := func(home int) int {
			granted := 0
			list := electorates[hosts[7]].Electors(key)
			for _, id := range list {
				v := electors[id].Decide(decidedAt.Add(10*time.Second), Claimed{
					Key: key, Minted: mintedAt, Claimant: homeNames[home], Attempt: 1,
					Electors: list, View: electorates[id].Electors(key), Since: electorates[id].Since(key, id),
				})
				if v.Verdict == Granted {
					granted++
				}
			}
			return granted
		}
		first := electorates[hosts[7]].Electors(key)
		require.Equal(t, 5, vote(0))
		var left []host.ID
		for _, id := range hosts {
			if id != first[0] && id != first[1] && id != first[2] {
				left = append(left, id)
			}
		}
		for _, id := range left {
			electorates[id].Observe(decidedAt, left, limits.Lifetime)
		}
		electorates[hosts[7]].Observe(decidedAt, left, limits.Lifetime)
		require.Less(t, vote(1), Quorum(5), "key %s was granted again", key)
	}
}

func TestFullElectorAbstainsForNewKeysOnly(t *testing.T) {
	t.Parallel()
	bounded := limits
	bounded.Keys = 2
	e := NewElector(bounded)
	vote := func(key Key) Verdict {
		return e.Decide(decidedAt, Claimed{Key: key, Minted: mintedAt, Claimant: homeNames[0], Attempt: 1, Since: begunAt}).Verdict
	}
	require.Equal(t, Granted, vote("a"))
	require.Equal(t, Granted, vote("b"))
	require.Equal(t, Abstained, vote("c"))
	require.Equal(t, Granted, vote("a"))
	require.Zero(t, e.Forget(mintedAt.Add(limits.Lifetime+limits.Skew+time.Second)))
	require.Equal(t, Granted, vote("c"))
}

func TestLateStartIsRefusedAsNotRun(t *testing.T) {
	t.Parallel()
	c := NewClaim(homeNames[0], limits, mintedAt)
	c.Update(decidedAt, Asked{Electors: []host.ID{"1"}})
	require.Equal(t, []Command{Won{}}, c.Update(decidedAt, Voted{From: "1", Vote: Vote{Verdict: Granted, Attempt: 1}}))
	// The home was paused until after the caller's deadline.
	require.Equal(t, []Command{SayNotRun{}}, c.Update(decidedAt.Add(time.Minute), StartWanted{Deadline: decidedAt}))
	require.Equal(t, []Command{SayUnknown{}}, c.Update(decidedAt, StartWanted{Deadline: decidedAt.Add(time.Hour)}), "voided for good")
}

func BenchmarkVote(b *testing.B) {
	var hosts []host.ID
	for i := range 570 {
		hosts = append(hosts, host.ID(fmt.Sprint("host-", i)))
	}
	var electorate Electorate
	electorate.Observe(begunAt, hosts, limits.Lifetime)
	e := NewElector(Limits{Lifetime: time.Hour, Skew: time.Second})
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		key := Key(fmt.Sprint("w/", i))
		view := electorate.Electors(key)
		e.Decide(decidedAt, Claimed{
			Key: key, Minted: mintedAt, Claimant: homeNames[0], Attempt: 1, Electors: view, View: view,
			Since: electorate.Since(key, view[0]),
		})
	}
}
