// Package host keeps a host's view of the fleet's hosts. It joins the platform's list, which lags, with what the host
// observes on its own connections and what other hosts report. The view also selects the electors: the hosts that vote on which
// host may run a request with an idempotency key (see package claim).
package host

// ID identifies a host. A host that replaces another may have the same ID, but always another Incarnation.
type ID string

// Incarnation identifies one process on a host; each start has a new one.
type Incarnation string

// DataCentre is the name of the data centre of a host or endpoint.
type DataCentre string

// Region is the name of a group of data centres that are near each other.
type Region string

// Record is a host as the platform lists it.
type Record struct {
	ID         ID
	DataCentre DataCentre
	Region     Region
	// PeerAddress is the ip:port at which other hosts connect to the host.
	PeerAddress string
	// Leaving is true when the platform is about to remove the host.
	Leaving bool
}
