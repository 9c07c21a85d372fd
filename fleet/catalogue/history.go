package catalogue

import (
	"bytes"
	"cmp"
	"slices"
	"time"
)

// Entry is one key of the platform as it was written, or its removal, not yet decoded: hosts pass it on as it came.
type Entry struct {
	_       struct{} `cbor:",toarray"`
	Key     string
	Value   []byte
	Removed bool
}

// History holds the newest entry of each key, so that one host's reads of the platform can serve others.
// It is not safe for concurrent use.
type History struct {
	entries map[string]placed
	at      Position
	newest  Position
	// complete is the position from which on removals are remembered.
	complete Position
}

type placed struct {
	entry Entry
	at    Position
	since time.Time
}

// removalMemory is how long the removal of a key is remembered.
const removalMemory = 30 * time.Second

// NewHistory returns a history that knows nothing.
func NewHistory() *History { return &History{entries: make(map[string]placed)} }

// Note takes in what a read brought. With whole, keys that it lacks are gone.
func (h *History) Note(now time.Time, entries []Entry, at Position, whole bool) {
	if whole {
		entries = append(slices.Clone(entries), h.missing(entries)...)
		if h.complete == 0 {
			h.complete = at
		}
	}
	for _, e := range entries {
		old, known := h.entries[e.Key]
		if known && old.entry.Removed == e.Removed && bytes.Equal(old.entry.Value, e.Value) {
			continue
		}
		h.entries[e.Key] = placed{entry: e, at: at, since: now}
		h.newest = max(h.newest, at)
	}
	h.at = max(h.at, at)
	h.forget(now)
}

func (h *History) missing(entries []Entry) []Entry {
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		listed[e.Key] = true
	}
	var gone []Entry
	for key, p := range h.entries {
		if !listed[key] && !p.entry.Removed {
			gone = append(gone, Entry{Key: key, Removed: true})
		}
	}
	return gone
}

func (h *History) forget(now time.Time) {
	for key, p := range h.entries {
		if p.entry.Removed && now.Sub(p.since) > removalMemory {
			delete(h.entries, key)
			h.complete = max(h.complete, p.at)
		}
	}
}

// At returns the position up to which the history is known, and Newest that of its newest change.
func (h *History) At() Position { return h.at }

// Newest returns the position of the newest change.
func (h *History) Newest() Position { return h.newest }

// Since returns the entries that changed behind a position. whole is true when removals before may be missing, so that the
// entries are all there are.
func (h *History) Since(after Position) (entries []Entry, whole bool) {
	whole = after < h.complete
	for _, p := range h.entries {
		switch {
		case whole && !p.entry.Removed, !whole && p.at > after:
			entries = append(entries, p.entry)
		}
	}
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.Key, b.Key) })
	return entries, whole
}
