package checker

import "time"

// Time is the time since the start of a run.
type Time = time.Duration

// Kind determines how often a request may be executed. It depends on the route of the request.
type Kind int

// A NonIdempotent request may be executed at most once, an Idempotent one any number of times. A Resumable request is a
// stream that another endpoint may continue after the last event that the caller received.
const (
	NonIdempotent Kind = iota + 1
	Idempotent
	Resumable
)

// AllHosts in place of a host's number means that a fault affects every host.
const AllHosts = -1

// Event is one of the event types of this package: an observation of a caller, an endpoint or the operator, or the start or
// end of an injected fault. Checker.Record ignores other types.
type Event any

// RequestSent records a request. Its caller reports it just before sending the request.
type RequestSent struct {
	Request  string
	Host     int
	Kind     Kind
	Path     string
	Key      string
	Deadline Time
	// Poison is the same for all copies of a request that crashes endpoints, or for all requests with a part of a prompt that does;
	// empty for other requests. PoisonPart is true for the latter.
	Poison     string
	PoisonPart bool
	// TakesUp is the ID of the request that began the stream which this one takes up; empty for other requests.
	TakesUp string
	// SharesPart is true for a request without such a part that shares its other parts with those that have one, unless a surge makes callers ask
	// for more streams than engines have slots.
	SharesPart bool
}

// RequestArrived records that a request reached an endpoint, whether or not the endpoint executes it.
type RequestArrived struct{ Request, Endpoint string }

// LimitChanged records that an endpoint begins to state a limit of PerSecond requests a second in its answers, or another one than before,
// or no longer states one.
type LimitChanged struct {
	Endpoint  string
	Limited   bool
	PerSecond float64
}

// LimitStated records that an endpoint is about to state its limit in an answer.
type LimitStated struct{ Endpoint string }

// ColdStarted records that an endpoint is cold for a time from now on, in which it takes PerSecond requests a second.
type ColdStarted struct {
	Endpoint  string
	For       Time
	PerSecond float64
}

// RestAsked records that an endpoint is about to turn a request away and to ask its host for rest.
type RestAsked struct {
	Request, Endpoint string
	For               time.Duration
}

// LeavingStated records that an endpoint is about to say in an answer that it leaves. LeavingEnded records that it starts anew.
type LeavingStated struct{ Request, Endpoint string }

// LeavingEnded records that an endpoint that said that it leaves starts anew.
type LeavingEnded struct{ Endpoint string }

// BrittleStarted records that all endpoints of a service begin to say that they are brittle.
type BrittleStarted struct {
	Service   string
	Endpoints int
}

// EndpointFell records that a brittle endpoint fell because it had to turn away too many requests.
type EndpointFell struct{ Service, Endpoint string }

// ExecutionStarted records that an endpoint starts to execute a request.
type ExecutionStarted struct {
	Request, Endpoint, Service, Path, Workspace string
}

// StatusSent records the status of an endpoint's response. The endpoint reports it just before sending the response.
type StatusSent struct {
	Request, Endpoint string
	Status            int
}

// ExecutionEnded records that an endpoint finished or aborted the execution of a request.
type ExecutionEnded struct{ Request, Endpoint string }

// RequestCompleted records the result of a request as its caller sees it.
type RequestCompleted struct {
	Request string
	// Status is 0 if the connection ended, or the caller stopped waiting, before the response was complete.
	Status int
	// Seal is the value of the header standin.SealHeader, which endpoints alone add to a response; it is empty if an entry host
	// generated the response.
	Seal string
	// Mixed is true if the response, complete or not, holds events of another version than the one that began the stream.
	Mixed bool
	// Defect describes what is wrong with a response, or with what came of one that broke off; it is empty if that is correct.
	Defect string
}

// CallerDisconnected records that a caller closed its connection before it had received the response.
type CallerDisconnected struct{ Request string }

// ConfigPublished records a new configuration that the store has acknowledged.
type ConfigPublished struct {
	// Keys are the API keys of the new configuration; all others are revoked.
	Keys []string
	// MovedService is the service to which the configuration routes MovedPath.
	MovedService string
}

// EndpointDraining records that the store has acknowledged that an endpoint drains or is no longer registered.
type EndpointDraining struct{ Endpoint string }

// EndpointReady records that an endpoint that was draining is about to be registered as ready again.
type EndpointReady struct{ Endpoint string }

// HostFaultStarted records the start of a fault that affects a host, or every host if Host is AllHosts.
type HostFaultStarted struct{ Host int }

// HostFaultEnded records the end of a fault that HostFaultStarted reported for the same Host.
type HostFaultEnded struct{ Host int }

// EndpointFaultStarted records the start of a fault of an endpoint or of the link to it.
type EndpointFaultStarted struct{ Endpoint string }

// EndpointFaultEnded records the end of a fault that EndpointFaultStarted reported for the same Endpoint.
type EndpointFaultEnded struct{ Endpoint string }

// EndpointLinkFaultStarted records the start of a fault of the link to an endpoint.
type EndpointLinkFaultStarted struct{ Endpoint string }

// EndpointLinkFaultEnded records the end of a fault that EndpointLinkFaultStarted reported for the same Endpoint.
type EndpointLinkFaultEnded struct{ Endpoint string }

// HarnessStalled records that the soak's own process, and with it the callers and endpoints, was not scheduled from Since
// until now. Times measured in that period are not reliable.
type HarnessStalled struct{ Since Time }

// ProcessFailed records that a host's process exited without being stopped, did not exit after SIGTERM, or did not start.
type ProcessFailed struct {
	Host   int
	Reason string
}
