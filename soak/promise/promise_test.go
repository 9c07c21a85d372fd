package promise

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

type step struct {
	at    Time
	event Event
}

const second = time.Second

func sent(kind Kind, path, key string) Sent {
	return Sent{Request: "1", Host: 1, Kind: kind, Path: path, Key: key, Deadline: 100 * second}
}

func ran(service, path string) Ran {
	return Ran{Request: "1", Endpoint: "e", Service: service, Path: path, Workspace: "w"}
}

// Each script ends with the one promise that it breaks, or none.
func TestPromises(t *testing.T) {
	t.Parallel()
	published := step{0, Published{Keys: []string{"k"}, Moved: "a"}}
	once, again, moved := sent(Once, "/x", "k"), sent(Again, "/x", "k"), sent(Again, MovedPath, "k")
	run := ran("a", "/x")
	for name, c := range map[string]struct {
		steps []step
		want  string
	}{
		"once":            {[]step{{1, once}, {2, run}}, ""},
		"twice":           {[]step{{1, once}, {2, run}, {3, run}}, "TWICE"},
		"again":           {[]step{{1, again}, {2, run}, {3, run}}, ""},
		"refused and run": {[]step{{1, once}, {2, run}, {3, Answered{Request: "1", Status: 503}}}, "REFUSED"},
		"refused, runs":   {[]step{{1, once}, {2, Answered{Request: "1", Status: 429}}, {3, run}}, "REFUSED"},
		"failed and run":  {[]step{{1, once}, {2, run}, {3, Answered{Request: "1", Status: 502}}}, ""},
		"unknown":         {[]step{{2, run}}, "UNASKED"},
		"other path":      {[]step{{1, once}, {2, ran("a", "/y")}}, "UNASKED"},
		"wrong body":      {[]step{{1, once}, {2, run}, {3, Answered{Request: "1", Status: 200, Seal: "s", Wrong: "x"}}}, "WHOLE"},
		"status not given": {[]step{{1, again}, {2, run}, {3, Gave{"1", "e", 500}},
			{4, Answered{Request: "1", Status: 200, Seal: "s"}}}, "WHOLE"},
		"key in time": {[]step{{second, Published{Keys: []string{"l"}}}, {5 * second, again}, {7 * second, run}}, ""},
		"key too late": {[]step{{second, Published{Keys: []string{"l"}}}, {2 * second, Disturbed{1}}, {7 * second, again},
			{8 * second, run}}, "KEY"},
		"key never": {[]step{{1, sent(Again, "/x", "z")}, {2, run}}, "KEY"},
		"left":      {[]step{{second, Leaving{"e"}}, {3 * second, again}, {5 * second, run}}, ""},
		"drained":   {[]step{{second, Leaving{"e"}}, {5 * second, again}, {6 * second, run}}, "DRAIN"},
		"drained, disturbed": {[]step{{second, Leaving{"e"}}, {2 * second, Disturbed{1}}, {3 * second, Calmed{1}}, {5 * second, again},
			{6 * second, run}}, ""},
		"moved in time": {[]step{{second, Published{Keys: []string{"k"}, Moved: "b"}}, {3 * second, moved}, {5 * second, ran("a", MovedPath)}}, ""},
		"moved too late": {[]step{{second, Published{Keys: []string{"k"}, Moved: "b"}}, {5 * second, moved},
			{5 * second, ran("a", MovedPath)}}, "CONFIG"},
		"never there": {[]step{{second, moved}, {second, ran("c", MovedPath)}}, "ROUTE"},
		"process":     {[]step{{1, ProcessEnded{1, "exit status 2"}}}, "RUNNING"},
	} {
		j := New()
		for _, s := range append([]step{published}, c.steps...) {
			j.Update(s.at, s.event)
		}
		broken := ""
		for _, b := range j.Breaches(true) {
			broken = b.Promise
		}
		require.Equal(t, c.want, broken, name)
	}
}

// Late answers and work for callers who left count once they are more than a few.
func TestLateAndGoneCountWhenTheyAreMany(t *testing.T) {
	t.Parallel()
	for many, want := range map[int]int{fewGone: 0, fewLate + 1: 2 * (fewLate + 1)} {
		j := New()
		for i := range many {
			id := string(rune('a' + i))
			j.Update(second, Sent{Request: id, Kind: Again, Path: "/x", Key: "k", Deadline: 2 * second})
			j.Update(second, Left{id})
			j.Update(2*second, Ended{id, "e"})
			j.Update(3*second, Answered{Request: id, Status: 504})
		}
		require.Len(t, j.Breaches(true), want)
		require.Empty(t, j.Breaches(false))
	}
}

// The machine stood still: callers of every host are served late at the same moment, before the soak notices. That is no
// finding; what ran twice in that time is one.
func TestAStallExcusesWhatHasATimeLimit(t *testing.T) {
	t.Parallel()
	j := New()
	j.Update(second, sent(Once, "/x", "k"))
	j.Update(second, Published{Keys: []string{"k"}})
	for i := range fewLate + 1 {
		id := string(rune('a' + i))
		j.Update(second, Sent{Request: id, Kind: Again, Path: "/x", Key: "k", Deadline: 2 * second})
		j.Update(4*second, Answered{Request: id, Status: 504})
	}
	j.Update(4*second, ran("a", "/x"))
	j.Update(4*second, ran("a", "/x"))
	require.Len(t, j.Breaches(true), fewLate+2)
	j.Update(4*second+1, Stalled{Since: 3 * second})
	require.Len(t, j.Breaches(true), 1)
	require.Equal(t, "TWICE", j.Breaches(true)[0].Promise)
}
