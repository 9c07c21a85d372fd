package interruption

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// An endpoint answers a request and crashes under another, and the host sees the broken connection before it has read the answer.
func TestAnswerThatWasOnItsWayWhenTheEndpointCrashedDoesNotRuleTheCrashOut(t *testing.T) {
	t.Parallel()
	before := start.Add(-time.Second)
	for name, interrupted := range map[string]Interrupted{
		"broken": {Run: run(start), Broken: true}, "unmarked": {Run: run(start), Unmarked: true},
	} {
		tracker := newTracker()
		require.Empty(t, tracker.Update(start, interrupted), name)
		require.Empty(t, tracker.Update(start.Add(buffered), Answered{instance("a", 1), before}), name)
		require.Equal(t, []Command{Crashed{run(start)}}, tracker.Update(start.Add(2*buffered), Registered{record("a", 2, "10.0.0.1:80")}), name)
	}
}

func TestAnswerThatCameLongAfterRulesTheCrashOut(t *testing.T) {
	t.Parallel()
	tracker := newTracker()
	tracker.Update(start, Interrupted{Run: run(start), Broken: true})
	answered := Answered{instance("a", 1), start.Add(-time.Second)}
	require.Equal(t, []Command{Dropped{run(start), reasonAnswered}}, tracker.Update(start.Add(buffered+time.Millisecond), answered))
}

func TestAnyLaterAnswerRulesOutThatATimeOutWasACrash(t *testing.T) {
	t.Parallel()
	tracker := newTracker()
	tracker.Update(start, Interrupted{Run: run(start)})
	answered := Answered{instance("a", 1), start.Add(time.Millisecond)}
	require.Equal(t, []Command{Dropped{run(start), reasonAnswered}}, tracker.Update(start.Add(2*time.Millisecond), answered))
}
