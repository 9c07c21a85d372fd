// Package host keeps a node's view of the fleet's hosts: the platform's lagging list joined with
// what the node sees on its own connections.
package host

// ID names a host. A replaced host keeps its ID or gets a new one; its incarnation always differs.
type ID string

// Incarnation names one run of a process on a host.
type Incarnation string

// DataCentre names where a host or endpoint stands.
type DataCentre string

// Region names a group of data centres that are near each other.
type Region string

// Record is a host as the platform lists it.
type Record struct {
	ID         ID
	DataCentre DataCentre
	Region     Region
	// PeerAddress is where the other nodes reach it, as ip:port.
	PeerAddress string
	// Leaving is true when the platform is about to take the host away.
	Leaving bool
}
