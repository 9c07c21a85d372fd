// Package proposal checks a configuration set before it is published: what is wrong with it, what of it can never take effect, and what it changes
// for callers.
package proposal

import (
	"cmp"
	"slices"

	"balsamknot.org/fleet/site"
)

// Severity says how much a finding matters.
type Severity string

// Severities.
const (
	// Error means that requests fail for it, or that hosts do not take the set.
	Error Severity = "Error"
	// Warning means that something has no effect, or is likely not meant.
	Warning Severity = "Warning"
	// Note is for information.
	Note Severity = "Note"
)

// ObjectKind is the kind of the object that a finding or a difference concerns.
type ObjectKind string

// Kinds of objects.
const (
	KindSet       ObjectKind = "set"
	KindLimits    ObjectKind = "limits"
	KindRoute     ObjectKind = "route"
	KindService   ObjectKind = "service"
	KindWorkspace ObjectKind = "workspace"
)

// Object is a part of a set. Name is empty for the whole set and its limits.
type Object struct {
	Kind ObjectKind
	Name string
}

// String returns the kind and the name.
func (o Object) String() string {
	if o.Name == "" {
		return string(o.Kind)
	}
	return string(o.Kind) + " " + o.Name
}

// Finding is one result of Check.
type Finding struct {
	Severity Severity
	Object   Object
	// Message says what is wrong, in words for operators. It contains no keys.
	Message string
}

// SharedKey is a key that is listed twice, in two workspaces or in one.
type SharedKey struct{ First, Second site.WorkspaceName }

// Duplicates holds what a published set lists more than once. A site.Set keeps only the last of each.
type Duplicates struct {
	Services   []site.ServiceName
	Workspaces []site.WorkspaceName
	Keys       []SharedKey
}

// Check returns what is found in a set that is about to be published, errors first. inForce is the set in force, nil if it is not known.
func Check(next *site.Set, duplicates Duplicates, inForce *site.Set) []Finding {
	c := &check{set: next}
	c.checkVersion(inForce)
	c.checkDuplicates(duplicates)
	c.checkRoutes()
	c.checkServices()
	c.checkWorkspaces()
	c.checkHomes()
	c.checkLimits()
	slices.SortStableFunc(c.findings, func(a, b Finding) int { return cmp.Compare(ranks[a.Severity], ranks[b.Severity]) })
	return c.findings
}

var ranks = map[Severity]int{Error: 0, Warning: 1, Note: 2}

// Worst returns the highest severity of findings; Note if there are none.
func Worst(findings []Finding) Severity {
	worst := Note
	for _, f := range findings {
		if ranks[f.Severity] < ranks[worst] {
			worst = f.Severity
		}
	}
	return worst
}

// check collects the findings of one set.
type check struct {
	set      *site.Set
	findings []Finding
}
