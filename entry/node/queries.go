package node

import (
	"math/rand/v2"
	"sync"
)

// queries holds the queries to other hosts that wait for replies of one type. It is safe for concurrent use.
type queries[T any] struct {
	mu sync.Mutex
	// lastNonce is the number of the last query.
	lastNonce uint64
	replies   map[uint64]chan T
}

// newQueries returns a value without queries. Its first nonce is random, so that replies to the host's previous process match none.
func newQueries[T any]() *queries[T] {
	return &queries[T]{lastNonce: rand.Uint64(), replies: make(map[uint64]chan T)}
}

// begin registers a query and returns its nonce and the channel of its replies, of which size are buffered. The caller must call end.
func (q *queries[T]) begin(size int) (nonce uint64, replies <-chan T) {
	ch := make(chan T, size)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.lastNonce++
	q.replies[q.lastNonce] = ch
	return q.lastNonce, ch
}

func (q *queries[T]) end(nonce uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.replies, nonce)
}

// deliver passes a reply to its query. It drops one for which no query waits, and one that exceeds the buffer.
func (q *queries[T]) deliver(nonce uint64, reply T) {
	q.mu.Lock()
	ch := q.replies[nonce]
	q.mu.Unlock()
	select {
	case ch <- reply:
	default:
	}
}
