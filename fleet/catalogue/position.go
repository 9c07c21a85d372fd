package catalogue

import "cmp"

// Revision is the platform's counter of changes. A read of changes starts after a revision. Revisions rise within an Era only.
type Revision int64

// Era counts how often the platform's store returned from an older copy of itself. It then has lost its last changes, and gives their
// revisions out again.
type Era int64

// Position is a position in the platform's store: that of a change, or how far a copy has come. The zero value is that of a host without a
// copy.
type Position struct {
	Era      Era      `cbor:"1,keyasint,omitempty"`
	Revision Revision `cbor:"2,keyasint,omitempty"`
}

// Compare orders positions by time: by era, then by revision.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Revision, q.Revision))
}

// After reports whether p is later than q.
func (p Position) After(q Position) bool { return p.Compare(q) > 0 }

// Loaded reports whether p is that of a copy.
func (p Position) Loaded() bool { return p.Revision != 0 }

// Admits reports whether a copy at p can take up the result of a read that ended at q. The changes of a later era have no order among those of an
// earlier one, so that a copy enters it with a read of the whole store; what was read in an earlier era is out of date.
func (p Position) Admits(q Position, full bool) bool {
	return !p.Loaded() || q.Era == p.Era || (q.Era > p.Era && full)
}

// Includes reports whether a copy at p has the changes of a read that ended at q already. A full read is the state at q, and replaces the copy.
func (p Position) Includes(q Position, full bool) bool { return !full && p.After(q) }

// later returns the later of two positions.
func later(p, q Position) Position {
	if q.After(p) {
		return q
	}
	return p
}
