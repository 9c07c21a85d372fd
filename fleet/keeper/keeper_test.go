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

// Property tests draw the same cases on every run.
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

var closing = PoolConfig{LoadFactor: 1.25, QueueLimit: 4, QueueWait: 2 * time.Second, Bounded: true}

func arrive(ticket Ticket, id engine.ID, change ...func(*RequestArrived)) RequestArrived {
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

func from(workspace string, weight float64, priority int) func(*RequestArrived) {
	return func(e *RequestArrived) { e.Workspace, e.Weight, e.Priority = workspace, weight, priority }
}

func TestEngineStaysWithinTheMultipleOfTheMean(t *testing.T) {
	t.Parallel()
	k := newPool(t, closing, "e1", "e2", "e3", "e4")
	// With nothing running anywhere one request is allowed, and a second would be twice the mean of one in four.
	require.Equal(t, []Command{Admit{1}}, k.Update(start, arrive(1, "e1")))
	require.Equal(t, []Command{Redirect{Ticket: 2, Reason: OverBound, Load: 1}}, k.Update(start, arrive(2, "e1")))
	// The others fill up, and with them the mean: now the same engine takes more.
	now := start.Add(10 * time.Second)
	for ticket, id := range map[Ticket]engine.ID{3: "e2", 4: "e3", 5: "e4"} {
		require.Equal(t, []Command{Admit{ticket}}, k.Update(start, arrive(ticket, id)))
	}
	require.Equal(t, []Command{Admit{6}}, k.Update(now, arrive(6, "e1")))
}

func TestLoadHeardOfOthersRaisesTheMeanUntilItIsOld(t *testing.T) {
	t.Parallel()
	k := newPool(t, closing, "e1")
	k.Update(start, PoolSized{Pool: "p", Engines: 2})
	k.Update(start, LoadHeard{Engine: "far", Pool: "p", Load: 6, At: start})
	now := start.Add(time.Second)
	admitted := 0
	for ticket := Ticket(1); ticket <= 8; ticket++ {
		if _, ok := k.Update(now, arrive(ticket, "e1"))[0].(Admit); ok {
			admitted++
		}
	}
	// 1.25 * (6 + own average + 1) / 2, the own average being near 0 in this instant: 5 at most.
	require.Equal(t, 5, admitted)
	stale := start.Add(heardLifetime + time.Second)
	k.Update(stale, Ticked{})
	require.Equal(t, []Command{Redirect{Ticket: 20, Reason: OverBound, Load: 5}}, k.Update(stale, arrive(20, "e1")),
		"a stale mean tightens the bound")
}

func TestKeeperWithoutReportIsCautious(t *testing.T) {
	t.Parallel()
	k := New()
	k.Update(start, PoolConfigured{Pool: "p", Config: PoolConfig{Capacity: 8}})
	k.Update(start, EngineAssigned{Engine: "e1", Pool: "p"})
	require.IsType(t, Admit{}, k.Update(start, arrive(1, "e1"))[0])
	require.IsType(t, Redirect{}, k.Update(start, arrive(2, "e1"))[0])
}

func TestRequestsOfAnotherKeeperCount(t *testing.T) {
	t.Parallel()
	k := newPool(t, PoolConfig{}, "e1")
	k.Update(start, LoadReported{Engine: "e1", Report: engine.Report{Running: 7, Capacity: 8, Age: time.Millisecond}})
	require.IsType(t, Admit{}, k.Update(start, arrive(1, "e1"))[0])
	require.IsType(t, Redirect{}, k.Update(start, arrive(2, "e1"))[0])
}

func TestSurgingWorkspaceTakesNoMoreThanItsShareOfTheQueue(t *testing.T) {
	t.Parallel()
	k := newPool(t, PoolConfig{Capacity: 1, QueueLimit: 8, QueueWait: time.Minute}, "e1")
	k.Update(start, arrive(1, "e1"))
	for ticket := Ticket(10); ticket < 18; ticket++ {
		require.Empty(t, k.Update(start, arrive(ticket, "e1", mayQueue, from("surge", 1, 0))))
	}
	// The queue is full: a quiet workspace's request displaces the last of the surge.
	require.Equal(t, []Command{Refuse{17, outcome.CodeOverloaded, 9 * time.Second}},
		k.Update(start, arrive(20, "e1", mayQueue, from("quiet", 1, 0))))
	require.Equal(t, []Command{Refuse{16, outcome.CodeOverloaded, 9 * time.Second}},
		k.Update(start, arrive(21, "e1", mayQueue, from("claims-desk", 1, 5))))
	var order []Ticket
	running := Ticket(1)
	for range 4 {
		next := k.Update(start, RequestEnded{running})[0].(Admit).Ticket
		order = append(order, next)
		running = next
	}
	require.Equal(t, []Ticket{21, 10, 20, 11}, order, "priority first, then fair shares")
}

func TestRequestThatCantMeetItsDeadlineIsRefusedAtOnce(t *testing.T) {
	t.Parallel()
	k := newPool(t, PoolConfig{Capacity: 1, QueueLimit: 8, QueueWait: time.Minute}, "e1")
	k.Update(start, arrive(1, "e1"))
	short := func(e *RequestArrived) { e.Deadline = start.Add(500 * time.Millisecond) }
	require.Equal(t, []Command{Refuse{2, outcome.CodeDeadline, time.Second}}, k.Update(start, arrive(2, "e1", mayQueue, short)))
}

func TestChatIsFollowedToWhereItOverflowed(t *testing.T) {
	t.Parallel()
	k := newPool(t, closing, "e1", "e2")
	c := func(e *RequestArrived) { e.Chat, e.MustDecide = "c", false }
	k.Update(start, arrive(1, "e1"))
	require.Equal(t, OverBound, k.Update(start, arrive(2, "e1", c))[0].(Redirect).Reason)
	require.IsType(t, Admit{}, k.Update(start, arrive(3, "e2", c))[0])
	k.Update(start, RequestEnded{1})
	k.Update(start, RequestEnded{3})
	require.Equal(t, Overflowed, k.Update(start, arrive(4, "e1", c))[0].(Redirect).Reason, "its prefix is elsewhere")
	follow := func(e *RequestArrived) { e.FollowOverflow = true }
	require.IsType(t, Admit{}, k.Update(start, arrive(5, "e2", c, follow))[0])
	k.Update(start, RequestEnded{5})
	k.Update(start, CacheEvicted{Engine: "e2", Chat: "c"})
	require.Equal(t, NotHere, k.Update(start, arrive(6, "e2", c, follow))[0].(Redirect).Reason, "the prefix was evicted")
}

func TestChatWaitsForItsPrefixAndThenGoesOn(t *testing.T) {
	t.Parallel()
	cfg := closing
	cfg.ReuseWait = 100 * time.Millisecond
	k := newPool(t, cfg, "e1", "e2")
	c := func(e *RequestArrived) { e.Chat, e.MustDecide = "c", false }
	k.Update(start, arrive(1, "e1", c))
	require.Empty(t, k.Update(start, arrive(2, "e1", c)), "waits")
	require.Equal(t, []Command{Redirect{Ticket: 2, Reason: OverBound, Load: 1}}, k.Update(start.Add(150*time.Millisecond), Ticked{}))
	require.Empty(t, k.Update(start, arrive(3, "e1", c)))
	require.Equal(t, []Command{Admit{3}}, k.Update(start, RequestEnded{1}))
}

func TestLeavingEndpointGetsNoNewWork(t *testing.T) {
	t.Parallel()
	k := newPool(t, PoolConfig{Capacity: 1, QueueLimit: 4, QueueWait: time.Minute}, "e1")
	k.Update(start, arrive(1, "e1"))
	k.Update(start, arrive(2, "e1", mayQueue))
	require.Equal(t, []Command{Redirect{Ticket: 2, Reason: Leaving}}, k.Update(start, EngineLeaving{Engine: "e1", Leaving: true}))
	require.Equal(t, []Command{Redirect{Ticket: 3, Reason: Leaving}}, k.Update(start, arrive(3, "e1")))
	require.Empty(t, k.Update(start, RequestEnded{1}))
}

func TestSuspectRunsAlone(t *testing.T) {
	t.Parallel()
	alone := func(e *RequestArrived) { e.Alone = true }
	k := newPool(t, PoolConfig{Capacity: 4, QueueLimit: 4, QueueWait: time.Second}, "e1")
	k.Update(start, arrive(1, "e1"))
	require.Empty(t, k.Update(start, arrive(2, "e1", alone, mayQueue)))
	require.Empty(t, k.Update(start, arrive(3, "e1", mayQueue)))
	require.Equal(t, []Command{Admit{2}}, k.Update(start, RequestEnded{1}))
	require.Equal(t, []Command{Admit{3}}, k.Update(start, RequestEnded{2}))
}

// Whatever happens in whatever order: each request gets one decision, no engine holds more than its capacity, and
// none is admitted beyond the bound that the keeper knows.
func TestKeeperKeepsItsBoundsInAnyOrder(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		engines := []engine.ID{"e1", "e2", "e3"}
		cfg := closing
		cfg.ReuseWait = time.Duration(rapid.IntRange(0, 200).Draw(t, "reuseWait")) * time.Millisecond
		k := newPool(t, cfg, engines...)
		now := start
		decided := map[Ticket]int{}
		running := map[Ticket]engine.ID{}
		asked := map[Ticket]engine.ID{}
		load := func(id engine.ID) int {
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
					decided[c.Ticket]++
					running[c.Ticket] = asked[c.Ticket]
					require.LessOrEqual(t, load(asked[c.Ticket]), 8, "capacity")
					require.LessOrEqual(t, load(asked[c.Ticket]), k.bound(now, "p"), "bound")
				case Redirect:
					decided[c.Ticket]++
				case Refuse:
					decided[c.Ticket]++
				}
			}
		}
		var next Ticket
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) {
				next++
				e := arrive(next, rapid.SampledFrom(engines).Draw(t, "engine"))
				e.MayQueue = rapid.Bool().Draw(t, "mayQueue")
				e.MustDecide = rapid.Bool().Draw(t, "mustDecide")
				e.Chat = chat.ID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "chat"))
				asked[next] = e.Engine
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
				for ticket, n := range decided {
					require.Equal(t, 1, n, "decisions on ticket %d", ticket)
				}
			},
		})
	})
}

func BenchmarkRequest(b *testing.B) {
	k := newPool(b, closing, "e1", "e2", "e3", "e4", "e5")
	k.Update(start, PoolSized{Pool: "p", Engines: 800})
	for i := range 800 {
		k.Update(start, LoadHeard{Engine: engine.ID(fmt.Sprint("far-", i)), Pool: "p", Load: 4, At: start})
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		ticket := Ticket(i + 1)
		k.Update(start, arrive(ticket, "e1"))
		k.Update(start, RequestEnded{ticket})
	}
}
