// Package revision decides which version of the platform's documents is in force on a node.
// A document never goes back to a lower revision, whoever offers it.
package revision

import (
	"slices"
	"time"

	"balsamknot.org/fleet/host"
	"balsamknot.org/fleet/placement"
)

// Name names a document of the platform.
type Name string

// The documents that the fleet reads.
const (
	// Set is the published set of objects, in INI.
	Set Name = "set"
	// Hosts is the list of hosts.
	Hosts Name = "hosts"
	// Endpoints is the list of endpoints.
	Endpoints Name = "endpoints"
)

// Names returns all documents in a fixed order.
func Names() []Name { return []Name{Hosts, Endpoints, Set} }

// Number counts the versions of a document as the platform publishes them, from 1.
type Number uint64

// Document is one version of a document.
type Document struct {
	Name   Name
	Number Number
	Value  []byte
}

// Verdict is the outcome of checking a document; it is a pure function of the document's bytes.
type Verdict func(Document) error

// Ledger holds what is in force on a node. It is not safe for concurrent use.
type Ledger struct {
	verdict Verdict
	inForce map[Name]Document
	refused map[Name]Refused
	// history holds the deltas between the versions that came into force, the latest last.
	history map[Name][]Delta
}

// Refused is a version that the check turned down; it changes nothing.
type Refused struct {
	Number Number
	Reason error
}

// NewLedger returns a ledger without documents.
func NewLedger(verdict Verdict) *Ledger {
	return &Ledger{
		verdict: verdict,
		inForce: make(map[Name]Document),
		refused: make(map[Name]Refused),
		history: make(map[Name][]Delta),
	}
}

// Decision is what an offer led to.
type Decision int

// Decisions on an offered document.
const (
	// Ignored is an offer no newer than what was seen.
	Ignored Decision = iota
	// Accepted is now in force.
	Accepted
	// TurnedDown changed nothing.
	TurnedDown
)

// Offer decides on a version read from the platform or from a peer.
func (l *Ledger) Offer(d Document) (Decision, error) {
	if d.Number <= l.inForce[d.Name].Number {
		return Ignored, nil
	}
	if refused, ok := l.refused[d.Name]; ok && refused.Number == d.Number {
		return Ignored, nil
	}
	if err := l.verdict(d); err != nil {
		if d.Number > l.refused[d.Name].Number {
			l.refused[d.Name] = Refused{Number: d.Number, Reason: err}
		}
		return TurnedDown, err
	}
	l.remember(l.inForce[d.Name], d)
	l.inForce[d.Name] = d
	return Accepted, nil
}

// InForce returns the document in force; its number is 0 when there is none.
func (l *Ledger) InForce(name Name) Document { return l.inForce[name] }

// LastRefused returns the highest version turned down above the one in force.
func (l *Ledger) LastRefused(name Name) (Refused, bool) {
	refused, ok := l.refused[name]
	return refused, ok && refused.Number > l.inForce[name].Number
}

// WatchersPerDataCentre is how many nodes of a data centre read the platform.
const WatchersPerDataCentre = 2

// Watches reports whether self is one of its data centre's readers of a document.
// The live hosts passed are those of self's data centre.
func Watches(name Name, self host.ID, live []host.ID) bool {
	return slices.Contains(placement.Rank("watch/"+string(name), live, WatchersPerDataCentre), self)
}

// SafetyRead is how often a node that is no reader looks at the platform all the same, for the case that
// its data centre's readers can't reach it.
func SafetyRead(fleet int) time.Duration {
	const (
		perNode = 50 * time.Millisecond
		least   = 10 * time.Second
	)
	return max(least, time.Duration(fleet)*perNode)
}
