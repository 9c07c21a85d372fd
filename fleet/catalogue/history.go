package catalogue

import (
	"bytes"
	"cmp"
	"slices"
	"time"
)

// Entry is one key of the platform's store with its value, or the removal of the key. The value is not decoded: hosts pass
// it on as they received it.
type Entry struct {
	_       struct{} `cbor:",toarray"`
	Key     string
	Value   []byte
	Removed bool
}

// History holds the newest entry of each key, so that a reader can send other hosts what changed after the revision they
// have. Removed keys are kept as tombstones for a limited time. It is not safe for concurrent use.
type History struct {
	entries      map[string]versionedEntry
	revision     Revision
	newestChange Revision
	// tombstonesAfter is the revision after which every removal has a tombstone. Earlier removals may be missing.
	tombstonesAfter Revision
}

type versionedEntry struct {
	entry      Entry
	revision   Revision
	recordedAt time.Time
}

// tombstoneRetention is how long the tombstone of a removed key is kept.
const tombstoneRetention = 30 * time.Second

// NewHistory returns an empty history, at revision 0.
func NewHistory() *History { return &History{entries: make(map[string]versionedEntry)} }

// Record merges the entries of a read that ended at a revision. When full is true, keys that the read does not list are
// recorded as removed. Entries equal to the recorded ones are not changes.
func (h *History) Record(now time.Time, entries []Entry, revision Revision, full bool) {
	if full {
		entries = append(slices.Clone(entries), h.unlistedTombstones(entries)...)
		if h.tombstonesAfter == 0 {
			h.tombstonesAfter = revision
		}
	}
	for _, e := range entries {
		current, known := h.entries[e.Key]
		if known && current.entry.Removed == e.Removed && bytes.Equal(current.entry.Value, e.Value) {
			continue
		}
		h.entries[e.Key] = versionedEntry{entry: e, revision: revision, recordedAt: now}
		h.newestChange = max(h.newestChange, revision)
	}
	h.revision = max(h.revision, revision)
	h.dropOldTombstones(now)
}

// unlistedTombstones returns tombstones for the keys that a full read does not list.
func (h *History) unlistedTombstones(entries []Entry) []Entry {
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		listed[e.Key] = true
	}
	var tombstones []Entry
	for key, v := range h.entries {
		if !listed[key] && !v.entry.Removed {
			tombstones = append(tombstones, Entry{Key: key, Removed: true})
		}
	}
	return tombstones
}

// dropOldTombstones deletes the tombstones whose retention is over.
func (h *History) dropOldTombstones(now time.Time) {
	for key, v := range h.entries {
		if v.entry.Removed && now.Sub(v.recordedAt) > tombstoneRetention {
			delete(h.entries, key)
			h.tombstonesAfter = max(h.tombstonesAfter, v.revision)
		}
	}
}

// Revision returns the highest revision recorded, or 0 before the first read.
func (h *History) Revision() Revision { return h.revision }

// NewestChange returns the revision of the newest read that changed an entry. It stays the same when a read changes nothing.
func (h *History) NewestChange() Revision { return h.newestChange }

// Since returns the entries that changed after a revision, sorted by key. full is true when tombstones of removals after that
// revision may be missing; entries then lists all existing keys instead, and the receiver removes those not listed.
func (h *History) Since(after Revision) (entries []Entry, full bool) {
	full = after < h.tombstonesAfter
	for _, v := range h.entries {
		switch {
		case full && !v.entry.Removed, !full && v.revision > after:
			entries = append(entries, v.entry)
		}
	}
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.Key, b.Key) })
	return entries, full
}
