package interruption

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func sentRun(request string, at time.Time) Run {
	return Run{Request: request, Fingerprint: 7, Endpoint: instance("a", 1), StartedAt: at}
}

func TestEndpointThatSendsNothingIsReportedOnceForEachRun(t *testing.T) {
	t.Parallel()
	tracker := newTracker()
	first, second := sentRun("r1", start), sentRun("r2", start.Add(time.Second))
	tracker.Update(first.StartedAt, Sent{first})
	tracker.Update(second.StartedAt, Sent{second})
	require.Empty(t, tracker.Update(start.Add(silentAfter-time.Millisecond), Tick{}))
	require.Equal(t, []Command{Silent{first}}, tracker.Update(start.Add(silentAfter), Tick{}))
	require.Empty(t, tracker.Update(start.Add(silentAfter+time.Millisecond), Tick{}))
	require.Equal(t, []Command{Silent{second}}, tracker.Update(second.StartedAt.Add(silentAfter), Tick{}))
}

func TestEndpointThatSendsSomethingIsNotReportedSilent(t *testing.T) {
	t.Parallel()
	for name, event := range map[string]Event{
		"it sends another answer":      Received{Request: "other", Endpoint: instance("a", 1)},
		"it sends the answer":          Received{Request: "r1", Endpoint: instance("a", 1)},
		"the request was not sent":     Withdrawn{"r1", instance("a", 1)},
		"the run ended without answer": Interrupted{Run: sentRun("r1", start)},
	} {
		tracker := newTracker()
		tracker.Update(start, Sent{sentRun("r1", start)})
		tracker.Update(start.Add(time.Millisecond), event)
		for _, command := range tracker.Update(start.Add(silentAfter), Tick{}) {
			_, silent := command.(Silent)
			require.False(t, silent, name)
		}
	}
}

func TestSilentRunsAreReportedInOrder(t *testing.T) {
	t.Parallel()
	tracker := newTracker()
	var want []Command
	for _, request := range []string{"r1", "r2", "r3", "r4", "r5"} {
		tracker.Update(start, Sent{sentRun(request, start)})
		want = append(want, Silent{sentRun(request, start)})
	}
	require.Equal(t, want, tracker.Update(start.Add(silentAfter), Tick{}))
}
