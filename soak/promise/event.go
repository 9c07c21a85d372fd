package promise

import "time"

// Time counts from the start of a run.
type Time = time.Duration

// Kind says how often a request may run.
type Kind int

// Once means at most once, Again any number of times, Stream again from where the caller stands.
const (
	Once Kind = iota + 1
	Again
	Stream
)

// All in place of a host means every host.
const All = -1

// Event is something that callers, endpoints or the operator saw, or a fault that began or ended.
type Event any

// Sent is a caller's request, just before it is sent.
type Sent struct {
	Request  string
	Host     int
	Kind     Kind
	Path     string
	Key      string
	Deadline Time
}

// Ran is a request that an endpoint begins to work on.
type Ran struct {
	Request, Endpoint, Service, Path, Workspace string
}

// Gave is the status that an endpoint gives, just before it does; Ended that it works on the request no more.
type Gave struct {
	Request, Endpoint string
	Status            int
}

// Ended is the end of an endpoint's work on a request.
type Ended struct{ Request, Endpoint string }

// Answered is the end of a request as its caller sees it.
type Answered struct {
	Request string
	// Status is 0 when the connection ended without a whole answer.
	Status int
	// Seal is the seal of an endpoint; empty when the system answered.
	Seal string
	// Wrong says what is wrong with an answer that looks whole; empty for nothing.
	Wrong string
}

// Left is a caller who closes the connection before the answer.
type Left struct{ Request string }

// Published is a set that the store has acknowledged. Keys are those that are good from now on.
type Published struct {
	Keys []string
	// Moved is the service to which the route MovedPath leads.
	Moved string
}

// Leaving is an endpoint whose leaving the store has acknowledged, Returned one that is registered again.
type Leaving struct{ Endpoint string }

// Returned is an endpoint that is registered as ready.
type Returned struct{ Endpoint string }

// Disturbed begins a fault that concerns a host, or All; Calmed ends it.
type Disturbed struct{ Host int }

// Calmed ends a fault.
type Calmed struct{ Host int }

// EndpointDisturbed begins a fault of an endpoint or its link; EndpointCalmed ends it.
type EndpointDisturbed struct{ Endpoint string }

// EndpointCalmed ends a fault of an endpoint.
type EndpointCalmed struct{ Endpoint string }

// Stalled tells that the soak itself did not run as it should since a time.
type Stalled struct{ Since Time }

// ProcessEnded is a host's process that ended without being told to, or not when it should have.
type ProcessEnded struct {
	Host int
	Why  string
}
