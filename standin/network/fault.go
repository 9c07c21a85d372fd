package network

import (
	"sync"
	"time"
)

// Direction is one way along a link.
type Direction int

// Onward leads from who opened a connection to the target, Back the other way.
const (
	Onward Direction = iota + 1
	Back
)

// Fault is what is wrong with a link for a while.
type Fault struct {
	// Cut resets every connection, open or new.
	Cut bool
	// Delay is added to what is carried, both ways.
	Delay time.Duration
	// Blocked carries nothing in this direction; 0 blocks none.
	Blocked Direction
	// From limits a fault of a relay to datagrams that this IP address sent; empty means all.
	From string
}

func (f Fault) blocks(way Direction) bool { return f.Blocked == way }

// faults are those that hold now; they may overlap.
type faults struct {
	mu   sync.Mutex
	next int
	held map[int]Fault
}

func (s *faults) begin(f Fault) (end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.held == nil {
		s.held = make(map[int]Fault)
	}
	id := s.next
	s.next++
	s.held[id] = f
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.held, id)
	}
}

// now returns all faults as one: the longest delay, and any cut and direction.
func (s *faults) now() Fault { return s.of("") }

// of returns the faults that concern what an IP address sends.
func (s *faults) of(from string) Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all Fault
	for _, f := range s.held {
		if f.From != "" && f.From != from {
			continue
		}
		all.Cut = all.Cut || f.Cut
		all.Delay = max(all.Delay, f.Delay)
		all.Blocked = max(all.Blocked, f.Blocked)
	}
	return all
}
