package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var (
	urgent = Class{Route: "urgent", Priority: 0}
	normal = Class{Route: "normal", Priority: 1}
	start  = time.Unix(1000, 0)
)

// testQueue is a queue whose slots are all held, and of which perSecond are released a second.
type testQueue struct {
	*Queue
	now    time.Time
	room   Room
	nextID ID
}

func newTestQueue(perSecond float64) *testQueue {
	return &testQueue{Queue: NewQueue(), now: start, room: Room{Rate: perSecond, MaxQueued: 1000}}
}

// arrive queues a request of a class; the second result is true if it was refused.
func (q *testQueue) arrive(c Class, objective, timeLeft time.Duration) (id ID, refused bool) {
	q.nextID++
	_, refused = q.Arrive(q.now, Request{ID: q.nextID, Class: c, Objective: objective, TimeLeft: timeLeft}, q.room)
	return q.nextID, refused
}

// serve offers a number of slots and returns which requests got them.
func (q *testQueue) serve(slots int) []ID {
	var served []ID
	q.Drain(q.now, func(id ID, _ time.Duration) Outcome {
		if len(served) == slots {
			return Full
		}
		served = append(served, id)
		return Granted
	})
	return served
}

func TestMoreUrgentClassIsServedFirst(t *testing.T) {
	t.Parallel()
	q := newTestQueue(100)
	a, _ := q.arrive(normal, time.Second, 2*time.Second)
	b, _ := q.arrive(urgent, time.Second, 2*time.Second)
	require.Equal(t, []ID{b, a}, q.serve(2))
}

func TestRequestThatMustBeginFirstIsServedFirst(t *testing.T) {
	t.Parallel()
	q := newTestQueue(100)
	a, _ := q.arrive(urgent, time.Second, 2*time.Second)
	b, _ := q.arrive(Class{Route: "other"}, 300*time.Millisecond, 2*time.Second)
	require.Equal(t, []ID{b, a}, q.serve(2))
}

// The time to the first event counts: a request that has a slot a moment before its objective is late.
func TestRequestThatCannotBeginInTimeIsRefusedAtOnce(t *testing.T) {
	t.Parallel()
	q := newTestQueue(10)
	q.Learn(urgent, 2*time.Second, 300*time.Millisecond)
	_, refused := q.arrive(urgent, 600*time.Millisecond, time.Second)
	require.False(t, refused, "the first place is free after 100 ms, and the request has to begin after 300 ms")
	_, refused = q.arrive(urgent, 600*time.Millisecond, time.Second)
	require.True(t, refused, "the second place leaves no time for an error")
}

func TestLateRequestIsServedWhileNothingElseWantsTheRoom(t *testing.T) {
	t.Parallel()
	q := newTestQueue(10)
	a, refused := q.arrive(normal, 50*time.Millisecond, 10*time.Second)
	require.False(t, refused, "it begins after 100 ms and may wait for 10 s")
	b, _ := q.arrive(normal, time.Second, 10*time.Second)
	require.Equal(t, []ID{b, a}, q.serve(2), "one that can be in time goes first")
}

func TestRequestWithoutObjectiveWaitsForItsTimeLeft(t *testing.T) {
	t.Parallel()
	q := newTestQueue(10)
	for range 10 {
		_, refused := q.arrive(urgent, 0, time.Second)
		require.False(t, refused)
	}
	_, refused := q.arrive(urgent, 0, time.Second)
	require.True(t, refused)
}

func TestOvertakenRequestIsRefusedWhenThatIsKnown(t *testing.T) {
	t.Parallel()
	q := newTestQueue(20)
	a, refused := q.arrive(normal, time.Second, 4*time.Second)
	require.False(t, refused)
	for range 8 {
		q.now = q.now.Add(time.Millisecond)
		q.arrive(urgent, time.Second, 4*time.Second)
	}
	refusals := q.Expire(q.now, q.room)
	require.Len(t, refusals, 1)
	require.Equal(t, a, refusals[0].ID)
}

func TestRetryIsNotRefusedForBeingLate(t *testing.T) {
	t.Parallel()
	q := newTestQueue(10)
	_, refused := q.Arrive(q.now, Request{ID: 1, Class: urgent, Objective: -time.Millisecond, TimeLeft: time.Second, Retry: true}, q.room)
	require.False(t, refused)
	q.now = q.now.Add(900 * time.Millisecond)
	require.Empty(t, q.Expire(q.now, q.room))
	q.now = q.now.Add(100 * time.Millisecond)
	require.Len(t, q.Expire(q.now, q.room), 1)
}

func TestRefusedCallersAreSpreadOverTheTimeInWhichRoomIsExpected(t *testing.T) {
	t.Parallel()
	q := newTestQueue(10)
	last := time.Duration(0)
	for range 12 {
		q.nextID++
		refusal, refused := q.Arrive(q.now, Request{ID: q.nextID, Class: urgent, Objective: 100 * time.Millisecond, TimeLeft: time.Second}, q.room)
		if !refused {
			continue
		}
		require.GreaterOrEqual(t, refusal.RetryAfter, last)
		require.LessOrEqual(t, refusal.RetryAfter, 2*time.Second/3, "callers wait for a third of the time that they have")
		last = refusal.RetryAfter
	}
	require.Greater(t, last, 500*time.Millisecond)
}

func TestClassWithoutRequestsIsForgotten(t *testing.T) {
	t.Parallel()
	q := newTestQueue(10)
	q.Serve(q.now, Request{ID: 1, Class: urgent}, q.room)
	q.ForgetIdle(q.now.Add(classLifetime))
	require.Len(t, q.classes, 1)
	q.ForgetIdle(q.now.Add(classLifetime + 1))
	require.Empty(t, q.classes)
}

// Whatever arrives, is withdrawn and released: each request is granted, refused or withdrawn once, and none waits past its deadline.
func TestEachRequestEndsOnce(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		q := newTestQueue(rapid.Float64Range(0, 200).Draw(t, "released a second"))
		open := map[ID]time.Time{}
		end := func(id ID) {
			if _, found := open[id]; !found {
				t.Fatalf("request %d ended twice", id)
			}
			delete(open, id)
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			q.now = q.now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0, 1:
				q.nextID++
				r := Request{
					ID: q.nextID, Class: Class{Priority: rapid.IntRange(0, 3).Draw(t, "priority")}, Retry: rapid.Bool().Draw(t, "retry"),
					Objective: time.Duration(rapid.IntRange(-200, 2000).Draw(t, "objective")) * time.Millisecond,
					TimeLeft:  time.Duration(rapid.IntRange(1, 5000).Draw(t, "left")) * time.Millisecond,
				}
				if _, refused := q.Arrive(q.now, r, q.room); !refused {
					open[r.ID] = q.now.Add(r.TimeLeft)
				}
			case 2:
				for _, id := range q.serve(rapid.IntRange(0, 3).Draw(t, "slots")) {
					end(id)
				}
			case 3:
				id := ID(rapid.IntRange(0, int(q.nextID)).Draw(t, "withdrawn"))
				q.Withdraw(id)
				delete(open, id)
			}
			for _, r := range q.Expire(q.now, q.room) {
				end(r.ID)
			}
			for id, deadline := range open {
				if !q.now.Before(deadline) {
					t.Fatalf("request %d waits past its deadline", id)
				}
			}
			if q.Len() != len(open) {
				t.Fatalf("%d requests wait, %d are open", q.Len(), len(open))
			}
		}
	})
}
