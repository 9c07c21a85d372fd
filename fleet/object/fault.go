package object

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Severity is the degree of a fault; only Error makes the set invalid.
type Severity string

// The severities of a fault.
const (
	// Error makes the set invalid; hosts keep their current set.
	Error Severity = "Error"
	// Warning does not prevent the set from being accepted.
	Warning Severity = "Warning"
)

// Fault is one problem that the validation of a set found.
type Fault struct {
	Severity Severity
	// Object is the object's kind and name, such as "Service assistant"; empty when the fault concerns the whole set.
	Object string
	// Key is the name of the faulty setting; empty when the fault concerns the whole object.
	Key string
	// Line is the line number in the set, from 1; 0 when the fault belongs to no line.
	Line    int
	Message string
	// Hint describes to the operator how to correct the fault.
	Hint string
}

// String formats the fault as one line of text with line number, object, key, message and hint.
func (f Fault) String() string {
	where := f.Object
	if f.Key != "" {
		where += " " + f.Key
	}
	text := fmt.Sprintf("line %d: %s: %s", f.Line, where, f.Message)
	if f.Hint != "" {
		text += " (" + f.Hint + ")"
	}
	return text
}

// Faults holds everything that Check found, in order of lines. As an error it lists only faults of severity Error.
type Faults []Fault

// Error implements the error interface; warnings are left out.
func (f Faults) Error() string {
	lines := make([]string, 0, len(f))
	for _, fault := range f {
		if fault.Severity == Error {
			lines = append(lines, fault.String())
		}
	}
	return strings.Join(lines, "\n")
}

// HasErrors reports whether any fault has severity Error, which makes the set invalid.
func (f Faults) HasErrors() bool {
	return slices.ContainsFunc(f, func(fault Fault) bool { return fault.Severity == Error })
}

func (f Faults) sorted() Faults {
	slices.SortFunc(f, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Object, b.Object),
			cmp.Compare(a.Key, b.Key), cmp.Compare(a.Message, b.Message))
	})
	return f
}
