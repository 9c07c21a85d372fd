package pool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"balsamknot.org/fleet/chat"
	"balsamknot.org/fleet/endpoint"
)

// answer grants a request at the only engine and ends it, as a host saw it run.
func answer(sim *simulation, e SlotRequested, run Run) {
	sim.nextTicket++
	e.Ticket, e.Service, e.TimeLeft = Ticket{"host", sim.nextTicket}, assistant, time.Minute
	sim.keeper.Update(sim.now, e)
	sim.now = sim.now.Add(run.Lasted)
	sim.keeper.Update(sim.now, SlotReleased{Ticket: e.Ticket, Service: assistant, Result: Completed, Run: run})
}

func TestHoldTimeFollowsWhatWasSeenOfTheRoute(t *testing.T) {
	t.Parallel()
	sim := newSimulation(t, 1, 32)
	for range 60 {
		answer(sim, SlotRequested{Route: "album"}, Run{FirstAfter: 50 * time.Millisecond, Lasted: 2050 * time.Millisecond, Events: 51})
		answer(sim, SlotRequested{Route: "tag"}, Run{FirstAfter: 50 * time.Millisecond, Lasted: 130 * time.Millisecond, Events: 3})
	}
	s := sim.keeper.service(assistant)
	writeMs := func(e SlotRequested) float64 { return s.lengths.Expect(forecastRequest(e)).Mean() * s.speeds.eventMs }
	require.InDelta(t, 2040, writeMs(SlotRequested{Route: "album"}), 400)
	require.InDelta(t, 120, writeMs(SlotRequested{Route: "tag"}), 60)
}

// An engine that takes four times as long as the others gets fewer new chats while it does, and its share again some time after.
func TestSlowEngineGetsFewerNewChats(t *testing.T) {
	t.Parallel()
	sim := newSimulation(t, 4, 32)
	toSlow := func(slowdown time.Duration) int {
		n := 0
		for i := range 400 {
			sim.nextTicket++
			ticket := Ticket{"host", sim.nextTicket}
			granted := sim.keeper.Update(sim.now, SlotRequested{Ticket: ticket, Service: assistant, Prompt: chat.Prompt{Parts: []chat.Part{{ID: chat.PartID(sim.nextTicket), Tokens: 500}, {Tokens: 50}}}, TimeLeft: time.Minute})
			times := time.Duration(1)
			if granted[0].(Grant).Endpoint.Instance.ID == engineID(0) {
				times = slowdown
				if i >= 200 {
					n++
				}
			}
			run := Run{FirstAfter: times * 40 * time.Millisecond, Lasted: times * 100 * time.Millisecond, Events: 3}
			sim.now = sim.now.Add(10 * time.Millisecond)
			sim.keeper.Update(sim.now, SlotReleased{Ticket: ticket, Service: assistant, Result: Completed, Run: run})
		}
		return n
	}
	require.Greater(t, toSlow(1), 30)
	require.Less(t, toSlow(4), 20)
	require.Greater(t, toSlow(1), 30)
}

// The engine that caches a long prefix is full for a moment; another one is free.
func TestRequestWaitsForItsPrefixIfReadingItAgainCostsMore(t *testing.T) {
	t.Parallel()
	for _, tokens := range []int{100, 20000} {
		sim := newSimulation(t, 2, 8)
		sim.register(1, 8, true)
		answer(sim, SlotRequested{}, Run{FirstAfter: time.Millisecond, Lasted: 50 * time.Millisecond, Events: 3})
		for range 8 {
			sim.request(0, prompt(1, tokens), time.Second, time.Minute)
		}
		sim.register(1, 8, false)
		sim.request(0, prompt(1, tokens), time.Second, time.Minute)
		require.Equal(t, tokens > 1000, len(sim.waiting) == 1, "%d tokens", tokens)
		sim.advance(sim.now.Add(1100 * time.Millisecond))
		require.Empty(t, sim.waiting)
	}
}

// An engine that ends nothing any more does not hold up those whose prefix it caches.
func TestRequestDoesNotWaitForASilentEngine(t *testing.T) {
	t.Parallel()
	sim := newSimulation(t, 2, 8)
	sim.register(1, 8, true)
	for range 7 {
		sim.request(0, prompt(1, 20000), time.Hour, time.Minute)
	}
	answer(sim, SlotRequested{Prompt: prompt(1, 20000)}, Run{FirstAfter: time.Millisecond, Lasted: 50 * time.Millisecond, Events: 3})
	sim.request(0, prompt(1, 20000), time.Hour, time.Minute)
	sim.register(1, 8, false)
	sim.request(0, prompt(1, 20000), time.Second, time.Minute)
	require.Len(t, sim.waiting, 1)
	sim.now = sim.now.Add(2500 * time.Millisecond)
	sim.apply(sim.keeper.Update(sim.now, Tick{}))
	require.Empty(t, sim.waiting)
}

// An engine claims to be ten times as fast as it is.
func TestStatementsThatContradictWhatIsSeenCountForLittle(t *testing.T) {
	t.Parallel()
	var p slowdown
	now := time.Unix(1000, 0)
	for range 100 {
		now = now.Add(20 * time.Millisecond)
		p.observe(now, 4, 0.5)
		p.observeStatement(now, endpoint.Load{Slots: 32, Slowdown: 0.1}, 0, 4, 1)
	}
	require.InDelta(t, 4, p.factor(now), 0.5)
	require.InDelta(t, 1, p.factor(now.Add(20*time.Second)), 0.01, "what was seen of an engine ages")
}
