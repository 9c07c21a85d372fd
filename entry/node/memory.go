package node

import (
	"context"
	"sync"
	"time"

	"balsamknot.org/fleet/memory"
	"balsamknot.org/fleet/timer"
)

const (
	// maxMemoryWait limits how long a request waits for memory, and memoryWaitDivisor divides the time that it has left; the quotient
	// limits it too. A caller that is told early has time to come back.
	maxMemoryWait     = 500 * time.Millisecond
	memoryWaitDivisor = 8
	// memoryRetryAfter is the retry-after time of a request for which there was no memory. Bodies are held for some time after that.
	memoryRetryAfter = 500 * time.Millisecond
	// streamBytes is what a streamed answer takes: its goroutine's stack, the headers and the read buffers.
	streamBytes = 16 * memory.KiB
	// connectionBytes is what a caller's connection takes: its goroutine's stack, the buffers and the headers of a request.
	connectionBytes = 16 * memory.KiB
)

// memoryBudget takes memory for the requests of a host from a ledger. It is safe for concurrent use.
type memoryBudget struct {
	mu     sync.Mutex
	ledger *memory.Ledger
	lastID memory.ID
	// waiting holds the channel of each claim that waits; it is closed when the claim is granted.
	waiting map[memory.ID]chan struct{}
	// refused counts the refusals of each kind.
	refused map[memory.Kind]int
}

func newMemoryBudget(budget memory.Bytes) *memoryBudget {
	return &memoryBudget{
		ledger: memory.NewLedger(memory.Config{Budget: budget}), waiting: make(map[memory.ID]chan struct{}), refused: make(map[memory.Kind]int),
	}
}

// take takes the memory of a claim and returns true, or returns false if there is no room now.
func (m *memoryBudget) take(now time.Time, c memory.Claim) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	taken := m.ledger.Take(now, c)
	if !taken {
		m.refused[c.Kind]++
	}
	return taken
}

// takeOrWait takes the memory of a claim and returns true, if there is room before the deadline or ctx end, or earlier if waiting would
// not help. holding is true if the claim adds to memory that stays taken.
func (m *memoryBudget) takeOrWait(ctx context.Context, c memory.Claim, holding bool, deadline time.Time) bool {
	now := timer.BootClock()
	m.mu.Lock()
	m.lastID++
	id := m.lastID
	decision := m.ledger.Request(now, memory.Request{ID: id, Claim: c, Holding: holding})
	var granted chan struct{}
	switch decision {
	case memory.Refused:
		m.refused[c.Kind]++
	case memory.Waiting:
		granted = make(chan struct{})
		m.waiting[id] = granted
	case memory.Granted:
	}
	m.mu.Unlock()
	if granted == nil {
		return decision == memory.Granted
	}
	limit := time.NewTimer(min(deadline.Sub(now)/memoryWaitDivisor, maxMemoryWait))
	defer limit.Stop()
	select {
	case <-granted:
		return true
	case <-limit.C:
	case <-ctx.Done():
	}
	return !m.withdraw(id, c.Kind)
}

// withdraw ends the wait of a claim. It returns false if the claim was granted meanwhile.
func (m *memoryBudget) withdraw(id memory.ID, kind memory.Kind) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.ledger.Withdraw(id) {
		return false
	}
	delete(m.waiting, id)
	m.refused[kind]++
	return true
}

// release returns the memory of a claim.
func (m *memoryBudget) release(c memory.Claim) {
	now := timer.BootClock()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, id := range m.ledger.Release(now, c) {
		close(m.waiting[id])
		delete(m.waiting, id)
	}
}

// budget returns the most that may be taken, and peak the most that was.
func (m *memoryBudget) budget() memory.Bytes { return m.ledger.Budget() }

func (m *memoryBudget) peak() memory.Bytes {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ledger.Peak()
}

// usedBy returns what is taken for a kind of use.
func (m *memoryBudget) usedBy(kind memory.Kind) memory.Bytes {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ledger.UsedBy(kind)
}

// refusals returns how often there was no room for a kind of use.
func (m *memoryBudget) refusals(kind memory.Kind) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.refused[kind]
}
