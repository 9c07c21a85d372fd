package pool

import (
	"time"

	"balsamknot.org/fleet/chat"
	"balsamknot.org/fleet/endpoint"
	"balsamknot.org/fleet/host"
	"balsamknot.org/fleet/site"
)

// Ticket identifies one request for a slot; it is unique in the fleet.
type Ticket struct {
	Host host.ID
	// Number is assigned by the host's process, in ascending order.
	Number uint64
}

// Event is an input of Keeper.Update.
type Event interface{ event() }

// ConfigChanged replaces the keeper's configuration.
type ConfigChanged struct{ Config Config }

// ServiceChanged carries the configuration of a service from the set in force.
type ServiceChanged struct{ Service site.Service }

// EndpointRegistered reports a new or changed registration of an endpoint.
type EndpointRegistered struct{ Record endpoint.Record }

// EndpointRemoved reports that an endpoint is no longer registered.
type EndpointRemoved struct{ ID endpoint.ID }

// SlotRequested requests a slot. If the ticket holds a slot or is queued, the event repeats a message whose reply may have
// been lost, and gets the same reply.
type SlotRequested struct {
	Ticket  Ticket
	Service site.ServiceName
	Prompt  chat.Prompt
	// Priority orders requests under load; 0 is the highest.
	Priority int
	// TimeLeft is how long the request may wait for a slot.
	TimeLeft time.Duration
	// Tried lists the endpoints that were tried before and must not get the request.
	Tried []endpoint.ID
	// Retry is true when another endpoint may have received the request before, so that it draws on the retry budget.
	Retry bool
	// LastTry is true when the request may not be sent to another endpoint if this one fails.
	LastTry bool
	// DataCentre is the data centre of the entry.
	DataCentre host.DataCentre
	// LastEndpoint is the endpoint that last served the prompt's shared prefix according to the entry; empty when unknown.
	LastEndpoint endpoint.ID
	// KeeperUnconfirmed is true when the host that processes the event may not be the service's keeper: the keeper did not
	// reply to the entry or has no endpoint of the service, or the host has just started and knows few other hosts. Such a
	// host does not list caches.
	KeeperUnconfirmed bool
	// BudgetShare is the fraction of RetrySlack that the host which processes the event may use; 0 means all of it, for
	// requests to the service's only keeper.
	BudgetShare float64
	// Version is the only software version whose endpoints may get the request, since a stream that it takes up began there; empty if any
	// may.
	Version endpoint.Version
	// Serial is above 0 if no other request with the same Serial may be at the service's endpoints meanwhile.
	Serial SerialKey
	// Route and Workspace are what the request belongs to; empty at a keeper that was not told.
	Route     site.RouteName
	Workspace site.WorkspaceName
	// Objective is the time left until the request is late: until its answer or, for streams, its first event. It is 0 if unknown, and
	// negative if the request is late already.
	Objective time.Duration
	// LengthHint is the caller's estimate of the answer's length in tokens; 0 if it gave none.
	LengthHint int
	// DataCentres lists the only data centres whose endpoints may get the request; empty if any may.
	DataCentres []host.DataCentre
}

// SlotHeld reports a slot that a request holds. It renews the slot, or adds it at a keeper that did not grant it.
type SlotHeld struct {
	Ticket  Ticket
	Service site.ServiceName
	ID      endpoint.ID
	Prompt  chat.Prompt
	// Serial is that of the request.
	Serial SerialKey
}

// CachedParts lists parts of a prompt that an endpoint caches, in the order of the prompt.
type CachedParts struct {
	ID    endpoint.ID
	Parts []chat.PartID
}

// CacheUpdated carries the cache contents of endpoints from another keeper of the service.
type CacheUpdated struct {
	Service site.ServiceName
	Cached  []CachedParts
}

// SlotReleased releases a request's slot, or removes the request from the queue. Service may be empty when only the ticket is
// known.
type SlotReleased struct {
	Ticket  Ticket
	Service site.ServiceName
	Result  Result
	// Run is what the host observed of the request at the endpoint; zero if it was not told, or nothing was sent.
	Run Run
}

// Run is what a host observed of one request at an endpoint.
type Run struct {
	// FirstAfter is the time from sending the request to its answer or, for streams, its first event; 0 if none came.
	FirstAfter time.Duration
	// Lasted is the time from sending the request to the end of its answer.
	Lasted time.Duration
	// Events is the number of events of a stream that arrived.
	Events int
	// Load is what the head of the answer says of the endpoint's load.
	Load endpoint.Load
}

// HostRemoved reports that a host left, was restarted or is unreachable; its slots are released and its queued requests dropped.
type HostRemoved struct{ Host host.ID }

// Tick is sent periodically to enforce time-outs and to send cache updates.
type Tick struct{}

func (ConfigChanged) event()      {}
func (ServiceChanged) event()     {}
func (EndpointRegistered) event() {}
func (EndpointRemoved) event()    {}
func (SlotRequested) event()      {}
func (SlotHeld) event()           {}
func (CacheUpdated) event()       {}
func (SlotReleased) event()       {}
func (HostRemoved) event()        {}
func (Tick) event()               {}

// Result is the outcome of a request at an endpoint. Hosts send each other its numeric values.
type Result int

// Results of a request.
const (
	// Unknown allows no conclusion about the endpoint: the caller disconnected, the request was not sent, or the slot's holder
	// did not report a result.
	Unknown Result = iota
	// Completed means that the endpoint sent a complete answer.
	Completed
	// Failed means that the endpoint answered with an error of its own.
	Failed
	// Rejected means that the endpoint refused the request and stated that it did not run it.
	Rejected
	// ConnectionFailed means that the connection could not be established, or broke.
	ConnectionFailed
	// TimedOut means that the answer was missing or incomplete at the request's deadline.
	TimedOut
)

// Command is an output of Keeper.Update, to be carried out by the caller.
type Command interface{ command() }

// Grant assigns a request a slot at an endpoint.
type Grant struct {
	Ticket   Ticket
	Endpoint endpoint.Record
	// Fetch is an engine from whose cache Endpoint can fetch parts of the prompt; empty when there is none.
	Fetch    endpoint.ID
	Decision Decision
}

// Decision records the data on which a keeper chose an endpoint, for logs and metrics.
type Decision struct {
	// Keeper is the host that chose the endpoint; the host that receives the grant sets it.
	Keeper host.ID
	// Running is the number of requests at the endpoint before this one, and Limit the load limit.
	Running, Limit int
	// MissingTokens is how many tokens of the shared parts the endpoint does not cache, and FetchedTokens how many of
	// these it can fetch.
	MissingTokens, FetchedTokens int
	// Suspect is true when the endpoint failed recently but was chosen for lack of another.
	Suspect bool
	// Waited is how long the request was queued for its slot.
	Waited time.Duration
}

// Queue reports that a request waits for a slot.
type Queue struct{ Ticket Ticket }

// Refuse denies a request a slot.
type Refuse struct {
	Ticket Ticket
	Reason Reason
	// RetryAfter is the time after which a slot may be free.
	RetryAfter time.Duration
}

// UpdateStandbys sends new and repeated cache contents to the service's standbys, the hosts that take over from its keeper.
// Contents are sent when they changed since the last UpdateStandbys, and repeated after resendInterval while in use.
type UpdateStandbys struct {
	Service site.ServiceName
	Cached  []CachedParts
}

func (UpdateStandbys) command() {}
func (Grant) command()          {}
func (Queue) command()          {}
func (Refuse) command()         {}

// Reason is why a request was refused a slot. Hosts send each other its numeric values.
type Reason int

// Reasons for a refusal.
const (
	// NoEndpoint means that no endpoint that could take the request is registered for the service.
	NoEndpoint Reason = iota
	// NoRoom means that no slot is expected to become free within the request's TimeLeft, or that the queue is full.
	NoRoom
	// NoBudget means that the retry budget is exhausted.
	NoBudget
	// AwaitsCopy means that another request with the same SerialKey has a slot, or has ended without an answer a short time ago.
	AwaitsCopy
	// Resting means that all endpoints that could take the request asked the request's host for rest.
	Resting
	// HostStopping means that the request's host is about to end, and that the request may not end before.
	HostStopping
	// Evacuated means that the operator evacuates the data centres of all endpoints that could take the request.
	Evacuated
	// OutsideHomes means that no endpoint of the service is in a region in which the request may run.
	OutsideHomes
)

// String returns the reason as it is written to logs.
func (r Reason) String() string {
	switch r {
	case NoEndpoint:
		return "NoEndpoint"
	case NoRoom:
		return "NoRoom"
	case NoBudget:
		return "NoBudget"
	case AwaitsCopy:
		return "AwaitsCopy"
	case Resting:
		return "Resting"
	case HostStopping:
		return "HostStopping"
	case Evacuated:
		return "Evacuated"
	case OutsideHomes:
		return "OutsideHomes"
	}
	return "Unknown"
}
