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
	v := NewView(ViewConfig{Self: Record{ID: "self", Region: "r"}, ElectorGrace: grace, HearsayImmunity: 2 * time.Second})
	v.Update(start, ListPublished{Hosts: records(append(ids, "self")...)})
	return v
}

func TestSuspicionMovesWorkButNotVotes(t *testing.T) {
	t.Parallel()
	v := newTestView("a", "b")
	require.Equal(t, []Changed{{"a", StateLive, StateSuspect}}, v.Update(start, Missed{ID: "a"}))
	require.Equal(t, []ID{"b", "self"}, v.Live("r"))
	require.Equal(t, []ID{"a", "b", "self"}, v.Electors("r"))
	require.Equal(t, []Changed{{"a", StateSuspect, StateLive}}, v.Update(start, Heard{ID: "a"}))
}

func TestReportsByOthersDontCountAgainstAHostJustHeard(t *testing.T) {
	t.Parallel()
	v := newTestView("a")
	v.Update(start, Heard{ID: "a"})
	require.Empty(t, v.Update(start.Add(time.Second), Reported{ID: "a"}))
	require.NotEmpty(t, v.Update(start.Add(3*time.Second), Reported{ID: "a"}))
}

func TestLeavingBelongsToAnIncarnation(t *testing.T) {
	t.Parallel()
	v := newTestView("a")
	v.Update(start, Heard{ID: "a", Incarnation: "1", Leaving: true})
	require.Empty(t, v.Update(start, Heard{ID: "a", Incarnation: "1"}), "sent before it left, arrived after")
	require.Equal(t, StateLeaving, v.State("a"))
	v.Update(start, ListPublished{Hosts: records("a", "self")})
	require.Equal(t, StateLeaving, v.State("a"), "the list lags")
	v.Update(start, Heard{ID: "a", Incarnation: "2"})
	require.Equal(t, StateLive, v.State("a"), "its successor is up")
}

func TestElectorsFollowTheListAfterTheGracePeriod(t *testing.T) {
	t.Parallel()
	v := newTestView("a", "b", "c")
	v.Update(start, ListPublished{Hosts: records("b", "c", "self")})
	require.Equal(t, []ID{"b", "c", "self"}, v.Live("r"))
	require.Contains(t, v.Electors("r"), ID("a"))
	v.Update(start.Add(grace), Ticked{})
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
		v.Update(start.Add(time.Duration(second)*time.Second), ListPublished{Hosts: list})
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
	v.Update(start, ListPublished{Hosts: records(append(ids, "a", "self")...)})
	last := len(v.Electors("r"))
	joined := start
	for second := range 60 {
		now := start.Add(time.Duration(second) * time.Second)
		v.Update(now, Ticked{})
		if n := len(v.Electors("r")); n != last {
			require.LessOrEqual(t, n-last, maxAdditions)
			require.GreaterOrEqual(t, now.Sub(joined), grace)
			last, joined = n, now
		}
	}
	require.Len(t, v.Electors("r"), 9)
}

func TestNodeThatReachesFewPeersIsNotConnected(t *testing.T) {
	t.Parallel()
	v := newTestView("a", "b", "c", "d")
	require.True(t, v.Connected())
	for _, id := range []ID{"a", "b", "c"} {
		v.Update(start, Missed{ID: id, Asked: true})
	}
	require.False(t, v.Connected())
	for _, id := range []ID{"a", "b", "c", "d"} {
		v.Update(start, Heard{ID: id, Asked: true})
	}
	require.True(t, v.Connected())
}
