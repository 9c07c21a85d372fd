// Package endpoint describes the endpoints that run requests: model engines and runners of plain services. They register
// themselves with the platform, the external system whose store holds the registrations.
package endpoint

import (
	"time"

	"balsamknot.org/fleet/host"
	"balsamknot.org/fleet/site"
)

// ID identifies an endpoint. An endpoint keeps its ID when it restarts.
type ID string

// Version is a version of the software of endpoints, not of the weights of a model. Versions have no order.
type Version string

// Instance identifies one run of an endpoint, from a start to the next. An endpoint loses its cache and its running
// requests when it restarts.
type Instance struct {
	ID ID
	// StartedAt is the start time in milliseconds of Unix time; 0 when unknown.
	StartedAt int64
}

// LimitState is what an answer says about its endpoint's Limit. Hosts send each other its numeric values.
type LimitState int

// States of a limit.
const (
	// Unlimited means that the answer states no limit.
	Unlimited LimitState = iota
	// Limited means that the answer states a limit.
	Limited
	// LimitUnreadable means that the answer states a limit that can't be read: there is one, of unknown size.
	LimitUnreadable
)

// Limit is how many requests an endpoint takes from all hosts together, as one of its answers states it. It holds until the first
// answer without one.
type Limit struct {
	State LimitState
	// PerSecond is the limit in requests a second, 0 or more, if State is Limited.
	PerSecond float64
}

// Brittle is what an endpoint's answers say of how it bears requests that it has to turn away. It holds until the first answer without it.
type Brittle struct {
	// Stated is true if the endpoint falls when it turns away more than TurnedAway requests in a second for want of room.
	Stated     bool
	TurnedAway int
}

// Statement is what the head of one answer says of its endpoint.
type Statement struct {
	// Limit and Brittle hold until the first answer without them.
	Limit   Limit
	Brittle Brittle
	// Rest is how long from the receipt of the answer the endpoint wants no requests from the host that got it; 0 if it asks for none.
	Rest time.Duration
	// Leaving is true if the endpoint is about to stop. It holds until the end of the instance.
	Leaving bool
	// Load holds at the moment of the answer only.
	Load Load
}

// Load is how loaded an endpoint was when it began an answer, by its own account. The zero value means that it does not tell.
type Load struct {
	// Running and Waiting are the numbers of requests that ran and that waited, and Slots how many may run at the same time; Slots is above 0.
	Running, Waiting, Slots int
	// Slowdown is how long work took at that moment, relative to what is usual; 1 is usual, 0 means that the endpoint does not tell.
	Slowdown float64
}

// Stated reports whether the endpoint tells its load.
func (l Load) Stated() bool { return l.Slots > 0 }

// Record is the registration of an endpoint with the platform.
type Record struct {
	Instance   Instance
	Service    site.ServiceName
	DataCentre host.DataCentre
	// Version is the version of the endpoint's software.
	Version Version
	// Address is ip:port.
	Address string
	// Slots is the number of requests that the endpoint runs at the same time.
	Slots int
	// Leaving is true when the endpoint is draining and gets no new requests.
	Leaving bool
	// WarmUpLeft is for how much longer the endpoint was cold when the registration was written; see site.Service.
	WarmUpLeft time.Duration
}
