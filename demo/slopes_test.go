package main

import (
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"balsamknot.org/fleet/chat"
	"balsamknot.org/fleet/claim"
	"balsamknot.org/fleet/engine"
	"balsamknot.org/fleet/gossip"
	"balsamknot.org/fleet/host"
	"balsamknot.org/fleet/keeper"
	"balsamknot.org/load/gauge"
)

// cpuTime returns the processor time that this process has used.
func cpuTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// reportCPU reports the processor time an operation since began: callers, stand-ins and nodes together.
func reportCPU(b *testing.B, began time.Duration, n int) {
	b.ReportMetric(float64((cpuTime(b)-began).Microseconds())/float64(n), "cpu-µs/op")
}

// BenchmarkControl is what an idle fleet of n nodes costs a node a second: bytes both ways, and processor time.
func BenchmarkControl(b *testing.B) {
	for _, hosts := range []int{4, 8, 16} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			d := benchSite(b, hosts)
			const span = 5 * time.Second
			before, cpu := d.controlBytes(b), cpuTime(b)
			time.Sleep(span)
			seconds := span.Seconds() * float64(hosts)
			bytes := (d.controlBytes(b) - before) / seconds
			busy := float64((cpuTime(b) - cpu).Microseconds()) / seconds
			for b.Loop() {
			}
			b.ReportMetric(bytes, "B/s/node")
			b.ReportMetric(busy, "cpu-µs/s/node")
		})
	}
}

// controlBytes sums what the nodes spent on control, each at both ends.
func (d *demo) controlBytes(b *testing.B) float64 {
	total := 0.0
	for _, h := range d.site.Hosts {
		c, err := gauge.ReadControlTraffic(b.Context(), h.MetricsAddress)
		require.NoError(b, err)
		total += c.TotalBytes()
	}
	return total
}

// heapOf returns the bytes that build leaves on the heap for each of n items.
func heapOf(n int, build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return float64(after.HeapAlloc-before.HeapAlloc) / float64(n)
}

// BenchmarkMemory is the memory of one item of each kind of state.
func BenchmarkMemory(b *testing.B) {
	now := time.Unix(1_000_000, 0)
	const n = 4000
	kinds := map[string]func() any{
		"chat": func() any {
			k := keeper.New()
			k.Update(now, keeper.PoolConfigured{Pool: "p", Config: keeper.PoolConfig{Unlimited: true}})
			k.Update(now, keeper.EngineAssigned{Engine: "e", Pool: "p"})
			for i := range n {
				ticket := keeper.Ticket(i + 1)
				k.Update(now, keeper.RequestArrived{Ticket: ticket, Engine: "e", Chat: chat.ID(fmt.Sprintf("k%016x", i))})
				k.Update(now, keeper.RequestEnded{Ticket: ticket})
			}
			return k
		},
		"grant": func() any {
			e := claim.NewElector(claim.Limits{Lifetime: time.Hour})
			for i := range n {
				e.Vote(now, claim.VoteRequest{
					Key: claim.Key(fmt.Sprintf("workspace/%036d", i)), KeyCreatedAt: now, Attempt: 1,
					Claimant: claim.Claimant{Host: "host", Incarnation: "i"}, ElectorSince: now.Add(-time.Hour),
				})
			}
			return e
		},
		"host": func() any {
			v := host.NewView(host.ViewConfig{Self: host.Record{ID: "self"}})
			var list []host.Record
			for i := range n {
				list = append(list, host.Record{ID: host.ID(fmt.Sprint("host-", i)), Region: "r"})
			}
			v.Update(now, host.ListReceived{Hosts: list})
			return v
		},
		"row": func() any {
			s := gossip.NewTable(gossip.Config{MessageBytes: 1000, Lifetime: time.Hour})
			for i := range n {
				s.Merge([]gossip.Row{{Origin: host.ID(fmt.Sprint("host-", i/5)), Key: fmt.Sprint("load/engine-", i), Version: 1, At: now}})
			}
			return s
		},
		"heard-load": func() any {
			k := keeper.New()
			for i := range n {
				k.Update(now, keeper.LoadGossiped{Engine: engine.ID(fmt.Sprint("engine-", i)), Pool: "p", Load: 1, At: now})
			}
			return k
		},
	}
	for name, build := range kinds {
		b.Run(name, func(b *testing.B) {
			size := heapOf(n, build)
			for b.Loop() {
			}
			b.ReportMetric(size, "B/item")
		})
	}
}
