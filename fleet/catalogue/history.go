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
	// Revision is that of the key's last change, if the entry was read from the store; 0 if another host sent it.
	Revision Revision `cbor:"-"`
}

// History holds the newest entry of each key, so that a reader can send other hosts what changed after the position that they
// have. Removed keys are kept as tombstones for a limited time. It is not safe for concurrent use.
type History struct {
	entries      map[string]versionedEntry
	position     Position
	newestChange Position
	// completeAfter is the position after which every change is recorded, but for gaps. Earlier removals, and entries that were removed and written again, may
	// be missing.
	completeAfter Position
	// gaps are those of the whole reads since, the oldest first.
	gaps []gap
	// generation counts the changes of what Since returns.
	generation uint64
}

type versionedEntry struct {
	entry      Entry
	changedAt  Position
	recordedAt time.Time
	// generation is that of the history when the entry was recorded: entries of other hosts, whose changes have no revision of their own, are
	// in its order.
	generation uint64
}

// gap is what lies between two reads of the store, the second of which was a whole read: it does not tell which keys were written and removed again
// in between.
type gap struct{ after, upTo Position }

// contains reports whether a position lies in the gap, so that a host with a copy there may have such keys.
func (g gap) contains(p Position) bool { return p.After(g.after) && g.upTo.After(p) }

// maxGaps is how many gaps are kept. Hosts with positions before the older ones get all entries.
const maxGaps = 4

// compare orders entries by their last change.
func (e versionedEntry) compare(f versionedEntry) int {
	return cmp.Or(e.changedAt.Compare(f.changedAt), cmp.Compare(e.generation, f.generation))
}

// tombstoneRetention is how long the tombstone of a removed key is kept.
const tombstoneRetention = 30 * time.Second

// NewHistory returns an empty history, at the zero Position.
func NewHistory() *History { return &History{entries: make(map[string]versionedEntry)} }

// Record merges the entries of a read that ended at a position, which must be one that the history's Position admits. When full is true, keys
// that the read does not list are recorded as removed. An entry equal to the recorded one may have been removed and written again in between:
// a read of the store tells by the entry's revision. Other readers do not send it, but list only changes unless full is true.
func (h *History) Record(now time.Time, entries []Entry, at Position, full bool) {
	if full {
		entries = append(slices.Clone(entries), h.unlistedTombstones(entries)...)
		if !h.completeAfter.Loaded() || at.Era > h.position.Era {
			h.begin(at)
		} else {
			h.noteGap(at)
		}
	}
	for _, e := range entries {
		h.recordEntry(now, e, at, full)
	}
	h.position = later(h.position, at)
	h.dropOldTombstones(now)
}

// begin notes that changes are recorded after a position: that of the first read of the whole store, or of the first one in an era. Hosts with
// an earlier position get all entries.
func (h *History) begin(at Position) {
	if h.completeAfter.Loaded() {
		h.newestChange = at
	}
	h.completeAfter = at
	h.gaps = nil
	h.generation++
}

// noteGap notes the gap between the history's position and that of a whole read.
func (h *History) noteGap(at Position) {
	if !at.After(h.position) {
		return
	}
	h.gaps = append(h.gaps, gap{after: h.position, upTo: at})
	if len(h.gaps) > maxGaps {
		h.completeAfter = later(h.completeAfter, h.gaps[0].upTo)
		h.gaps = slices.Delete(h.gaps, 0, 1)
	}
	h.generation++
}

// recordEntry merges one entry of a read that ended at a position.
func (h *History) recordEntry(now time.Time, e Entry, at Position, full bool) {
	changedAt := at
	if e.Revision != 0 {
		// Later pages of a range may be newer than its revision, which is that of the first page.
		changedAt.Revision = min(e.Revision, at.Revision)
	}
	current, known := h.entries[e.Key]
	if known && current.entry.Removed == e.Removed && bytes.Equal(current.entry.Value, e.Value) {
		if !changedAt.After(current.changedAt) {
			return
		}
		if full && e.Revision == 0 {
			// It is not known whether the entry changed.
			h.generation++
			h.completeAfter = later(h.completeAfter, at)
			h.newestChange = later(h.newestChange, at)
			return
		}
	}
	h.generation++
	h.entries[e.Key] = versionedEntry{entry: e, changedAt: changedAt, recordedAt: now, generation: h.generation}
	h.newestChange = later(h.newestChange, changedAt)
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
			h.generation++
			h.completeAfter = later(h.completeAfter, v.changedAt)
		}
	}
}

// Position returns how far the history goes.
func (h *History) Position() Position { return h.position }

// NewestChange returns the position of the newest change that is recorded. It stays the same when a read changes nothing.
func (h *History) NewestChange() Position { return h.newestChange }

// Generation counts the changes of the history: while it stays the same, so does what Since returns for a position.
func (h *History) Generation() uint64 { return h.generation }

// Since returns the entries that changed after a position, in the order of their last changes. full is true when changes after that position
// may be missing; entries then lists all existing keys instead, and the receiver removes those not listed.
func (h *History) Since(after Position) (entries []Entry, full bool) {
	full = h.completeAfter.After(after) || slices.ContainsFunc(h.gaps, func(g gap) bool { return g.contains(after) })
	var changed []versionedEntry
	for _, v := range h.entries {
		if full && !v.entry.Removed || !full && v.changedAt.After(after) {
			changed = append(changed, v)
		}
	}
	slices.SortFunc(changed, versionedEntry.compare)
	for _, v := range changed {
		entries = append(entries, v.entry)
	}
	return entries, full
}
