// Package host keeps a host's view of the fleet's hosts. It joins the platform's list, which lags, with what the host
// observes on its own connections and what other hosts report.
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
	// PeerAddress is where the other hosts reach it, as ip:port.
	PeerAddress string
	// Leaving is true when the platform is about to remove the host.
	Leaving bool
}
