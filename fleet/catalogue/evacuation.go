package catalogue

import (
	"maps"
	"slices"

	"balsamknot.org/fleet/host"
)

// Evacuated means that the operator evacuates a data centre: its endpoints get no new requests until it is Reopened.
type Evacuated struct{ DataCentre host.DataCentre }

// Reopened means that the operator has ended the evacuation of a data centre.
type Reopened struct{ DataCentre host.DataCentre }

func (Evacuated) change() {}
func (Reopened) change()  {}

// evacuations holds the data centres that the operator evacuates.
type evacuations struct {
	active map[host.DataCentre]bool
	// unconfirmed holds those of them that an older copy of the store lacks. They stay evacuated until the operator has had time to write again
	// what the store lost.
	unconfirmed map[host.DataCentre]bool
}

func newEvacuations() evacuations {
	return evacuations{active: make(map[host.DataCentre]bool), unconfirmed: make(map[host.DataCentre]bool)}
}

// begin notes an evacuation and returns it if it is not known yet.
func (e *evacuations) begin(dc host.DataCentre) []Change {
	delete(e.unconfirmed, dc)
	if e.active[dc] {
		return nil
	}
	e.active[dc] = true
	return []Change{Evacuated{dc}}
}

// end notes the end of an evacuation and returns it if the evacuation was known.
func (e *evacuations) end(dc host.DataCentre) []Change {
	if !e.active[dc] {
		return nil
	}
	delete(e.active, dc)
	delete(e.unconfirmed, dc)
	return []Change{Reopened{dc}}
}

// endUnlisted ends the evacuations that a read of the whole store does not list, and returns these ends in order. Those that the first read of an
// older copy of the store lacks become unconfirmed instead.
func (e *evacuations) endUnlisted(changes []Change, olderCopy bool) []Change {
	var ended []Change
	for _, dc := range slices.Sorted(maps.Keys(e.active)) {
		switch {
		case slices.Contains(changes, Change(Evacuated{dc})):
		case olderCopy:
			e.unconfirmed[dc] = true
		case !e.unconfirmed[dc]:
			ended = append(ended, e.end(dc)...)
		}
	}
	return ended
}

// endUnconfirmed ends the unconfirmed evacuations, and returns these ends in order.
func (e *evacuations) endUnconfirmed() []Change {
	var ended []Change
	for _, dc := range slices.Sorted(maps.Keys(e.unconfirmed)) {
		ended = append(ended, e.end(dc)...)
	}
	return ended
}

// EndpointsIn returns how many endpoints are registered in a data centre.
func (c *Catalogue) EndpointsIn(dc host.DataCentre) int {
	n := 0
	for _, record := range c.endpoints {
		if record.DataCentre == dc {
			n++
		}
	}
	return n
}
