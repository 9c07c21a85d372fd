package keeper

import (
	"time"

	"balsamknot.org/fleet/chat"
	"balsamknot.org/fleet/engine"
	"balsamknot.org/fleet/outcome"
)

// Event is something that happens to a keeper.
type Event interface{ keeperEvent() }

// PoolConfigured brings a pool's settings into force.
type PoolConfigured struct {
	Pool   string
	Config PoolConfig
}

// EngineAssigned makes this node the keeper of an endpoint.
type EngineAssigned struct {
	Engine engine.ID
	Pool   string
}

// EngineWithdrawn ends this node's keeping of an endpoint; running requests finish.
type EngineWithdrawn struct{ Engine engine.ID }

// EngineLeaving stops or resumes new work for an endpoint.
type EngineLeaving struct {
	Engine  engine.ID
	Leaving bool
}

// LoadReported is an endpoint's own figure.
type LoadReported struct {
	Engine engine.ID
	Report engine.Report
}

// PoolSized tells how many endpoints of a pool take work, those of other keepers included.
type PoolSized struct {
	Pool    string
	Engines int
}

// LoadHeard is the load of an endpoint that another node keeps, as gossip tells it.
type LoadHeard struct {
	Engine engine.ID
	Pool   string
	// Load is the average over about a second.
	Load float64
	// At is when the figure held.
	At time.Time
}

// LoadMet is the load of an endpoint that a request has just met at its keeper. It goes before what gossip tells,
// but not for long: requests meet busy endpoints more often than idle ones.
type LoadMet struct {
	Engine engine.ID
	Pool   string
	Load   float64
}

// RequestArrived asks for a place on an endpoint.
type RequestArrived struct {
	Ticket    Ticket
	Engine    engine.ID
	Chat      chat.ID
	Workspace string
	// Weight is the workspace's share in a closing surge; at least 1.
	Weight   float64
	Priority int
	Deadline time.Time
	// MayQueue is set on the entry's last choice.
	MayQueue bool
	// FollowOverflow is set when the first engine's keeper remembers that the chat overflowed.
	FollowOverflow bool
	// MustDecide forbids an answer that depends on the chat's memory.
	MustDecide bool
	// Alone asks that the request run without neighbours.
	Alone bool
	// Resumed is set when the endpoint runs the request already: it is counted, not decided on.
	Resumed bool
	// Fingerprint names the request's content; copies of one fingerprint run one after another. 0 is none.
	Fingerprint uint64
	// patience bounds a wait for reuse, after which the request goes to its next choice.
	patience time.Duration
}

// RequestEnded frees the place of an admitted request.
type RequestEnded struct{ Ticket Ticket }

// RequestAbandoned takes a request out of the queue, or frees its place when it was just admitted.
type RequestAbandoned struct{ Ticket Ticket }

// CacheEvicted says that an endpoint dropped a chat's prefix.
type CacheEvicted struct {
	Engine engine.ID
	Chat   chat.ID
}

// Ticked lets time pass.
type Ticked struct{}

func (PoolConfigured) keeperEvent()   {}
func (EngineAssigned) keeperEvent()   {}
func (EngineWithdrawn) keeperEvent()  {}
func (EngineLeaving) keeperEvent()    {}
func (LoadReported) keeperEvent()     {}
func (PoolSized) keeperEvent()        {}
func (LoadHeard) keeperEvent()        {}
func (LoadMet) keeperEvent()          {}
func (RequestArrived) keeperEvent()   {}
func (RequestEnded) keeperEvent()     {}
func (RequestAbandoned) keeperEvent() {}
func (CacheEvicted) keeperEvent()     {}
func (Ticked) keeperEvent()           {}

// Command is what a keeper decided.
type Command interface{ keeperCommand() }

// Admit starts a request on its endpoint.
type Admit struct{ Ticket Ticket }

// RedirectReason says why a keeper sends a request on.
type RedirectReason string

// Reasons for a redirect.
const (
	OverBound  RedirectReason = "OverBound"
	Overflowed RedirectReason = "Overflowed"
	NotHere    RedirectReason = "NotHere"
	NotKeeper  RedirectReason = "NotKeeper"
	Leaving    RedirectReason = "Leaving"
)

// Redirect sends a request to its next choice.
type Redirect struct {
	Ticket Ticket
	Reason RedirectReason
	// Load is what the endpoint holds, for the mean of the next keeper.
	Load int
}

// Refuse ends a request that was not started.
type Refuse struct {
	Ticket     Ticket
	Code       outcome.Code
	RetryAfter time.Duration
}

func (Admit) keeperCommand()    {}
func (Redirect) keeperCommand() {}
func (Refuse) keeperCommand()   {}
