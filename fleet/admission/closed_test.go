package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// visitors is a load of callers who send one request after another, so that at most all of them wait.
func visitors(engines, slots, callers int, holdTime, think, objective time.Duration) load {
	return load{
		engines: engines, slots: slots, factor: 1, callers: callers, think: think, seed: 7,
		kinds: []kind{
			{"stream", 0, 0, holdTime, min(holdTime/4, 20*time.Millisecond), objective, 2 * time.Second},
			{"again", 1, 0, holdTime, min(holdTime/4, 20*time.Millisecond), objective, 2 * time.Second},
		},
	}
}

// Callers in a closed loop ask for as much as there is room for: chance makes it more at one moment and less at the next. All can be in time,
// so none is refused.
func TestCallersWhoWaitForTheirAnswersAreNotRefusedWhileAllAreInTime(t *testing.T) {
	t.Parallel()
	const ms = time.Millisecond
	loads := map[string]load{
		"40 callers, 24 slots, 60 ms":            visitors(6, 4, 40, 60*ms, 64*ms, 500*ms),
		"40 callers, 24 slots, 100 ms":           visitors(6, 4, 40, 100*ms, 107*ms, 500*ms),
		"30 callers, 24 slots, 600 ms":           visitors(6, 4, 30, 400*ms, 160*ms, 500*ms).alone(0),
		"6 callers, 1 engine of 4 slots":         visitors(1, 4, 6, 80*ms, 64*ms, 500*ms),
		"27 callers, 3 runners of 6 slots":       visitors(3, 6, 27, 20*ms, 16*ms, 120*ms),
		"40 callers, 24 slots, who ask at once":  visitors(6, 4, 40, 80*ms, 0, 500*ms).alone(0),
		"7 callers of 1 engine, who ask at once": visitors(1, 4, 7, 60*ms, 0, 500*ms).alone(0),
	}
	for name, l := range loads {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			m, before := play(l, l.newDecision()), play(l, l.delayDecision())
			logResults(t, "objectives", m)
			logResults(t, "delays", before)
			for i, k := range l.kinds {
				r, then := m.result(i, 0, loadEnd), before.result(i, 0, loadEnd)
				require.Zero(t, r.refused, "%s", k.route)
				require.GreaterOrEqual(t, r.onTimeShare(), min(0.99, then.onTimeShare()), "%s", k.route)
			}
		})
	}
}

// Waits come near to the objective where requests hold few slots for long: hardly any is refused.
func TestCallersWhoHoldFewSlotsForLongAreHardlyRefused(t *testing.T) {
	t.Parallel()
	l := visitors(6, 4, 40, 400*time.Millisecond, 440*time.Millisecond, 500*time.Millisecond).alone(0)
	m := play(l, l.newDecision())
	logResults(t, "objectives", m)
	logResults(t, "delays", play(l, l.delayDecision()))
	r := m.result(0, 0, loadEnd)
	require.LessOrEqual(t, float64(r.refused)/float64(r.asked), 0.02)
	require.GreaterOrEqual(t, r.onTimeShare(), 0.98)
}

// Callers in a closed loop who ask for up to one and a half times the room are served no worse than with a queue that only minds their deadline: their
// number bounds the queue.
func TestClosedLoopIsServedNoWorseThanByDeadline(t *testing.T) {
	t.Parallel()
	for _, think := range []time.Duration{100 * time.Millisecond, 200 * time.Millisecond, 300 * time.Millisecond} {
		t.Run(fmt.Sprintf("think time %v", think), func(t *testing.T) {
			t.Parallel()
			l := visitors(6, 4, 40, 375*time.Millisecond, think, 500*time.Millisecond).alone(0)
			m, before := play(l, l.newDecision()), play(l, l.delayDecision())
			logResults(t, "objectives", m)
			logResults(t, "delays", before)
			now, then := m.result(0, 0, loadEnd), before.result(0, 0, loadEnd)
			require.GreaterOrEqual(t, now.onTimeShare(), then.onTimeShare()-0.02)
		})
	}
}

// Requests that come by chance ask for a little less than there is room for. The order by priority makes some of the less urgent late in a small
// pool.
func TestRequestsBelowTheRoomAreServedInTime(t *testing.T) {
	t.Parallel()
	const ms = time.Millisecond
	for _, share := range []float64{0.8, 0.9, 0.95} {
		for _, engines := range []int{6, 60} {
			t.Run(fmt.Sprintf("%g of the room of %d engines", share, engines), func(t *testing.T) {
				t.Parallel()
				l := visitors(engines, 4, 0, 80*ms, 0, 500*ms)
				room := float64(engines*l.slots) / ((1 + batchFactor) * 0.08)
				for i := range l.kinds {
					l.kinds[i].perSecond = share * room / 2
				}
				m, before := play(l, l.newDecision()), play(l, l.delayDecision())
				logResults(t, "objectives", m)
				logResults(t, "delays", before)
				all := func(*call) bool { return true }
				now, then := m.resultOf(0, loadEnd, all), before.resultOf(0, loadEnd, all)
				require.GreaterOrEqual(t, now.onTimeShare(), then.onTimeShare()-0.02)
				require.GreaterOrEqual(t, now.onTimeShare(), 0.97)
			})
		}
	}
}

// ask queues a request of the urgent class, and counts it if it is refused at once.
func (q *testQueue) ask(refused *int) {
	q.nextID++
	if _, r := q.Arrive(q.now, Request{ID: q.nextID, Class: urgent, Objective: time.Second, TimeLeft: 3 * time.Second}, q.room); r {
		*refused++
	}
}

func TestRequestInAnOverloadDoesNotWaitPastItsDeadline(t *testing.T) {
	t.Parallel()
	q := newTestQueue(100)
	refused := 0
	for refused == 0 {
		q.ask(&refused)
	}
	require.True(t, q.overloaded(q.now, q.room))
	e := &entry{request: Request{Objective: time.Second, TimeLeft: 40 * time.Millisecond}, band: inTime, arrivedAt: q.now, deadline: q.now.Add(40 * time.Millisecond)}
	require.Equal(t, e.deadline, e.expiresAt(true))
}
