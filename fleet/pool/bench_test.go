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
