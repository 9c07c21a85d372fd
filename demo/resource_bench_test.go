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

// cpuTime returns the processor time, user and system, that this process has used so far.
func cpuTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// reportCPU reports the processor time per operation since cpuTime returned startCPU. It includes the callers and the simulated
// endpoints, which run in the same process as the nodes.
func reportCPU(b *testing.B, startCPU time.Duration, operations int) {
	b.ReportMetric(float64((cpuTime(b)-startCPU).Microseconds())/float64(operations), "cpu-µs/op")
}

// BenchmarkControl measures what an idle fleet costs per node and second: bytes of control traffic, sent and received, and
// processor time. The measurement takes a fixed time, so the benchmark loop is empty.
func BenchmarkControl(b *testing.B) {
	for _, hosts := range []int{4, 8, 16} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			d := startBenchSite(b, hosts)
			const duration = 5 * time.Second
			bytesBefore, cpuBefore := d.controlBytes(b), cpuTime(b)
			time.Sleep(duration)
			nodeSeconds := duration.Seconds() * float64(hosts)
			bytesPerNodeSecond := (d.controlBytes(b) - bytesBefore) / nodeSeconds
			cpuPerNodeSecond := float64((cpuTime(b) - cpuBefore).Microseconds()) / nodeSeconds
			for b.Loop() {
			}
			b.ReportMetric(bytesPerNodeSecond, "B/s/node")
			b.ReportMetric(cpuPerNodeSecond, "cpu-µs/s/node")
		})
	}
}

// controlBytes estimates the control traffic of all nodes since their start. Traffic between two nodes is included
// once for each of them.
func (d *demo) controlBytes(b *testing.B) float64 {
	total := 0.0
	for _, h := range d.site.Hosts {
		counts, err := gauge.ReadControlTraffic(b.Context(), h.MetricsAddress)
		require.NoError(b, err)
		total += counts.TotalBytes()
	}
	return total
}

// heapBytesPerItem calls build, which makes a value of n items, and returns the live heap that the value takes per item.
func heapBytesPerItem(n int, build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	retained := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(retained)
	return float64(after.HeapAlloc-before.HeapAlloc) / float64(n)
}

// BenchmarkMemory measures the memory per item of each kind of state that a node keeps: a chat at a keeper, a granted key at an
// elector, a host in the view of the fleet, a row of the gossip table and a load that a keeper received by gossip.
func BenchmarkMemory(b *testing.B) {
	now := time.Unix(1_000_000, 0)
	const n = 4000
	builders := map[string]func() any{
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
		"gossiped-load": func() any {
			k := keeper.New()
			for i := range n {
				k.Update(now, keeper.LoadGossiped{Engine: engine.ID(fmt.Sprint("engine-", i)), Pool: "p", Load: 1, At: now})
			}
			return k
		},
	}
	for name, build := range builders {
		b.Run(name, func(b *testing.B) {
			size := heapBytesPerItem(n, build)
			for b.Loop() {
			}
			b.ReportMetric(size, "B/item")
		})
	}
}
