package pool

import (
	"slices"
	"time"

	"balsamknot.org/fleet/chat"
	"balsamknot.org/fleet/endpoint"
	"balsamknot.org/fleet/stream"
)

// departedEngine is what a keeper remembers of an engine that is no longer registered: streams that it began may be taken up later, so that its cache
// still counts when the version of such a stream is looked up.
type departedEngine struct {
	instance endpoint.Instance
	version  endpoint.Version
	hash     uint64
	leftAt   time.Time
	parts    map[chat.PartID]cachedPart
	// unlisted is true if it left before this host had its list, so that it may have cached anything.
	unlisted bool
}

// departedEngines holds the engines that left within stream.Lifetime, in the order in which they did.
type departedEngines []departedEngine

// add remembers an engine that leaves now.
func (d *departedEngines) add(now time.Time, st *endpointState) {
	*d = d.lately(now)
	*d = append(*d, departedEngine{
		instance: st.record.Instance, version: st.record.Version, hash: st.hash, leftAt: now, parts: st.cachedParts,
		unlisted: st.list.state != listed,
	})
}

// restore forgets an engine that is registered again, as after an outage of the store.
func (d *departedEngines) restore(instance endpoint.Instance) {
	*d = slices.DeleteFunc(*d, func(e departedEngine) bool { return e.instance == instance })
}

// lately returns the engines that are still to be remembered.
func (d departedEngines) lately(now time.Time) departedEngines {
	for len(d) > 0 && now.Sub(d[0].leftAt) > stream.Lifetime {
		d = d[1:]
	}
	return d
}
