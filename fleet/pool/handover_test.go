package pool

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"balsamknot.org/fleet/endpoint"
	"balsamknot.org/fleet/site"
)

// runnerLoad plays calls of a plain service with their messages: entry to keeper, keeper to entry, entry to runner and back. A runner works on as
// many calls as it has slots and queues further ones.
type runnerLoad struct {
	keeper *Keeper
	now    time.Time
	events eventQueue
	// oneWay is the time that a message takes, and work draws how long a runner works on a call.
	oneWay time.Duration
	work   func() time.Duration
	slots  int
	busy   map[endpoint.ID]int
	queued map[endpoint.ID][]*call
	calls  map[Ticket]*call
	// served holds how long the callers of answered calls waited, refused counts the others.
	served  []time.Duration
	refused int
	longest int
}

type call struct {
	ticket   Ticket
	arrived  time.Time
	endpoint endpoint.ID
}

type timedEvent struct {
	at time.Time
	do func()
}

type eventQueue []timedEvent

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(timedEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

const callService site.ServiceName = "returns"

func newRunnerLoad(runners, slots int, oneWay time.Duration, seed uint64) *runnerLoad {
	const work, spread = 15 * time.Millisecond, 0.5
	random := rand.New(rand.NewPCG(seed, 1))
	l := &runnerLoad{
		keeper: New(Config{LoadFactor: 2, RetryWindow: time.Second}), now: time.Unix(1000, 0), oneWay: oneWay, slots: slots,
		work: func() time.Duration { return time.Duration(float64(work) * (1 + spread*(2*random.Float64()-1))) },
		busy: map[endpoint.ID]int{}, queued: map[endpoint.ID][]*call{}, calls: map[Ticket]*call{},
	}
	l.keeper.Update(l.now, ServiceChanged{Service: site.Service{Name: callService}})
	for i := range runners {
		l.keeper.Update(l.now, EndpointRegistered{Record: endpoint.Record{Instance: endpoint.Instance{ID: engineID(i)}, Service: callService, Slots: slots}})
	}
	return l
}

func (l *runnerLoad) after(d time.Duration, do func()) {
	heap.Push(&l.events, timedEvent{l.now.Add(d), do})
}

// arrive requests a slot for a call.
func (l *runnerLoad) arrive(n uint64, deadline time.Duration) {
	c := &call{ticket: Ticket{Host: "h", Number: n}, arrived: l.now}
	l.calls[c.ticket] = c
	l.after(l.oneWay, func() {
		l.apply(l.keeper.Update(l.now, SlotRequested{Ticket: c.ticket, Service: callService, TimeLeft: deadline / 2}))
	})
}

func (l *runnerLoad) apply(commands []Command) {
	for _, command := range commands {
		switch command := command.(type) {
		case Grant:
			c := l.calls[command.Ticket]
			c.endpoint = command.Endpoint.Instance.ID
			l.after(2*l.oneWay, func() { l.reach(c) })
		case Refuse:
			l.refused++
		}
	}
}

// reach brings a call to its runner.
func (l *runnerLoad) reach(c *call) {
	if l.busy[c.endpoint] >= l.slots {
		l.queued[c.endpoint] = append(l.queued[c.endpoint], c)
		l.longest = max(l.longest, len(l.queued[c.endpoint]))
		return
	}
	l.busy[c.endpoint]++
	l.after(l.work(), func() { l.answer(c) })
}

// answer ends a call at its runner, which begins the next one that it has queued.
func (l *runnerLoad) answer(c *call) {
	l.busy[c.endpoint]--
	if queued := l.queued[c.endpoint]; len(queued) > 0 {
		l.queued[c.endpoint] = queued[1:]
		l.reach(queued[0])
	}
	l.after(l.oneWay, func() { l.served = append(l.served, l.now.Sub(c.arrived)) })
	l.after(2*l.oneWay, func() {
		l.apply(l.keeper.Update(l.now, SlotReleased{Ticket: c.ticket, Service: callService, Result: Completed}))
	})
}

// play sends perSecond calls a second for d and returns the share of those that were answered within the aim.
func (l *runnerLoad) play(perSecond int, d, aim, deadline time.Duration) float64 {
	const tick = 50 * time.Millisecond
	n := int(d.Seconds() * float64(perSecond))
	for i := range n {
		l.after(time.Duration(i)*time.Second/time.Duration(perSecond), func() { l.arrive(uint64(i+1), deadline) })
	}
	for at := tick; at < d; at += tick {
		l.after(at, func() { l.apply(l.keeper.Update(l.now, Tick{})) })
	}
	for len(l.events) > 0 {
		e := heap.Pop(&l.events).(timedEvent)
		l.now = e.at
		e.do()
	}
	inAim := 0
	for _, waited := range l.served {
		if waited <= aim {
			inAim++
		}
	}
	return float64(inAim) / float64(n)
}

// All runners but one of a plain service are gone. Its slots suffice for the load if each gets its next call as soon as one ends, though the
// keeper hears of that only two messages later.
func TestOneRunnerIsKeptBusyAcrossMessageTimes(t *testing.T) {
	t.Parallel()
	const slots, aim, deadline = 6, 120 * time.Millisecond, time.Second
	for name, c := range map[string]struct {
		oneWay    time.Duration
		perSecond int
		least     float64
	}{
		"near, nine tenths of what the slots can do": {300 * time.Microsecond, 360, 0.98},
		"far, eight tenths of what the slots can do": {1400 * time.Microsecond, 320, 0.98},
		"far, a third more than the slots can do":    {1400 * time.Microsecond, 530, 0.65},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := newRunnerLoad(1, slots, c.oneWay, 3)
			share := l.play(c.perSecond, 10*time.Second, aim, deadline)
			t.Logf("%.3f in the aim, %d refused, %d queued at the runner at most", share, l.refused, l.longest)
			require.GreaterOrEqual(t, share, c.least)
		})
	}
}

// A call waits at a runner only if no other runner has a free slot.
func TestRunnersAreFilledBeforeCallsQueueAtOne(t *testing.T) {
	t.Parallel()
	l := newRunnerLoad(4, 6, 1400*time.Microsecond, 4)
	share := l.play(700, 10*time.Second, 120*time.Millisecond, time.Second)
	require.GreaterOrEqual(t, share, 0.99)
	require.Zero(t, l.longest)
}
