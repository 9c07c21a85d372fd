// Package engine describes the endpoints to which the fleet sends requests: engines, which run models, and the runners of
// plain services.
package engine

import (
	"time"

	"balsamknot.org/fleet/host"
)

// ID identifies an endpoint, which is an engine or a runner.
type ID string

// Record is an endpoint as the platform lists it.
type Record struct {
	ID ID
	// Pool is the name of the EnginePool object that the endpoint belongs to.
	Pool       string
	DataCentre host.DataCentre
	Region     host.Region
	// Address is where the endpoint accepts requests, as ip:port.
	Address string
	// Leaving is true when the platform lists the endpoint as leaving: it must not get new requests.
	Leaving bool
}

// Report is the load that an endpoint reported about itself.
type Report struct {
	// Running is how many requests the endpoint has, including those in its own queue.
	Running int
	// Capacity is how many requests the endpoint runs at once.
	Capacity int
	// Age is the time since Running was measured.
	Age time.Duration
	// Leaving is true when the endpoint announces that it shuts down.
	Leaving bool
}
