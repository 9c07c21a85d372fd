package network

import (
	"sync"
	"time"
)

// Direction is a direction of transfer through a Link or Relay. The zero value is neither direction.
type Direction int

// ToTarget is the direction from the client, which opened the connection, to the target; FromTarget is the direction from
// the target to the client.
const (
	ToTarget Direction = iota + 1
	FromTarget
)

// Fault describes an impairment of a Link or Relay. The zero value impairs nothing.
type Fault struct {
	// Cut resets every open connection and each new one; a Relay drops all datagrams.
	Cut bool
	// Delay is the time by which each read of a connection, in both directions, or each datagram is held back.
	Delay time.Duration
	// Blocked is the direction in which nothing is forwarded; 0 blocks neither.
	Blocked Direction
	// From limits the fault to datagrams that a Relay receives from this IP address; empty means from every address.
	From string
}

func (f Fault) blocks(direction Direction) bool { return f.Blocked == direction }

// faultSet is the set of active faults of one Link or Relay. The zero value is empty. It is safe for concurrent use.
type faultSet struct {
	mu     sync.Mutex
	nextID int
	active map[int]Fault
}

// add activates a fault until remove is called.
func (s *faultSet) add(f Fault) (remove func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.active == nil {
		s.active = make(map[int]Fault)
	}
	id := s.nextID
	s.nextID++
	s.active[id] = f
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.active, id)
	}
}

// combined merges the active faults that are not limited to one sender.
func (s *faultSet) combined() Fault { return s.combinedFor("") }

// combinedFor merges the active faults that apply to datagrams from the IP address sender: the longest delay, and a cut if
// any fault has one. If faults block different directions, only FromTarget is blocked, as the higher value.
func (s *faultSet) combinedFor(sender string) Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	var combined Fault
	for _, f := range s.active {
		if f.From != "" && f.From != sender {
			continue
		}
		combined.Cut = combined.Cut || f.Cut
		combined.Delay = max(combined.Delay, f.Delay)
		combined.Blocked = max(combined.Blocked, f.Blocked)
	}
	return combined
}
