package pool

import (
	"testing"
	"time"
)

// BenchmarkAsk requests and releases one slot at a keeper of 140 engines with 1,000 requests running.
func BenchmarkAsk(b *testing.B) {
	sim := newSimulation(nil, 140, 16)
	for i := range 1000 {
		sim.request(1, prompt(i%457, 10000), time.Hour, time.Second)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		ticket := Ticket{"host", uint64(1_000_000 + i)}
		sim.keeper.Update(sim.now, SlotRequested{Ticket: ticket, Service: assistant, Prompt: prompt(i%457, 10000), TimeLeft: time.Second})
		sim.keeper.Update(sim.now, SlotReleased{Ticket: ticket, Service: assistant, Result: Completed})
		sim.now = sim.now.Add(time.Millisecond)
	}
}

// BenchmarkRegister registers 3,000 engines one by one, as a host does when it starts.
func BenchmarkRegister(b *testing.B) {
	for b.Loop() {
		newSimulation(nil, 3000, 16)
	}
}

// BenchmarkAskWith3000Engines requests and releases one slot at a keeper of 3,000 engines with 10,000 requests running.
func BenchmarkAskWith3000Engines(b *testing.B) {
	sim := newSimulation(nil, 3000, 16)
	for i := range 10000 {
		sim.request(1, prompt(i%4570, 10000), time.Hour, time.Second)
	}
	for i := 0; b.Loop(); i++ {
		ticket := Ticket{"host", uint64(1_000_000 + i)}
		sim.keeper.Update(sim.now, SlotRequested{Ticket: ticket, Service: assistant, Prompt: prompt(i%4570, 10000), TimeLeft: time.Second})
		sim.keeper.Update(sim.now, SlotReleased{Ticket: ticket, Service: assistant, Result: Completed})
		sim.now = sim.now.Add(time.Millisecond)
	}
}
