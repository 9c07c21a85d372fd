// Package site holds what the operator has published for a whole site: routes, services, workspaces and limits,
// as one set with a version.
package site

import (
	"strings"
	"time"

	"balsamknot.org/fleet/placement"
)

// Names that objects of a set refer to each other by.
type (
	// RouteName names a route.
	RouteName string
	// ServiceName names a service.
	ServiceName string
	// WorkspaceName names a workspace.
	WorkspaceName string
	// Key is the secret by which a caller proves its workspace.
	Key string
	// Version orders sets; versions grow in uneven steps.
	Version int64
)

// Repeat says what may be done with a request more than once.
type Repeat int

// Kinds of repetition.
const (
	// Never means that a request runs at most once.
	Never Repeat = iota
	// Again means that a request may run more than once.
	Again
	// Resume means that an answer may go on at another endpoint behind its last event.
	Resume
)

// Share is one service of a split route; weights are relative.
type Share struct {
	Service ServiceName
	Weight  int
}

// Route leads the requests of a host and path to a service.
type Route struct {
	Name   RouteName
	Host   string
	Prefix string
	// Streaming is true where answers are series of events.
	Streaming bool
	Repeat    Repeat
	// Timeout is the longest time that a request may wait for its whole answer; 0 is none.
	Timeout time.Duration
	// Objective is the time to the answer, or to its first event, that callers expect.
	Objective time.Duration
	// Pause is the longest time between two events that is still good; 0 for routes without events.
	Pause time.Duration
	// Rank orders requests under load, 0 first.
	Rank int
	// Endpoints is how many endpoints may run one request.
	Endpoints int
	// Public routes need no key.
	Public bool
	// Prefixed routes carry the parts of their prompts.
	Prefixed bool
	// Shares holds one entry, or several when the route is split.
	Shares []Share
}

// Service is a group of endpoints that serve the same.
type Service struct {
	Name ServiceName
	// HealthPath is where an endpoint tells whether it is well.
	HealthPath string
	// Connections bounds the connections that an endpoint accepts from all callers together.
	Connections int
	// Engine is nil for plain services.
	Engine *Engine
}

// Engine is what the set says of a service's model engines.
type Engine struct {
	// Places is how many requests an engine runs at once.
	Places int
	// Tokens is the memory of an engine, in tokens.
	Tokens int
	// Transfers is true when engines hand parts to each other.
	Transfers bool
	// Listeners is how many callers may wait for an engine's cache events at once.
	Listeners int
}

// Workspace is a caller's account.
type Workspace struct {
	Name WorkspaceName
	// Rank goes before the route's where Ranked is true.
	Rank   int
	Ranked bool
}

// Limits bound what a caller may send, and how long it may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Set is one version of all objects. It is not changed after Index.
type Set struct {
	Version    Version
	Routes     []Route
	Services   map[ServiceName]Service
	Workspaces map[WorkspaceName]Workspace
	// Keys holds each key's workspace. Without any workspace, callers need no key.
	Keys   map[Key]WorkspaceName
	Limits Limits

	byHost map[string][]int
}

// Index prepares the set for Match.
func (s *Set) Index() {
	s.byHost = make(map[string][]int)
	for i := range s.Routes {
		host := strings.ToLower(s.Routes[i].Host)
		s.byHost[host] = append(s.byHost[host], i)
	}
}

// Match returns the route of the host whose prefix is the longest that begins the path.
func (s *Set) Match(host, path string) (*Route, bool) {
	name := strings.ToLower(host)
	routes, known := s.byHost[name]
	if !known {
		if at := strings.LastIndexByte(name, ':'); at >= 0 {
			routes = s.byHost[name[:at]]
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

// Service returns the service that takes a request of the route. The same request, by its id, always gets the same.
func (r *Route) Service(request string) ServiceName {
	if len(r.Shares) == 1 {
		return r.Shares[0].Service
	}
	total := 0
	for _, share := range r.Shares {
		total += max(share.Weight, 0)
	}
	if total == 0 {
		return ""
	}
	at := int(placement.Score(request, string(r.Name)) % uint64(total))
	for _, share := range r.Shares {
		at -= max(share.Weight, 0)
		if at < 0 {
			return share.Service
		}
	}
	return ""
}

// Rank returns the rank of a workspace's request on the route, 0 first.
func (s *Set) Rank(r *Route, name WorkspaceName) int {
	if w, ok := s.Workspaces[name]; ok && w.Ranked {
		return w.Rank
	}
	return r.Rank
}
