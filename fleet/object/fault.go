package object

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Severity says whether a finding refuses the set.
type Severity string

// Severities of a finding.
const (
	// Error refuses the set.
	Error Severity = "Error"
	// Warning lets it pass.
	Warning Severity = "Warning"
)

// Fault is one finding of the check.
type Fault struct {
	Severity Severity
	// Object is the kind and name, empty for the set as a whole.
	Object string
	// Key is the setting at fault, empty for the object as a whole.
	Key string
	// Line counts from 1; 0 when the fault has no line.
	Line    int
	Message string
	// Hint says what to do.
	Hint string
}

// String returns the fault in one line.
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

// Faults is the whole answer of a check. As an error it lists what refuses the set.
type Faults []Fault

// Error implements error.
func (f Faults) Error() string {
	lines := make([]string, 0, len(f))
	for _, fault := range f {
		if fault.Severity == Error {
			lines = append(lines, fault.String())
		}
	}
	return strings.Join(lines, "\n")
}

// Refuses reports whether any finding refuses the set.
func (f Faults) Refuses() bool {
	return slices.ContainsFunc(f, func(fault Fault) bool { return fault.Severity == Error })
}

func (f Faults) sorted() Faults {
	slices.SortFunc(f, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Object, b.Object),
			cmp.Compare(a.Key, b.Key), cmp.Compare(a.Message, b.Message))
	})
	return f
}
