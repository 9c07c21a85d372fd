package interruption

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// An answer ends with its connection, and nothing else marks its end.
func TestEvidenceDecidesWhetherAnAnswerWithoutAMarkedEndWasComplete(t *testing.T) {
	t.Parallel()
	a := instance("a", 1)
	ended := Interrupted{Run: run(start), Unmarked: true}
	before, after := start.Add(-time.Second), start.Add(time.Millisecond)
	listened := Probed{a, false}
	complete, crashed := []Command{Completed{run(start)}}, []Command{Crashed{run(start)}}
	for name, c := range map[string]struct {
		events []Event
		want   []Command
	}{
		"an answer on an older connection":      {[]Event{ended, Answered{a, before}}, complete},
		"part of one on an older connection":    {[]Event{ended, Received{"r", a, before}}, complete},
		"an answer on a newer connection":       {[]Event{ended, Answered{a, after}}, nil},
		"part of one on a newer connection":     {[]Event{ended, Received{"r", a, after}}, nil},
		"two refused probes":                    {[]Event{ended, Probed{a, true}, Probed{a, true}}, crashed},
		"another incarnation after it listened": {[]Event{ended, listened, Registered{record("a", 2, "10.0.0.1:80")}}, crashed},
		"a removal":                             {[]Event{ended, Removed{"a"}}, crashed},
		"nothing":                               {[]Event{ended}, nil},
	} {
		tracker := newTracker()
		var got []Command
		for i, event := range c.events {
			got = append(got, tracker.Update(start.Add(time.Duration(i)*2*buffered), event)...)
		}
		require.Equal(t, c.want, got, name)
	}
}

func TestAnswerWithoutAMarkedEndWasCompleteIfItsEndpointListensAndDoesNotRegisterAnew(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		probed bool
		want   Command
	}{
		"listened":   {true, Completed{run(start)}},
		"not probed": {false, Dropped{run(start), reasonExpired}},
	} {
		tracker := newTracker()
		tracker.Update(start, Interrupted{Run: run(start), Unmarked: true})
		if c.probed {
			tracker.Update(start.Add(unmarkedProbeDelays[0]), Probed{instance("a", 1), false})
		}
		require.Contains(t, tracker.Update(start.Add(window+time.Second), Tick{}), c.want, name)
	}
}

func TestBytesThatWereUnderWayDoNotProveAnEndpointAlive(t *testing.T) {
	t.Parallel()
	tracker := newTracker()
	tracker.Update(start, Interrupted{Run: run(start), Unmarked: true})
	require.Empty(t, tracker.Update(start.Add(buffered), Received{"r", instance("a", 1), start.Add(-time.Second)}))
	require.Equal(t, 1, tracker.Pending())
}
