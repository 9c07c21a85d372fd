// Package revision tracks which version of each platform document is current (in force) on a node.
// The platform publishes versions with ascending numbers. A node accepts a version only if it is newer than its current
// one and passes validation, so the current number never decreases, regardless of which peer or replica offers a version.
package revision

import (
	"slices"
	"time"

	"balsamknot.org/fleet/host"
	"balsamknot.org/fleet/placement"
)

// DocumentName identifies a document of the platform; it is the last element of the document's URL path.
type DocumentName string

// Names of the documents that the fleet reads.
const (
	// DocumentSet is the published set of objects, in the INI format that package object checks.
	DocumentSet DocumentName = "set"
	// DocumentHosts is the list of hosts, a HostList.
	DocumentHosts DocumentName = "hosts"
	// DocumentEndpoints is the list of endpoints, an EndpointList.
	DocumentEndpoints DocumentName = "endpoints"
)

// DocumentNames returns the names of all documents in a fixed order.
func DocumentNames() []DocumentName {
	return []DocumentName{DocumentHosts, DocumentEndpoints, DocumentSet}
}

// Number is the version number that the platform gives a document; it starts at 1 and grows with each publication.
// 0 means that there is no version.
type Number uint64

// Document is one published version of a document.
type Document struct {
	Name   DocumentName
	Number Number
	Value  []byte
}

// Validator returns an error if a document must not become current. It must depend on the document alone, so that all
// nodes decide alike.
type Validator func(Document) error

// Tracker holds the current version of each document on a node, the highest rejected one, and the deltas between recent
// versions. It is not safe for concurrent use.
type Tracker struct {
	validate Validator
	current  map[DocumentName]Document
	rejected map[DocumentName]Rejection
	// deltas holds, by document, the deltas between successive accepted versions, oldest first.
	deltas map[DocumentName][]Delta
}

// Rejection describes a version that failed validation and therefore did not replace the current one.
type Rejection struct {
	Number Number
	Reason error
}

// NewTracker returns a tracker without documents that checks each offered version with validate.
func NewTracker(validate Validator) *Tracker {
	return &Tracker{
		validate: validate,
		current:  make(map[DocumentName]Document),
		rejected: make(map[DocumentName]Rejection),
		deltas:   make(map[DocumentName][]Delta),
	}
}

// Decision is the result of Tracker.Offer.
type Decision int

// Decisions on an offered document.
const (
	// Ignored means that the version is not newer than the current one, or that it is the highest rejected one.
	Ignored Decision = iota
	// Accepted means that the version is now current.
	Accepted
	// Rejected means that the version failed validation; the current version stays.
	Rejected
)

// Offer makes d the current version if it is newer and valid. The error is the validator's when d is rejected. The
// highest rejected version is ignored when it is offered again, so that callers log its rejection once.
func (t *Tracker) Offer(d Document) (Decision, error) {
	if d.Number <= t.current[d.Name].Number {
		return Ignored, nil
	}
	if rejection, ok := t.rejected[d.Name]; ok && rejection.Number == d.Number {
		return Ignored, nil
	}
	if err := t.validate(d); err != nil {
		if d.Number > t.rejected[d.Name].Number {
			t.rejected[d.Name] = Rejection{Number: d.Number, Reason: err}
		}
		return Rejected, err
	}
	t.recordDelta(t.current[d.Name], d)
	t.current[d.Name] = d
	return Accepted, nil
}

// Current returns the current version of a document; its number is 0 when none was accepted yet.
func (t *Tracker) Current(name DocumentName) Document { return t.current[name] }

// LastRejected returns the highest rejected version, and whether it is newer than the current one.
func (t *Tracker) LastRejected(name DocumentName) (Rejection, bool) {
	rejection, ok := t.rejected[name]
	return rejection, ok && rejection.Number > t.current[name].Number
}

// WatchersPerDataCentre is the number of nodes in each data centre that watch a document at the platform. The other nodes
// get new versions from their peers, so that the platform's load grows with the data centres and not with the nodes.
const WatchersPerDataCentre = 2

// IsWatcher reports whether self has to watch a document at the platform for its data centre. live holds the live hosts
// of that data centre, self included. Rendezvous hashing picks the watchers, so nodes with the same view agree on them.
func IsWatcher(name DocumentName, self host.ID, live []host.ID) bool {
	return slices.Contains(placement.Rank("watch/"+string(name), live, WatchersPerDataCentre), self)
}

// FallbackReadInterval is the time between two reads of a document by a node that does not watch it. The node reads the
// platform itself in case the watchers of its data centre can't reach the platform. With 50 ms per node, all nodes
// together make at most 20 such reads of a document per second.
func FallbackReadInterval(nodes int) time.Duration {
	const (
		perNode = 50 * time.Millisecond
		minimum = 10 * time.Second
	)
	return max(minimum, time.Duration(nodes)*perNode)
}
