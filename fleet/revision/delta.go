package revision

import (
	"bytes"
	"errors"

	"github.com/cespare/xxhash/v2"
)

// Delta turns one version of a document into the next. A change of one object alters one contiguous range of bytes, so
// a delta carries only the bytes between the common prefix and the common suffix of both versions.
type Delta struct {
	From, To Number
	// Prefix and Suffix are the numbers of bytes that both versions have in common at the start and at the end.
	Prefix, Suffix int
	// Middle replaces the bytes between prefix and suffix.
	Middle []byte
	// Sum is the xxHash64 of the resulting version.
	Sum uint64
}

// ErrDeltaMismatch is returned when a delta was not computed from the version that it is applied to. The caller then has
// to fetch the whole document.
var ErrDeltaMismatch = errors.New("delta does not match the document version")

// Diff returns the delta that turns version from into version to.
func Diff(from, to Document) Delta {
	shorterLength := min(len(from.Value), len(to.Value))
	prefix := 0
	for prefix < shorterLength && from.Value[prefix] == to.Value[prefix] {
		prefix++
	}
	suffix := 0
	for suffix < shorterLength-prefix && from.Value[len(from.Value)-1-suffix] == to.Value[len(to.Value)-1-suffix] {
		suffix++
	}
	return Delta{
		From: from.Number, To: to.Number, Prefix: prefix, Suffix: suffix,
		Middle: bytes.Clone(to.Value[prefix : len(to.Value)-suffix]), Sum: xxhash.Sum64(to.Value),
	}
}

// Apply returns the version that results from applying the delta to doc. It returns ErrDeltaMismatch when doc is not
// version From, when it is shorter than Prefix and Suffix together, or when the result does not have the hash Sum.
func (d Delta) Apply(doc Document) (Document, error) {
	if doc.Number != d.From || d.Prefix < 0 || d.Suffix < 0 || d.Prefix+d.Suffix > len(doc.Value) {
		return Document{}, ErrDeltaMismatch
	}
	value := make([]byte, 0, d.Prefix+len(d.Middle)+d.Suffix)
	value = append(value, doc.Value[:d.Prefix]...)
	value = append(value, d.Middle...)
	value = append(value, doc.Value[len(doc.Value)-d.Suffix:]...)
	if xxhash.Sum64(value) != d.Sum {
		return Document{}, ErrDeltaMismatch
	}
	return Document{Name: doc.Name, Number: d.To, Value: value}, nil
}

// maxDeltas is the number of deltas that a tracker keeps for each document.
const maxDeltas = 64

// recordDelta stores the delta from the previous accepted version to next, and drops the oldest beyond maxDeltas.
// The first accepted version has no predecessor and therefore no delta.
func (t *Tracker) recordDelta(previous, next Document) {
	if previous.Number == 0 {
		return
	}
	t.deltas[next.Name] = append(t.deltas[next.Name], Diff(previous, next))
	t.deltas[next.Name] = t.deltas[next.Name][max(0, len(t.deltas[next.Name])-maxDeltas):]
}

// DeltasSince returns the deltas that turn version have into the current one, oldest first. It returns false when the
// tracker no longer has all of them, or when they are not smaller than the current version; the whole document has to be
// sent then.
func (t *Tracker) DeltasSince(name DocumentName, have Number) ([]Delta, bool) {
	deltas := t.deltas[name]
	for i, d := range deltas {
		if d.From != have {
			continue
		}
		size := 0
		for _, later := range deltas[i:] {
			size += len(later.Middle)
		}
		return deltas[i:], size < len(t.current[name].Value)
	}
	return nil, false
}
