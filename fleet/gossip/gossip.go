// Package gossip spreads small rows of state, such as loads and failures, between hosts in messages of bounded size.
//
// The number of times that each host sends a row grows with the logarithm of the fleet's size. The rows that it has sent
// least often come first.
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

// Row is the state that one host publishes under one key. Of rows with the same origin and key the highest version is kept.
// The meaning of A, B and C depends on the key.
type Row struct {
	Origin  host.ID
	Key     string
	Version uint64
	// At is when the state was measured, by the local clock.
	At      time.Time
	A, B, C int64
}

// rowOverhead is an estimate of a row's encoded size without its strings, in bytes.
const rowOverhead = 24

// retransmitFactor times the binary logarithm of the fleet's size, rounded up, is how often a host sends a row.
const retransmitFactor = 1

// Config bounds the size of messages and the age of rows.
type Config struct {
	// MessageBytes is the largest estimated size of the rows of one message, in bytes.
	MessageBytes int
	// Lifetime is the age, by Row.At, after which a row is ignored and deleted.
	Lifetime time.Duration
}

type rowKey struct {
	origin host.ID
	key    string
}

type rowState struct {
	row       Row
	sendCount int
}

// Table holds the rows that a host knows, its own and those of others. It is not safe for concurrent use.
type Table struct {
	cfg  Config
	rows map[rowKey]*rowState
}

// NewTable returns an empty table.
func NewTable(cfg Config) *Table {
	return &Table{cfg: cfg, rows: make(map[rowKey]*rowState)}
}

// Merge adds the rows that are new or have a higher version than the row held, and returns them. Rows of equal or lower
// version are ignored.
func (t *Table) Merge(rows []Row) []Row {
	var updated []Row
	for _, row := range rows {
		key := rowKey{row.Origin, row.Key}
		old := t.rows[key]
		if old != nil && old.row.Version >= row.Version {
			continue
		}
		t.rows[key] = &rowState{row: row}
		updated = append(updated, row)
	}
	return updated
}

// NextBatch returns the rows for one message in a fleet of so many hosts, and counts them as sent. Rows that were sent least
// come first, and of these the newest. Expired rows are deleted.
func (t *Table) NextBatch(now time.Time, hosts int) []Row {
	limit := retransmitFactor * int(math.Ceil(math.Log2(float64(hosts+1))))
	var due []*rowState
	for key, rs := range t.rows {
		if now.Sub(rs.row.At) > t.cfg.Lifetime {
			delete(t.rows, key)
			continue
		}
		if rs.sendCount < limit {
			due = append(due, rs)
		}
	}
	slices.SortFunc(due, func(a, b *rowState) int {
		return cmp.Or(cmp.Compare(a.sendCount, b.sendCount), b.row.At.Compare(a.row.At),
			cmp.Compare(a.row.Origin, b.row.Origin), cmp.Compare(a.row.Key, b.row.Key))
	})
	var rows []Row
	size := 0
	for _, rs := range due {
		size += rowOverhead + len(rs.row.Origin) + len(rs.row.Key)
		if size > t.cfg.MessageBytes {
			break
		}
		rs.sendCount++
		rows = append(rows, rs.row)
	}
	return rows
}

// Get returns the row of an origin and key, and false if there is none or it has expired.
func (t *Table) Get(now time.Time, origin host.ID, key string) (Row, bool) {
	rs := t.rows[rowKey{origin, key}]
	if rs == nil || now.Sub(rs.row.At) > t.cfg.Lifetime {
		return Row{}, false
	}
	return rs.row, true
}

// Select returns the unexpired rows whose key begins with prefix, in order of origin and key.
func (t *Table) Select(now time.Time, prefix string) []Row {
	var rows []Row
	for key, rs := range t.rows {
		if strings.HasPrefix(key.key, prefix) && now.Sub(rs.row.At) <= t.cfg.Lifetime {
			rows = append(rows, rs.row)
		}
	}
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Origin, b.Origin), cmp.Compare(a.Key, b.Key))
	})
	return rows
}

// Len returns how many rows the table holds, including expired ones that NextBatch has not deleted yet.
func (t *Table) Len() int { return len(t.rows) }

// PeerRotation selects peers in random order, each once before any is selected again. It is not safe for concurrent use.
type PeerRotation struct {
	random    *rand.Rand
	remaining []host.ID
}

// NewPeerRotation returns a rotation that shuffles with random.
func NewPeerRotation(random *rand.Rand) *PeerRotation {
	return &PeerRotation{random: random}
}

// Next returns the next peer, and false if peers is empty. A peer that is no longer in peers is skipped; one that is new
// has its turn once the others have had theirs.
func (r *PeerRotation) Next(peers []host.ID) (host.ID, bool) {
	if len(peers) == 0 {
		return "", false
	}
	for len(r.remaining) > 0 {
		id := r.remaining[0]
		r.remaining = r.remaining[1:]
		if slices.Contains(peers, id) {
			return id, true
		}
	}
	r.remaining = slices.Clone(peers)
	r.random.Shuffle(len(r.remaining), func(i, j int) { r.remaining[i], r.remaining[j] = r.remaining[j], r.remaining[i] })
	id := r.remaining[0]
	r.remaining = r.remaining[1:]
	return id, true
}
