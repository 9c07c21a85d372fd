package pool

import (
	"testing"
	"time"
)

// BenchmarkAsk is one request's place at a keeper of 140 engines with 1,000 requests running: asked, placed and ended.
func BenchmarkAsk(b *testing.B) {
	p := newPlay(nil, 140, 16)
	for i := range 1000 {
		p.ask(1, prompt(i%457, 10000), time.Hour, time.Second)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		ticket := Ticket{"host", uint64(1_000_000 + i)}
		p.keeper.Update(p.now, Asked{Ticket: ticket, Service: assistant, Prompt: prompt(i%457, 10000), Patience: time.Second})
		p.keeper.Update(p.now, Ended{Ticket: ticket, Service: assistant, Result: Done})
		p.now = p.now.Add(time.Millisecond)
	}
}

// BenchmarkRegister is a host that learns of 3,000 engines one by one, as it does when it starts.
func BenchmarkRegister(b *testing.B) {
	for b.Loop() {
		newPlay(nil, 3000, 16)
	}
}

// BenchmarkAskOfMany is one request's place at a keeper of 3,000 engines with 10,000 requests running.
func BenchmarkAskOfMany(b *testing.B) {
	p := newPlay(nil, 3000, 16)
	for i := range 10000 {
		p.ask(1, prompt(i%4570, 10000), time.Hour, time.Second)
	}
	for i := 0; b.Loop(); i++ {
		ticket := Ticket{"host", uint64(1_000_000 + i)}
		p.keeper.Update(p.now, Asked{Ticket: ticket, Service: assistant, Prompt: prompt(i%4570, 10000), Patience: time.Second})
		p.keeper.Update(p.now, Ended{Ticket: ticket, Service: assistant, Result: Done})
		p.now = p.now.Add(time.Millisecond)
	}
}
