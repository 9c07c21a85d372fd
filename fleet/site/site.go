// Package site holds the configuration that the operator publishes for a whole site: routes, services, workspaces and
// limits, as one versioned set.
package site

import (
	"strings"
	"time"

	"balsamknot.org/fleet/host"
	"balsamknot.org/fleet/placement"
)

// Types of names and keys in a set, and of the set's version.
type (
	// RouteName is unique within a set.
	RouteName string
	// ServiceName is the name under which endpoints register for a service.
	ServiceName string
	// WorkspaceName is unique within a set.
	WorkspaceName string
	// APIKey is the secret by which a caller authenticates for its workspace.
	APIKey string
	// Version orders sets; it increases with each set, by any number.
	Version int64
)

// RetryMode determines whether a request may be sent to another endpoint after it may have run at one.
type RetryMode int

// Retry modes of a route.
const (
	// NonIdempotent means that a request may run at most once.
	NonIdempotent RetryMode = iota
	// Idempotent means that a request may run more than once.
	Idempotent
	// Resumable means that a broken stream may be continued at another endpoint after the last event that was received.
	Resumable
)

// Backend is one of the services that share a route. Weights are relative to their sum.
type Backend struct {
	Service ServiceName
	Weight  int
}

// Route assigns the requests of a host and path prefix to a service.
type Route struct {
	Name   RouteName
	Host   string
	Prefix string
	// Streaming is true when answers are event streams.
	Streaming bool
	RetryMode RetryMode
	// Timeout limits the time until the answer is complete; 0 means no limit.
	Timeout time.Duration
	// Objective is the latency objective: the time to the answer or, for streams, to the first event.
	Objective time.Duration
	// MaxEventGap is the objective for the longest time between two events of a stream; 0 for routes without streams.
	MaxEventGap time.Duration
	// FirstEventPatience is how long callers wait for a stream's first event; 0 for routes without streams.
	FirstEventPatience time.Duration
	// Priority orders requests under load; 0 is the highest.
	Priority int
	// MaxEndpoints limits the number of endpoints to which one request may be sent.
	MaxEndpoints int
	// Public is true when callers need no API key.
	Public bool
	// PrefixAffinity is true when requests carry the parts of their prompts, for routing by cached prefix.
	PrefixAffinity bool
	// Backends has one element, or several when the route is split between services.
	Backends []Backend
	// Homes lists the only regions in which the route's requests may run; empty if any will do.
	Homes []host.Region
}

// Service is a group of interchangeable endpoints.
type Service struct {
	Name ServiceName
	// HealthPath is the path of an endpoint's health check.
	HealthPath string
	// MaxConnections limits the connections that an endpoint accepts from all clients together.
	MaxConnections int
	// ColdTime is how long an endpoint is cold after it starts while requests are served, and ColdRate how many requests a second it then takes
	// from all hosts together; 0 if there is no such bound.
	ColdTime time.Duration
	ColdRate float64
	// Engine is nil for plain services, which have no model engines.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that an engine runs at the same time.
	Slots int
	// CacheTokens is the KV cache capacity of an engine, in tokens.
	CacheTokens int
	// CacheTransfer is true when engines can fetch cached parts of prompts from each other.
	CacheTransfer bool
	// MaxEventSubscribers limits the clients that may wait for an engine's cache events at the same time.
	MaxEventSubscribers int
}

// Workspace is the account to which callers belong.
type Workspace struct {
	Name WorkspaceName
	// Priority replaces the route's priority when HasPriority is true.
	Priority    int
	HasPriority bool
	// Homes lists the only regions in which the workspace's requests may run; empty if any will do.
	Homes []host.Region
}

// Limits bound the size of a caller's request, the time to send its headers and the time that a connection may be idle.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Set is one version of the configuration. It must not be changed after Index.
type Set struct {
	Version    Version
	Routes     []Route
	Services   map[ServiceName]Service
	Workspaces map[WorkspaceName]Workspace
	// Keys maps each API key to its workspace. If Workspaces is empty, callers need no key.
	Keys   map[APIKey]WorkspaceName
	Limits Limits

	byHost map[string][]int
}

// Index builds the table of routes by host. It must be called before Match.
func (s *Set) Index() {
	s.byHost = make(map[string][]int)
	for i := range s.Routes {
		host := strings.ToLower(s.Routes[i].Host)
		s.byHost[host] = append(s.byHost[host], i)
	}
}

// Match returns the route with the longest prefix of the path among those of the host. Hosts are compared without regard
// to case, and without the port if no route has a host with that port. The second result is false when no route matches.
func (s *Set) Match(host, path string) (*Route, bool) {
	name := strings.ToLower(host)
	routes, known := s.byHost[name]
	if !known {
		if colon := strings.LastIndexByte(name, ':'); colon >= 0 {
			routes = s.byHost[name[:colon]]
		}
	}
	best := -1
	for _, i := range routes {
		prefix := s.Routes[i].Prefix
		if strings.HasPrefix(path, prefix) && (best < 0 || len(prefix) > len(s.Routes[best].Prefix)) {
			best = i
		}
	}
	if best < 0 {
		return nil, false
	}
	return &s.Routes[best], true
}

// Service returns the service for a request of the route, chosen by weight and by a hash of the request ID: the same ID
// gets the same service as long as the backends do not change. It returns "" when a split route has no positive weight.
func (r *Route) Service(requestID string) ServiceName {
	if len(r.Backends) == 1 {
		return r.Backends[0].Service
	}
	total := 0
	for _, backend := range r.Backends {
		total += max(backend.Weight, 0)
	}
	if total == 0 {
		return ""
	}
	remaining := int(placement.Score(requestID, string(r.Name)) % uint64(total))
	for _, backend := range r.Backends {
		remaining -= max(backend.Weight, 0)
		if remaining < 0 {
			return backend.Service
		}
	}
	return ""
}

// Priority returns the priority of a request on the route: that of the workspace if it has one, else that of the route. 0 is
// the highest.
func (s *Set) Priority(r *Route, name WorkspaceName) int {
	if w, ok := s.Workspaces[name]; ok && w.HasPriority {
		return w.Priority
	}
	return r.Priority
}
