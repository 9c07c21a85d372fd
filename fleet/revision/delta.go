package revision

import (
	"bytes"
	"errors"

	"github.com/cespare/xxhash/v2"
)

// Delta leads from one version of a document to the next: a change of one object is one run of bytes, so that what
// both versions begin and end with need not travel.
type Delta struct {
	From, To Number
	// Prefix and Suffix are the bytes that both versions share at the start and at the end.
	Prefix, Suffix int
	// Middle replaces what lies between.
	Middle []byte
	// Sum is the hash of the version that results.
	Sum uint64
}

// ErrDelta says that a delta does not fit the version that it is applied to.
var ErrDelta = errors.New("the delta does not fit this version")

// Between returns the delta that leads from one version to another.
func Between(from, to Document) Delta {
	shorter := min(len(from.Value), len(to.Value))
	prefix := 0
	for prefix < shorter && from.Value[prefix] == to.Value[prefix] {
		prefix++
	}
	suffix := 0
	for suffix < shorter-prefix && from.Value[len(from.Value)-1-suffix] == to.Value[len(to.Value)-1-suffix] {
		suffix++
	}
	return Delta{
		From: from.Number, To: to.Number, Prefix: prefix, Suffix: suffix,
		Middle: bytes.Clone(to.Value[prefix : len(to.Value)-suffix]), Sum: xxhash.Sum64(to.Value),
	}
}

// Apply returns the version that a delta leads to, or ErrDelta.
func (d Delta) Apply(doc Document) (Document, error) {
	if doc.Number != d.From || d.Prefix < 0 || d.Suffix < 0 || d.Prefix+d.Suffix > len(doc.Value) {
		return Document{}, ErrDelta
	}
	value := make([]byte, 0, d.Prefix+len(d.Middle)+d.Suffix)
	value = append(value, doc.Value[:d.Prefix]...)
	value = append(value, d.Middle...)
	value = append(value, doc.Value[len(doc.Value)-d.Suffix:]...)
	if xxhash.Sum64(value) != d.Sum {
		return Document{}, ErrDelta
	}
	return Document{Name: doc.Name, Number: d.To, Value: value}, nil
}

// deltasKept bounds the deltas that a ledger keeps of a document.
const deltasKept = 64

// remember keeps the delta to a version that comes into force.
func (l *Ledger) remember(old, next Document) {
	if old.Number == 0 {
		return
	}
	l.history[next.Name] = append(l.history[next.Name], Between(old, next))
	l.history[next.Name] = l.history[next.Name][max(0, len(l.history[next.Name])-deltasKept):]
}

// Since returns the deltas that lead from a version to the one in force, and false when they are not all kept
// or come to more than the version itself.
func (l *Ledger) Since(name Name, have Number) ([]Delta, bool) {
	history := l.history[name]
	for i, d := range history {
		if d.From != have {
			continue
		}
		size := 0
		for _, later := range history[i:] {
			size += len(later.Middle)
		}
		return history[i:], size < len(l.inForce[name].Value)
	}
	return nil, false
}
