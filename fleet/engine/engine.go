// Package engine describes the endpoints behind the fleet: model engines and plain services' runners.
package engine

import (
	"time"

	"balsamknot.org/fleet/host"
)

// ID names an endpoint.
type ID string

// Record is an endpoint as the platform lists it.
type Record struct {
	ID ID
	// Pool is the name of the EnginePool object that the endpoint belongs to.
	Pool       string
	DataCentre host.DataCentre
	Region     host.Region
	// Address is where it is reached, as ip:port.
	Address string
	// Leaving is true when the endpoint takes no new work.
	Leaving bool
}

// Report is an endpoint's load as it tells it, late by Age.
type Report struct {
	// Running counts the requests in the endpoint, its own queue included.
	Running int
	// Capacity is how many requests it runs at once.
	Capacity int
	// Age is how long ago the figures held.
	Age time.Duration
	// Leaving is what the endpoint says of itself.
	Leaving bool
}
