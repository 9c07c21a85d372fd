package interruption

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"balsamknot.org/fleet/endpoint"
	"balsamknot.org/fleet/site"
)

const address = "10.0.0.1:80"

func serviceRecord(id endpoint.ID, service site.ServiceName) endpoint.Record {
	r := record(id, 1, address)
	r.Service = service
	return r
}

// newSharedAddress returns a tracker that knows endpoint a of service plain, and endpoint b of another service at the same address.
func newSharedAddress() *Tracker {
	t := NewTracker()
	t.Update(start, Registered{serviceRecord("a", "plain")})
	t.Update(start, Registered{serviceRecord("b", "elsewhere")})
	return t
}

// Guards against BUDGET, review/15: an entry of another service at the address of a live endpoint ended the watch for its crashes after a minute.
func TestEntryOfAnotherServiceDoesNotEndTheWatchForCrashes(t *testing.T) {
	t.Parallel()
	tracker := newSharedAddress()
	later := start.Add(2 * endedMemory)
	tracker.Update(later, Tick{})
	require.Empty(t, tracker.Update(later, Interrupted{Run: run(later), Broken: true}))
	tracker.Update(later, Probed{instance("a", 1), true})
	require.Equal(t, []Command{Crashed{run(later)}}, tracker.Update(later, Probed{instance("a", 1), true}))
}

// Guards against blocked callers beside it: within the minute each broken run at the endpoint counted as a crash at once.
func TestEntryOfAnotherServiceIsNoEvidenceOfACrash(t *testing.T) {
	t.Parallel()
	tracker := newSharedAddress()
	require.Empty(t, tracker.Update(start.Add(time.Second), Interrupted{Run: run(start.Add(time.Second)), Broken: true}))
	require.Empty(t, tracker.Update(start.Add(time.Second), Registered{serviceRecord("c", "third")}))
}

// The address of an endpoint that ended is assigned to one of another service, which answers there.
func TestAnswerOfAnotherEndpointAtTheAddressEndsTheOneBefore(t *testing.T) {
	t.Parallel()
	tracker := newSharedAddress()
	tracker.Update(start, Interrupted{Run: run(start), Broken: true})
	require.Equal(t, []Command{Crashed{run(start)}}, tracker.Update(start.Add(time.Second), Answered{instance("b", 1), start}))
}

func TestAnswerOfTheEndpointThatWasThereBeforeEndsNoLaterOne(t *testing.T) {
	t.Parallel()
	tracker := newSharedAddress()
	b := run(start)
	b.Endpoint = instance("b", 1)
	tracker.Update(start, Interrupted{Run: b, Broken: true})
	require.Empty(t, tracker.Update(start, Answered{instance("a", 1), start}))
}

// An entry of the same service replaces the one before, unless that goes on to answer.
func TestEndpointThatAnswersAfterItWasReplacedIsWatchedAgain(t *testing.T) {
	t.Parallel()
	tracker := NewTracker()
	tracker.Update(start, Registered{serviceRecord("a", "plain")})
	tracker.Update(start, Registered{serviceRecord("b", "plain")})
	early := start.Add(revivalDelay)
	tracker.Update(early, Answered{instance("a", 1), start})
	require.Equal(t, []Command{Crashed{run(early)}}, tracker.Update(early, Interrupted{Run: run(early), Broken: true}), "it may have answered before it was replaced")
	alive := early.Add(time.Millisecond)
	tracker.Update(alive, Answered{instance("a", 1), start})
	require.Empty(t, tracker.Update(alive, Interrupted{Run: run(alive), Broken: true}))
	require.Equal(t, []Command{Crashed{run(alive)}}, tracker.Update(alive, Removed{"a"}))
}

// One that is removed goes on with what it runs, and is forgotten after that.
func TestEndpointThatAnswersAfterItsRemovalIsForgotten(t *testing.T) {
	t.Parallel()
	tracker := NewTracker()
	tracker.Update(start, Registered{serviceRecord("a", "plain")})
	tracker.Update(start, Registered{serviceRecord("b", "plain")})
	tracker.Update(start, Removed{"a"})
	tracker.Update(start.Add(2*revivalDelay), Answered{instance("a", 1), start})
	tracker.Update(start.Add(endedMemory+time.Second), Tick{})
	require.Len(t, tracker.incarnations, 1)
	require.Empty(t, tracker.replaced)
}
