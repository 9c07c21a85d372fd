package keeper

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"balsamknot.org/fleet/chat"
	"balsamknot.org/fleet/engine"
	"balsamknot.org/fleet/outcome"
)

// The fixed seed makes property tests draw the same cases on every run.
func init() { _ = flag.Set("rapid.seed", "20261204") }

var start = time.Unix(1_000_000, 0)

func newPool(t require.TestingT, cfg PoolConfig, engines ...engine.ID) *Keeper {
	k := New()
	require.Empty(t, k.Update(start, PoolConfigured{Pool: "p", Config: cfg}))
	for _, id := range engines {
		k.Update(start, EngineAssigned{Engine: id, Pool: "p"})
		k.Update(start, LoadReported{Engine: id, Report: engine.Report{Capacity: 8, Age: time.Millisecond}})
	}
	return k
}

var boundedConfig = PoolConfig{LoadFactor: 1.25, QueueLimit: 4, QueueWait: 2 * time.Second, Bounded: true}

func arrival(ticket Ticket, id engine.ID, change ...func(*RequestArrived)) RequestArrived {
	e := RequestArrived{
		Ticket: ticket, Engine: id, Chat: chat.ID(fmt.Sprint("chat-", ticket)), Workspace: "w", Weight: 1,
		Deadline: start.Add(time.Minute), MustDecide: true,
	}
	for _, c := range change {
		c(&e)
	}
	return e
}

func mayQueue(e *RequestArrived) { e.MayQueue = true }

func fromWorkspace(workspace string, weight float64, priority int) func(*RequestArrived) {
	return func(e *RequestArrived) { e.Workspace, e.Weight, e.Priority = workspace, weight, priority }
}

func TestRequestIsRedirectedWhenEngineIsAtLoadBound(t *testing.T) {
	t.Parallel()
	k := newPool(t, boundedConfig, "e1", "e2", "e3", "e4")
	// The bound of the idle pool is ceil(1.25 * 1/4) = 1, so a second request on the same engine is redirected.
	require.Equal(t, []Command{Admit{1}}, k.Update(start, arrival(1, "e1")))
	require.Equal(t, []Command{Redirect{Ticket: 2, Reason: OverBound, Load: 1}}, k.Update(start, arrival(2, "e1")))
	// Requests on the other engines raise the mean, so the same engine admits another one.
	now := start.Add(10 * time.Second)
	for ticket, id := range map[Ticket]engine.ID{3: "e2", 4: "e3", 5: "e4"} {
		require.Equal(t, []Command{Admit{ticket}}, k.Update(start, arrival(ticket, id)))
	}
	require.Equal(t, []Command{Admit{6}}, k.Update(now, arrival(6, "e1")))
}

func TestGossipedLoadRaisesBoundUntilItExpires(t *testing.T) {
	t.Parallel()
	k := newPool(t, boundedConfig, "e1")
	k.Update(start, PoolResized{Pool: "p", Engines: 2})
	k.Update(start, LoadGossiped{Engine: "far", Pool: "p", Load: 6, At: start})
	now := start.Add(time.Second)
	admitted := 0
	for ticket := Ticket(1); ticket <= 8; ticket++ {
		if _, ok := k.Update(now, arrival(ticket, "e1"))[0].(Admit); ok {
			admitted++
		}
	}
	// The bound is 1.25 * (6 + own average + 1) / 2. The own average is still near 0, which gives 5.
	require.Equal(t, 5, admitted)
	expired := start.Add(gossipedLoadLifetime + time.Second)
	k.Update(expired, Ticked{})
	require.Equal(t, []Command{Redirect{Ticket: 20, Reason: OverBound, Load: 5}}, k.Update(expired, arrival(20, "e1")),
		"the expired load lowers the mean")
}

func TestKeeperAdmitsOneRequestBeforeFirstReport(t *testing.T) {
	t.Parallel()
	k := New()
	k.Update(start, PoolConfigured{Pool: "p", Config: PoolConfig{Capacity: 8}})
	k.Update(start, EngineAssigned{Engine: "e1", Pool: "p"})
	require.IsType(t, Admit{}, k.Update(start, arrival(1, "e1"))[0])
	require.IsType(t, Redirect{}, k.Update(start, arrival(2, "e1"))[0])
}

func TestReportedRequestsOfOtherKeepersUseCapacity(t *testing.T) {
	t.Parallel()
	k := newPool(t, PoolConfig{}, "e1")
	k.Update(start, LoadReported{Engine: "e1", Report: engine.Report{Running: 7, Capacity: 8, Age: time.Millisecond}})
	require.IsType(t, Admit{}, k.Update(start, arrival(1, "e1"))[0])
	require.IsType(t, Redirect{}, k.Update(start, arrival(2, "e1"))[0])
}

func TestFullQueueDropsRequestOfWorkspaceWithMostQueued(t *testing.T) {
	t.Parallel()
	k := newPool(t, PoolConfig{Capacity: 1, QueueLimit: 8, QueueWait: time.Minute}, "e1")
	k.Update(start, arrival(1, "e1"))
	for ticket := Ticket(10); ticket < 18; ticket++ {
		require.Empty(t, k.Update(start, arrival(ticket, "e1", mayQueue, fromWorkspace("surge", 1, 0))))
	}
	// The queue is full: a request of another workspace displaces the last one of the surging workspace.
	require.Equal(t, []Command{Refuse{17, outcome.CodeOverloaded, 9 * time.Second}},
		k.Update(start, arrival(20, "e1", mayQueue, fromWorkspace("quiet", 1, 0))))
	require.Equal(t, []Command{Refuse{16, outcome.CodeOverloaded, 9 * time.Second}},
		k.Update(start, arrival(21, "e1", mayQueue, fromWorkspace("claims-desk", 1, 5))))
	var order []Ticket
	running := Ticket(1)
	for range 4 {
		next := k.Update(start, RequestEnded{running})[0].(Admit).Ticket
		order = append(order, next)
		running = next
	}
	require.Equal(t, []Ticket{21, 10, 20, 11}, order, "by priority, then by fair share")
}

func TestRequestIsRefusedWhenExpectedWaitExceedsDeadline(t *testing.T) {
	t.Parallel()
	k := newPool(t, PoolConfig{Capacity: 1, QueueLimit: 8, QueueWait: time.Minute}, "e1")
	k.Update(start, arrival(1, "e1"))
	shortDeadline := func(e *RequestArrived) { e.Deadline = start.Add(500 * time.Millisecond) }
	require.Equal(t, []Command{Refuse{2, outcome.CodeDeadline, time.Second}}, k.Update(start, arrival(2, "e1", mayQueue, shortDeadline)))
}

func TestChatIsRedirectedToEndpointItOverflowedTo(t *testing.T) {
	t.Parallel()
	k := newPool(t, boundedConfig, "e1", "e2")
	sameChat := func(e *RequestArrived) { e.Chat, e.MustDecide = "c", false }
	k.Update(start, arrival(1, "e1"))
	require.Equal(t, OverBound, k.Update(start, arrival(2, "e1", sameChat))[0].(Redirect).Reason)
	require.IsType(t, Admit{}, k.Update(start, arrival(3, "e2", sameChat))[0])
	k.Update(start, RequestEnded{1})
	k.Update(start, RequestEnded{3})
	require.Equal(t, Overflowed, k.Update(start, arrival(4, "e1", sameChat))[0].(Redirect).Reason, "the prefix is at the other endpoint")
	followOverflow := func(e *RequestArrived) { e.FollowOverflow = true }
	require.IsType(t, Admit{}, k.Update(start, arrival(5, "e2", sameChat, followOverflow))[0])
	k.Update(start, RequestEnded{5})
	k.Update(start, CacheEvicted{Engine: "e2", Chat: "c"})
	require.Equal(t, NotHere, k.Update(start, arrival(6, "e2", sameChat, followOverflow))[0].(Redirect).Reason, "the prefix was evicted")
}

func TestChatWaitsForCachedPrefixUntilReuseWait(t *testing.T) {
	t.Parallel()
	cfg := boundedConfig
	cfg.ReuseWait = 100 * time.Millisecond
	k := newPool(t, cfg, "e1", "e2")
	sameChat := func(e *RequestArrived) { e.Chat, e.MustDecide = "c", false }
	k.Update(start, arrival(1, "e1", sameChat))
	require.Empty(t, k.Update(start, arrival(2, "e1", sameChat)), "the request waits for its prefix")
	require.Equal(t, []Command{Redirect{Ticket: 2, Reason: OverBound, Load: 1}}, k.Update(start.Add(150*time.Millisecond), Ticked{}))
	require.Empty(t, k.Update(start, arrival(3, "e1", sameChat)))
	require.Equal(t, []Command{Admit{3}}, k.Update(start, RequestEnded{1}))
}

func TestLeavingEndpointRedirectsNewAndQueuedRequests(t *testing.T) {
	t.Parallel()
	k := newPool(t, PoolConfig{Capacity: 1, QueueLimit: 4, QueueWait: time.Minute}, "e1")
	k.Update(start, arrival(1, "e1"))
	k.Update(start, arrival(2, "e1", mayQueue))
	require.Equal(t, []Command{Redirect{Ticket: 2, Reason: Leaving}}, k.Update(start, EngineLeaving{Engine: "e1", Leaving: true}))
	require.Equal(t, []Command{Redirect{Ticket: 3, Reason: Leaving}}, k.Update(start, arrival(3, "e1")))
	require.Empty(t, k.Update(start, RequestEnded{1}))
}

func TestExclusiveRequestRunsAlone(t *testing.T) {
	t.Parallel()
	exclusive := func(e *RequestArrived) { e.Exclusive = true }
	k := newPool(t, PoolConfig{Capacity: 4, QueueLimit: 4, QueueWait: time.Second}, "e1")
	k.Update(start, arrival(1, "e1"))
	require.Empty(t, k.Update(start, arrival(2, "e1", exclusive, mayQueue)))
	require.Empty(t, k.Update(start, arrival(3, "e1", mayQueue)))
	require.Equal(t, []Command{Admit{2}}, k.Update(start, RequestEnded{1}))
	require.Equal(t, []Command{Admit{3}}, k.Update(start, RequestEnded{2}))
}

// In any order of arrivals, ends and ticks, each request gets one decision, no engine exceeds its capacity, and no request is
// admitted beyond the load bound that the keeper computes.
func TestKeeperKeepsItsBoundsInAnyOrder(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		engines := []engine.ID{"e1", "e2", "e3"}
		cfg := boundedConfig
		cfg.ReuseWait = time.Duration(rapid.IntRange(0, 200).Draw(t, "reuseWait")) * time.Millisecond
		k := newPool(t, cfg, engines...)
		now := start
		decisions := map[Ticket]int{}
		running := map[Ticket]engine.ID{}
		engineOf := map[Ticket]engine.ID{}
		runningOn := func(id engine.ID) int {
			n := 0
			for _, e := range running {
				if e == id {
					n++
				}
			}
			return n
		}
		apply := func(commands []Command) {
			for _, command := range commands {
				switch c := command.(type) {
				case Admit:
					decisions[c.Ticket]++
					running[c.Ticket] = engineOf[c.Ticket]
					require.LessOrEqual(t, runningOn(engineOf[c.Ticket]), 8, "running requests exceed the capacity")
					require.LessOrEqual(t, runningOn(engineOf[c.Ticket]), k.loadBound(now, "p"), "running requests exceed the load bound")
				case Redirect:
					decisions[c.Ticket]++
				case Refuse:
					decisions[c.Ticket]++
				}
			}
		}
		var next Ticket
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) {
				next++
				e := arrival(next, rapid.SampledFrom(engines).Draw(t, "engine"))
				e.MayQueue = rapid.Bool().Draw(t, "mayQueue")
				e.MustDecide = rapid.Bool().Draw(t, "mustDecide")
				e.Chat = chat.ID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "chat"))
				engineOf[next] = e.Engine
				apply(k.Update(now, e))
			},
			"end": func(*rapid.T) {
				for ticket := Ticket(1); ticket <= next; ticket++ {
					if _, ok := running[ticket]; ok {
						delete(running, ticket)
						apply(k.Update(now, RequestEnded{ticket}))
						return
					}
				}
			},
			"tick": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond)
				apply(k.Update(now, Ticked{}))
			},
			"": func(t *rapid.T) {
				for ticket, n := range decisions {
					require.Equal(t, 1, n, "decisions on ticket %d", ticket)
				}
			},
		})
	})
}

func BenchmarkRequest(b *testing.B) {
	k := newPool(b, boundedConfig, "e1", "e2", "e3", "e4", "e5")
	k.Update(start, PoolResized{Pool: "p", Engines: 800})
	for i := range 800 {
		k.Update(start, LoadGossiped{Engine: engine.ID(fmt.Sprint("far-", i)), Pool: "p", Load: 4, At: start})
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		ticket := Ticket(i + 1)
		k.Update(start, arrival(ticket, "e1"))
		k.Update(start, RequestEnded{ticket})
	}
}
