package claim

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"balsamknot.org/fleet/host"
)

func TestParseKeyReturnsTheCreationTime(t *testing.T) {
	t.Parallel()
	id, err := uuid.NewV7()
	require.NoError(t, err)
	key, createdAt, err := ParseKey(id.String())
	require.NoError(t, err)
	require.Equal(t, Key(id.String()), key)
	require.WithinDuration(t, time.Now(), createdAt, time.Minute)
	for _, text := range []string{"", "order-7", uuid.NewString()} {
		_, _, err := ParseKey(text)
		require.ErrorIs(t, err, ErrNotUUIDv7, text)
	}
}

func TestElectorAbstainsWhenItMayHaveLostAGrant(t *testing.T) {
	t.Parallel()
	all := []host.ID{"1", "2", "3", "4", "5"}
	base := VoteRequest{
		Key: "k", KeyCreatedAt: keyCreatedAt, Claimant: claimants[0], Attempt: 1,
		Electors: all, LocalElectors: all, ElectorSince: electorsSince,
	}
	with := func(f func(*VoteRequest)) VoteRequest {
		req := base
		f(&req)
		return req
	}
	tests := []struct {
		name string
		now  time.Time
		req  VoteRequest
		want Verdict
	}{
		{"elector since before the key was created", voteTime, base, Granted},
		{"elector since after the key was created", voteTime, with(func(req *VoteRequest) { req.ElectorSince = keyCreatedAt.Add(time.Millisecond) }), Abstained},
		{"elector since before the key, by less than the clock skew", voteTime, with(func(req *VoteRequest) { req.ElectorSince = keyCreatedAt.Add(-limits.ClockSkew / 2) }), Abstained},
		{"no elector by its own view", voteTime, with(func(req *VoteRequest) { req.ElectorSince = time.Time{} }), Abstained},
		{"key is older than its lifetime", keyCreatedAt.Add(limits.Lifetime + time.Second), base, Abstained},
		{"lists differ by two", voteTime, with(func(req *VoteRequest) { req.LocalElectors = []host.ID{"1", "2", "3", "6", "7"} }), Granted},
		{"lists differ by three", voteTime, with(func(req *VoteRequest) { req.LocalElectors = []host.ID{"1", "2", "6", "7", "8"} }), Abstained},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			require.Equal(t, tt.want, NewElector(limits).Vote(tt.now, tt.req).Verdict)
		})
	}
}

func TestReleasedAttemptIsNotGrantedAgain(t *testing.T) {
	t.Parallel()
	e := NewElector(limits)
	request := func(home, attempt int) VoteRequest {
		return VoteRequest{Key: "k", KeyCreatedAt: keyCreatedAt, Claimant: claimants[home], Attempt: Attempt(attempt), ElectorSince: electorsSince}
	}
	require.Equal(t, Granted, e.Vote(voteTime, request(0, 1)).Verdict)
	require.Equal(t, claimants[0], e.Vote(voteTime, request(1, 1)).Holder)
	e.Release("k", claimants[0], 1)
	require.Equal(t, Abstained, e.Vote(voteTime, request(0, 1)).Verdict, "delayed duplicate of the released attempt")
	require.Equal(t, Granted, e.Vote(voteTime, request(1, 1)).Verdict)
	e.Release("k", claimants[0], 1)
	require.Equal(t, claimants[1], e.Vote(voteTime, request(0, 2)).Holder, "a release by another claimant must not withdraw the grant")
}

// Guards against a second quorum after three of a key's electors left the list. The hosts that replace them started long before
// the key was created, but have no record of its grant: they must abstain, because they were not its electors at that time.
func TestElectorsThatCameLaterDontVouchForOlderKeys(t *testing.T) {
	t.Parallel()
	hosts := []host.ID{"h1", "h2", "h3", "h4", "h5", "h6", "h7", "h8"}
	for n := range 200 {
		key := Key(fmt.Sprint("w/", n))
		histories := map[host.ID]*ElectorHistory{}
		electors := map[host.ID]*Elector{}
		for _, id := range hosts {
			histories[id], electors[id] = &ElectorHistory{}, NewElector(limits)
			histories[id].Observe(electorsSince, hosts, limits.Lifetime)
		}
		countGrants := func(home int) int {
			granted := 0
			list := histories[hosts[7]].Electors(key)
			for _, id := range list {
				v := electors[id].Vote(voteTime.Add(10*time.Second), VoteRequest{
					Key: key, KeyCreatedAt: keyCreatedAt, Claimant: claimants[home], Attempt: 1,
					Electors: list, LocalElectors: histories[id].Electors(key), ElectorSince: histories[id].ElectorSince(key, id),
				})
				if v.Verdict == Granted {
					granted++
				}
			}
			return granted
		}
		first := histories[hosts[7]].Electors(key)
		require.Equal(t, 5, countGrants(0))
		var remaining []host.ID
		for _, id := range hosts {
			if id != first[0] && id != first[1] && id != first[2] {
				remaining = append(remaining, id)
			}
		}
		for _, id := range remaining {
			histories[id].Observe(voteTime, remaining, limits.Lifetime)
		}
		histories[hosts[7]].Observe(voteTime, remaining, limits.Lifetime)
		require.Less(t, countGrants(1), Quorum(5), "key %s was granted to a second claimant", key)
	}
}

func TestElectorAtMaxKeysAbstainsForNewKeysOnly(t *testing.T) {
	t.Parallel()
	bounded := limits
	bounded.MaxKeys = 2
	e := NewElector(bounded)
	vote := func(key Key) Verdict {
		return e.Vote(voteTime, VoteRequest{Key: key, KeyCreatedAt: keyCreatedAt, Claimant: claimants[0], Attempt: 1, ElectorSince: electorsSince}).Verdict
	}
	require.Equal(t, Granted, vote("a"))
	require.Equal(t, Granted, vote("b"))
	require.Equal(t, Abstained, vote("c"))
	require.Equal(t, Granted, vote("a"))
	require.Zero(t, e.RemoveExpired(keyCreatedAt.Add(limits.Lifetime+limits.ClockSkew+time.Second)))
	require.Equal(t, Granted, vote("c"))
}

func TestStartAfterTheDeadlineIsRefusedAsNotRun(t *testing.T) {
	t.Parallel()
	c := NewClaim(claimants[0], limits, keyCreatedAt)
	c.Update(voteTime, AttemptRequested{Electors: []host.ID{"1"}})
	require.Equal(t, []Command{Won{}}, c.Update(voteTime, VoteReceived{From: "1", Vote: Vote{Verdict: Granted, Attempt: 1}}))
	// The process was paused from the quorum until after the caller's deadline.
	require.Equal(t, []Command{RefuseNotRun{}}, c.Update(voteTime.Add(time.Minute), StartRequested{Deadline: voteTime}))
	require.Equal(t, []Command{RefuseUnknown{}}, c.Update(voteTime, StartRequested{Deadline: voteTime.Add(time.Hour)}), "a voided claim never starts")
}

func BenchmarkVote(b *testing.B) {
	var hosts []host.ID
	for i := range 570 {
		hosts = append(hosts, host.ID(fmt.Sprint("host-", i)))
	}
	var history ElectorHistory
	history.Observe(electorsSince, hosts, limits.Lifetime)
	e := NewElector(Limits{Lifetime: time.Hour, ClockSkew: time.Second})
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		key := Key(fmt.Sprint("w/", i))
		electors := history.Electors(key)
		e.Vote(voteTime, VoteRequest{
			Key: key, KeyCreatedAt: keyCreatedAt, Claimant: claimants[0], Attempt: 1, Electors: electors, LocalElectors: electors,
			ElectorSince: history.ElectorSince(key, electors[0]),
		})
	}
}
