package pool

import (
	"time"

	"balsamknot.org/fleet/chat"
	"balsamknot.org/fleet/endpoint"
	"balsamknot.org/fleet/host"
	"balsamknot.org/fleet/site"
)

// Ticket names one ask for a place; it is unique in the fleet.
type Ticket struct {
	Host host.ID
	// Number is counted by the host's process.
	Number uint64
}

// Event is something that a keeper learns.
type Event interface{ event() }

// Configured tells that the bounds changed.
type Configured struct{ Config Config }

// ServiceSeen tells what the set in force says of a service.
type ServiceSeen struct{ Service site.Service }

// EndpointSeen tells that an endpoint is registered.
type EndpointSeen struct{ Record endpoint.Record }

// EndpointGone tells that an endpoint is no longer registered.
type EndpointGone struct{ ID endpoint.ID }

// Asked is a request that wants a place. An Asked with a known ticket is a repetition of the question.
type Asked struct {
	Ticket  Ticket
	Service site.ServiceName
	Prompt  chat.Prompt
	// Rank is the request's urgency, 0 first.
	Rank int
	// Patience is how long the request may still wait for a place and be worth serving.
	Patience time.Duration
	// Tried are endpoints that must not get the request.
	Tried []endpoint.ID
	// Repeat is true when another endpoint may have had the request before: it draws on the retry budget.
	Repeat bool
	// Once is true when the request may not go to another endpoint after it failed at one.
	Once bool
	// DataCentre is where the entry stands.
	DataCentre host.DataCentre
	// Known is the endpoint that the entry last saw serve the prompt's subject; empty when none.
	Known endpoint.ID
	// Alone is true when the host that decides is not the service's keeper, or may not be.
	Alone bool
	// Share is the part of the retry budget that may be spent; 0 is all of it, for asks of the service's one keeper.
	Share float64
}

// Held tells of a place that a request holds, to a keeper that may not know it.
type Held struct {
	Ticket  Ticket
	Service site.ServiceName
	ID      endpoint.ID
	Prompt  chat.Prompt
}

// Cached tells that an endpoint holds some parts of prompts, in order.
type Cached struct {
	ID    endpoint.ID
	Parts []chat.PartID
}

// Learned is what another keeper of the service knows of its endpoints' caches.
type Learned struct {
	Service site.ServiceName
	Cached  []Cached
}

// Ended tells that a request gave its place up. Service may be empty when only the ticket is known.
type Ended struct {
	Ticket  Ticket
	Service site.ServiceName
	Result  Result
}

// HostLost tells that a host's process is gone, with what it held.
type HostLost struct{ Host host.ID }

// Ticked is the passing of time.
type Ticked struct{}

func (Configured) event()   {}
func (ServiceSeen) event()  {}
func (EndpointSeen) event() {}
func (EndpointGone) event() {}
func (Asked) event()        {}
func (Held) event()         {}
func (Learned) event()      {}
func (Ended) event()        {}
func (HostLost) event()     {}
func (Ticked) event()       {}

// Result is how a request's stay at an endpoint ended.
type Result int

// Results.
const (
	// Unknown says nothing of the endpoint: the caller left, or time ran out on the way.
	Unknown Result = iota
	// Done is a whole answer.
	Done
	// Failed is the endpoint's own failure.
	Failed
	// TurnedAway is a refusal that promises that the request did not run.
	TurnedAway
	// Broken is a connection that could not be made, or broke.
	Broken
	// Silent is an endpoint that said nothing for too long.
	Silent
)

// Command is what a keeper wants done.
type Command interface{ command() }

// Place gives a request a place at an endpoint.
type Place struct {
	Ticket   Ticket
	Endpoint endpoint.Record
	// Fetch is an engine that holds more of the prompt than Endpoint does; empty when there is none.
	Fetch endpoint.ID
	Why   Why
}

// Why is what a keeper knew when it chose an endpoint.
type Why struct {
	// Keeper is the host that chose.
	Keeper host.ID
	// Running counts the requests at the endpoint before this one, and Limit is how many it may hold.
	Running, Limit int
	// Missing is how many tokens of shared parts the endpoint does not hold, and Fetched how many of them another has.
	Missing, Fetched int
	// Suspect is true when the endpoint was taken though it failed lately, for want of another.
	Suspect bool
	// Waited is how long the request waited for its place.
	Waited time.Duration
}

// Queue tells that a request waits for a place.
type Queue struct{ Ticket Ticket }

// Refuse tells that a request gets no place.
type Refuse struct {
	Ticket Ticket
	Reason Reason
	// After is when a place may be free.
	After time.Duration
}

// Tell has the hosts that would keep the service next told what its endpoints' caches hold since the last Tell.
type Tell struct {
	Service site.ServiceName
	Cached  []Cached
}

func (Tell) command()   {}
func (Place) command()  {}
func (Queue) command()  {}
func (Refuse) command() {}

// Reason says why a request gets no place.
type Reason int

// Reasons.
const (
	// NoEndpoint means that no usable endpoint is registered for the service.
	NoEndpoint Reason = iota
	// NoRoom means that no place will be free in the time that the request has.
	NoRoom
	// NoBudget means that the retry budget is spent.
	NoBudget
)

// String returns the reason as it stands in logs.
func (r Reason) String() string {
	switch r {
	case NoEndpoint:
		return "NoEndpoint"
	case NoRoom:
		return "NoRoom"
	case NoBudget:
		return "NoBudget"
	}
	return "Unknown"
}
