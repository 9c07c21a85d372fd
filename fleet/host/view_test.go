package host

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1_000_000, 0)

const grace = 10 * time.Second

func records(ids ...ID) []Record {
	var list []Record
	for _, id := range ids {
		list = append(list, Record{ID: id, Region: "r"})
	}
	return list
}

func newTestView(ids ...ID) *View {
	v := NewView(ViewConfig{Self: Record{ID: "self", Region: "r"}, ElectorGrace: grace, DirectContactGrace: 2 * time.Second})
	v.Update(start, ListReceived{Hosts: records(append(ids, "self")...)})
	return v
}

func TestSuspectHostGetsNoWorkButStaysElector(t *testing.T) {
	t.Parallel()
	v := newTestView("a", "b")
	require.Equal(t, []Transition{{"a", StateLive, StateSuspect}}, v.Update(start, ContactFailed{ID: "a"}))
	require.Equal(t, []ID{"b", "self"}, v.Live("r"))
	require.Equal(t, []ID{"a", "b", "self"}, v.Electors("r"))
	require.Equal(t, []Transition{{"a", StateSuspect, StateLive}}, v.Update(start, MessageReceived{ID: "a"}))
}

func TestUnreachableReportIsIgnoredAfterDirectContact(t *testing.T) {
	t.Parallel()
	v := newTestView("a")
	v.Update(start, MessageReceived{ID: "a"})
	require.Empty(t, v.Update(start.Add(time.Second), UnreachableReported{ID: "a"}))
	require.NotEmpty(t, v.Update(start.Add(3*time.Second), UnreachableReported{ID: "a"}))
}

func TestLeavingHostIsRestoredByANewIncarnationOnly(t *testing.T) {
	t.Parallel()
	v := newTestView("a")
	v.Update(start, MessageReceived{ID: "a", Incarnation: "1", Leaving: true})
	require.Empty(t, v.Update(start, MessageReceived{ID: "a", Incarnation: "1"}), "a delayed message of the leaving process must not restore the host")
	require.Equal(t, StateLeaving, v.State("a"))
	v.Update(start, ListReceived{Hosts: records("a", "self")})
	require.Equal(t, StateLeaving, v.State("a"), "a list that still holds the host must not restore it")
	v.Update(start, MessageReceived{ID: "a", Incarnation: "2"})
	require.Equal(t, StateLive, v.State("a"), "a message of a new process restores the host")
}

func TestElectorsFollowTheListAfterTheGracePeriod(t *testing.T) {
	t.Parallel()
	v := newTestView("a", "b", "c")
	v.Update(start, ListReceived{Hosts: records("b", "c", "self")})
	require.Equal(t, []ID{"b", "c", "self"}, v.Live("r"))
	require.Contains(t, v.Electors("r"), ID("a"))
	v.Update(start.Add(grace), Tick{})
	require.NotContains(t, v.Electors("r"), ID("a"))
}

func TestFlappingHostDoesNotChangeTheElectors(t *testing.T) {
	t.Parallel()
	v := newTestView("a")
	for second := range 30 {
		list := records("self")
		if second%2 == 0 {
			list = records("a", "self")
		}
		v.Update(start.Add(time.Duration(second)*time.Second), ListReceived{Hosts: list})
		require.Contains(t, v.Electors("r"), ID("a"))
	}
}

func TestAtMostTwoElectorsJoinInAGracePeriod(t *testing.T) {
	t.Parallel()
	v := newTestView("a")
	var ids []ID
	for i := range 7 {
		ids = append(ids, ID(fmt.Sprint("new-", i)))
	}
	v.Update(start, ListReceived{Hosts: records(append(ids, "a", "self")...)})
	electorCount := len(v.Electors("r"))
	lastJoin := start
	for second := range 60 {
		now := start.Add(time.Duration(second) * time.Second)
		v.Update(now, Tick{})
		if n := len(v.Electors("r")); n != electorCount {
			require.LessOrEqual(t, n-electorCount, maxAdditions)
			require.GreaterOrEqual(t, now.Sub(lastJoin), grace)
			electorCount, lastJoin = n, now
		}
	}
	require.Len(t, v.Electors("r"), 9)
}

func TestHostWithoutMostHeartbeatRepliesIsNotConnected(t *testing.T) {
	t.Parallel()
	v := newTestView("a", "b", "c", "d")
	require.True(t, v.Connected())
	for _, id := range []ID{"a", "b", "c"} {
		v.Update(start, ContactFailed{ID: id, Heartbeat: true})
	}
	require.False(t, v.Connected())
	for _, id := range []ID{"a", "b", "c", "d"} {
		v.Update(start, MessageReceived{ID: id, HeartbeatReply: true})
	}
	require.True(t, v.Connected())
}
