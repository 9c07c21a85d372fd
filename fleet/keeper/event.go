package keeper

import (
	"time"

	"balsamknot.org/fleet/chat"
	"balsamknot.org/fleet/engine"
	"balsamknot.org/fleet/outcome"
)

// Event is an input of Keeper.Update.
type Event interface{ keeperEvent() }

// PoolConfigured sets or replaces the settings of a pool.
type PoolConfigured struct {
	Pool   string
	Config PoolConfig
}

// EngineAssigned makes this host the keeper of an endpoint.
type EngineAssigned struct {
	Engine engine.ID
	Pool   string
}

// EngineWithdrawn means that this host is no longer the keeper of an endpoint. Queued requests are redirected, running ones
// finish.
type EngineWithdrawn struct{ Engine engine.ID }

// EngineLeaving starts draining an endpoint, or ends it when Leaving is false. A draining endpoint gets no new requests, its
// queued ones are redirected.
type EngineLeaving struct {
	Engine  engine.ID
	Leaving bool
}

// LoadReported carries a load report read from an endpoint.
type LoadReported struct {
	Engine engine.ID
	Report engine.Report
}

// PoolResized sets how many endpoints of a pool take new work, including those of other keepers.
type PoolResized struct {
	Pool    string
	Engines int
}

// LoadGossiped carries the load of an endpoint at another keeper, as received by gossip or with an answer. It is ignored
// unless it is newer than the last one of the same endpoint.
type LoadGossiped struct {
	Engine engine.ID
	Pool   string
	// Load is the average load as of At, see Keeper.AverageLoad.
	Load float64
	// At is when the other keeper measured the load or, for a load that came with an answer, when it was received.
	At time.Time
}

// LoadObserved carries the load of an endpoint whose keeper has just declined the request that now arrives here. It takes
// precedence over gossip, but only for a short time: requests observe busy endpoints more often than idle ones, so that
// observed loads are a biased sample.
type LoadObserved struct {
	Engine engine.ID
	Pool   string
	Load   float64
}

// RequestArrived requests a slot on an endpoint.
type RequestArrived struct {
	Ticket    Ticket
	Engine    engine.ID
	Chat      chat.ID
	Workspace string
	// Weight is the workspace's weight in the fair queue; values below 1 are treated as 1.
	Weight   float64
	Priority int
	Deadline time.Time
	// MayQueue allows the request to wait in the queue. The entry sets it once every endpoint has declined, or when there is
	// only one.
	MayQueue bool
	// FollowOverflow is set when the keeper of the chat's first endpoint redirected the request with reason Overflowed.
	FollowOverflow bool
	// MustDecide disables decisions based on where the chat ran before: redirects with reason Overflowed or NotHere, and
	// the wait for prefix reuse.
	MustDecide bool
	// Exclusive is set when no other request may run on the endpoint at the same time.
	Exclusive bool
	// Resumed is set when the endpoint already runs the request. While this host is the endpoint's keeper, the request is
	// counted and admitted without further checks.
	Resumed bool
	// Fingerprint is a hash of the request's content; requests with the same fingerprint run one after another. 0 disables
	// this.
	Fingerprint uint64
	// reuseWait is set when the request is queued only to reuse its cached prefix: after that time it is redirected.
	reuseWait time.Duration
}

// RequestEnded releases the slot of an admitted request.
type RequestEnded struct{ Ticket Ticket }

// RequestAbandoned removes a request from the queue, or releases its slot if it has been admitted meanwhile.
type RequestAbandoned struct{ Ticket Ticket }

// CacheEvicted means that an endpoint evicted a chat's prefix from its cache.
type CacheEvicted struct {
	Engine engine.ID
	Chat   chat.ID
}

// Ticked is sent periodically. It is the only event on which queue waits, deadlines and observed loads expire.
type Ticked struct{}

func (PoolConfigured) keeperEvent()   {}
func (EngineAssigned) keeperEvent()   {}
func (EngineWithdrawn) keeperEvent()  {}
func (EngineLeaving) keeperEvent()    {}
func (LoadReported) keeperEvent()     {}
func (PoolResized) keeperEvent()      {}
func (LoadGossiped) keeperEvent()     {}
func (LoadObserved) keeperEvent()     {}
func (RequestArrived) keeperEvent()   {}
func (RequestEnded) keeperEvent()     {}
func (RequestAbandoned) keeperEvent() {}
func (CacheEvicted) keeperEvent()     {}
func (Ticked) keeperEvent()           {}

// Command is an output of Keeper.Update: the decision on one request.
type Command interface{ keeperCommand() }

// Admit gives a request a slot on its endpoint.
type Admit struct{ Ticket Ticket }

// RedirectReason is why a keeper redirects a request.
type RedirectReason string

// Reasons for a redirect.
const (
	// OverBound means that the request cannot start now: the endpoint is at its load bound or capacity, has queued requests or
	// runs an exclusive request, or the request is exclusive and others run.
	OverBound RedirectReason = "OverBound"
	// Overflowed means that the chat overflowed before, so that its prefix is expected at its second endpoint.
	Overflowed RedirectReason = "Overflowed"
	// NotHere answers a request with FollowOverflow when the chat's prefix is not at this endpoint either.
	NotHere RedirectReason = "NotHere"
	// NotKeeper means that this host is not the endpoint's keeper.
	NotKeeper RedirectReason = "NotKeeper"
	// Leaving means that the endpoint is draining.
	Leaving RedirectReason = "Leaving"
)

// Redirect declines a request, so that the entry tries another endpoint or, for NotKeeper, another keeper.
type Redirect struct {
	Ticket Ticket
	Reason RedirectReason
	// Load is the endpoint's load, which the entry passes on to the next keeper as LoadObserved. It is set for OverBound.
	Load int
}

// Refuse rejects a request that was not started. The entry does not try other endpoints.
type Refuse struct {
	Ticket     Ticket
	Code       outcome.Code
	RetryAfter time.Duration
}

func (Admit) keeperCommand()    {}
func (Redirect) keeperCommand() {}
func (Refuse) keeperCommand()   {}
