// Package gossip spreads small facts between nodes in messages of bounded size.
//
// Each fact is sent a number of times that grows with the logarithm of the fleet, least sent first.
// Source: Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group
// Membership Protocol", 2002.
package gossip

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"balsamknot.org/fleet/host"
)

// Row is one fact. The highest version of an origin and key wins.
type Row struct {
	Origin  host.ID
	Key     string
	Version uint64
	// At is when the fact held, by the local clock.
	At      time.Time
	A, B, C int64
}

// rowOverhead estimates a row's encoded size beyond its strings, in bytes.
const rowOverhead = 24

// sendFactor times the logarithm of the fleet's size is how often a row is sent.
const sendFactor = 1

// Config bounds a store.
type Config struct {
	// MessageBytes bounds the rows of one message.
	MessageBytes int
	// Lifetime is how long a row counts after it held.
	Lifetime time.Duration
}

type rowKey struct {
	origin host.ID
	key    string
}

type entry struct {
	row  Row
	sent int
}

// Store holds the facts that a node knows. It is not safe for concurrent use.
type Store struct {
	cfg  Config
	rows map[rowKey]*entry
}

// NewStore returns an empty store.
func NewStore(cfg Config) *Store {
	return &Store{cfg: cfg, rows: make(map[rowKey]*entry)}
}

// Merge takes rows in and returns those that were news.
func (s *Store) Merge(rows []Row) []Row {
	var news []Row
	for _, row := range rows {
		key := rowKey{row.Origin, row.Key}
		old := s.rows[key]
		if old != nil && old.row.Version >= row.Version {
			continue
		}
		s.rows[key] = &entry{row: row}
		news = append(news, row)
	}
	return news
}

// Pick returns the rows for one message to a fleet of the given size, and counts them as sent.
func (s *Store) Pick(now time.Time, fleet int) []Row {
	limit := sendFactor * int(math.Ceil(math.Log2(float64(fleet+1))))
	var due []*entry
	for key, e := range s.rows {
		if now.Sub(e.row.At) > s.cfg.Lifetime {
			delete(s.rows, key)
			continue
		}
		if e.sent < limit {
			due = append(due, e)
		}
	}
	slices.SortFunc(due, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(a.sent, b.sent), b.row.At.Compare(a.row.At),
			cmp.Compare(a.row.Origin, b.row.Origin), cmp.Compare(a.row.Key, b.row.Key))
	})
	var rows []Row
	size := 0
	for _, e := range due {
		size += rowOverhead + len(e.row.Origin) + len(e.row.Key)
		if size > s.cfg.MessageBytes {
			break
		}
		e.sent++
		rows = append(rows, e.row)
	}
	return rows
}

// Get returns the row of an origin and key if it still counts.
func (s *Store) Get(now time.Time, origin host.ID, key string) (Row, bool) {
	e := s.rows[rowKey{origin, key}]
	if e == nil || now.Sub(e.row.At) > s.cfg.Lifetime {
		return Row{}, false
	}
	return e.row, true
}

// Select returns the rows that still count and whose key begins with prefix, in order of origin and key.
func (s *Store) Select(now time.Time, prefix string) []Row {
	var rows []Row
	for key, e := range s.rows {
		if strings.HasPrefix(key.key, prefix) && now.Sub(e.row.At) <= s.cfg.Lifetime {
			rows = append(rows, e.row)
		}
	}
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Origin, b.Origin), cmp.Compare(a.Key, b.Key))
	})
	return rows
}

// Len returns how many rows the store holds.
func (s *Store) Len() int { return len(s.rows) }

// Round hands out peers in a random order in which each comes once before any comes again.
type Round struct {
	random *rand.Rand
	left   []host.ID
}

// NewRound returns a round that draws from random.
func NewRound(random *rand.Rand) *Round {
	return &Round{random: random}
}

// Next returns the next of peers, and false when there are none.
func (r *Round) Next(peers []host.ID) (host.ID, bool) {
	if len(peers) == 0 {
		return "", false
	}
	for len(r.left) > 0 {
		id := r.left[0]
		r.left = r.left[1:]
		if slices.Contains(peers, id) {
			return id, true
		}
	}
	r.left = slices.Clone(peers)
	r.random.Shuffle(len(r.left), func(i, j int) { r.left[i], r.left[j] = r.left[j], r.left[i] })
	id := r.left[0]
	r.left = r.left[1:]
	return id, true
}
