// Package endpoint describes the endpoints that register themselves with the platform: model engines and runners of
// plain services.
package endpoint

import (
	"time"

	"balsamknot.org/fleet/host"
	"balsamknot.org/fleet/site"
)

// ID names one endpoint; it may start again under the same ID.
type ID string

// Instance names one start of an endpoint: what it held before its start is gone.
type Instance struct {
	ID ID
	// Born is the Unix millisecond of the start; 0 when unknown.
	Born int64
}

// Record is an endpoint as it registered itself.
type Record struct {
	Instance   Instance
	Service    site.ServiceName
	DataCentre host.DataCentre
	// Address is ip:port.
	Address string
	// Places is how many requests it runs at once.
	Places int
	// Leaving is true when it takes no new work.
	Leaving bool
	// Cold is how much longer it is slow after its start.
	Cold time.Duration
}
