// Package placement orders hosts and engines for a key by rendezvous hashing. All
// hosts compute the same order without a shared table, and a join or leave moves
// only the keys of the member that joined or left.
//
// Source: Thaler and Ravishankar, "A Name-Based Mapping Scheme for Rendezvous", 1996.
package placement

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Score returns the rendezvous score of id for key; the highest score comes first.
func Score(key, id string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(key)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(id)
	return digest.Sum64()
}

// Rank returns the first n of ids, or fewer, in descending order of their score for key.
// Equal scores are ordered by id, so that the order is the same on all hosts.
func Rank[T ~string](key string, ids []T, n int) []T {
	best := newTop[T](n)
	for _, id := range ids {
		best.add(id, Score(key, string(id)))
	}
	return best.ids()
}

// scored is an id with its score for the key.
type scored[T ~string] struct {
	id    T
	score uint64
}

// top collects the ids with the highest scores, up to limit, in descending order.
type top[T ~string] struct {
	limit int
	items []scored[T]
}

func newTop[T ~string](limit int) *top[T] {
	return &top[T]{limit: limit, items: make([]scored[T], 0, min(limit, 16)+1)}
}

func (t *top[T]) add(id T, score uint64) {
	item := scored[T]{id: id, score: score}
	if len(t.items) == t.limit && (t.limit == 0 || compare(t.items[t.limit-1], item) < 0) {
		return
	}
	at, _ := slices.BinarySearchFunc(t.items, item, compare[T])
	t.items = slices.Insert(t.items, at, item)
	if len(t.items) > t.limit {
		t.items = t.items[:t.limit]
	}
}

func (t *top[T]) ids() []T {
	ids := make([]T, len(t.items))
	for i, item := range t.items {
		ids[i] = item.id
	}
	return ids
}

// compare orders by descending score, then by ascending id.
func compare[T ~string](a, b scored[T]) int {
	switch {
	case a.score > b.score:
		return -1
	case a.score < b.score:
		return 1
	case a.id < b.id:
		return -1
	case a.id > b.id:
		return 1
	}
	return 0
}
