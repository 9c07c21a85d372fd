// Package object defines the objects with which operators configure the fleet (workspaces, services, engine pools and
// policies), parses a set of them from INI, and validates the set as a whole.
package object

import (
	"time"

	"balsamknot.org/fleet/host"
	"balsamknot.org/fleet/keeper"
)

// Kind is the type of an object, as written in the header of its INI section.
type Kind string

// The kinds of objects that a set may hold.
const (
	KindWorkspace  Kind = "Workspace"
	KindService    Kind = "Service"
	KindEnginePool Kind = "EnginePool"
	KindPolicy     Kind = "Policy"
)

// Workspace is a tenant of the fleet: callers authenticate with its bearer key and share its weight and priority.
type Workspace struct {
	Name string
	// KeyHash is the SHA-256 of the bearer key, as 64 lower-case hexadecimal digits.
	KeyHash  string
	Services []string
	// Weight is the workspace's share when requests queue, for example in a surge, relative to other workspaces of
	// the same priority; from 1 to 1000.
	Weight float64
	// Priority orders queued requests before Weight does: higher priorities are served first. From 0 to 9.
	Priority int
	// HomeRegion is the region of the hosts that act as electors for the workspace's idempotency keys. When it is empty, the
	// first region by name among the live hosts is used.
	HomeRegion host.Region
}

// Service is the target of a request: a model, addressed by its name, or a plain HTTP service, addressed by its path.
type Service struct {
	Name   string
	Pool   string
	Policy string
	// Model is the model name in chat requests; empty for a plain service.
	Model string
	// Path is the path prefix of a plain service and starts and ends with a slash; empty for a model.
	Path string
	// Repeatable marks all calls of a plain service as idempotent: they may be retried without an Idempotency-Key, whatever
	// their method.
	Repeatable bool
}

// EnginePool is a group of interchangeable endpoints.
type EnginePool struct {
	Name string
	// Capacity is the maximum number of concurrent requests per endpoint; 0 uses the capacity that the endpoint reports.
	Capacity int
	// Fencing is true when the endpoints check the fencing token of a request. Hosts only store this setting; they send no token.
	Fencing bool
}

// Policy holds the limits, time-outs and objectives for the requests of the services that refer to it.
type Policy struct {
	Name       string
	LoadFactor keeper.LoadFactor
	// ReuseWait is how long a chat request is queued at the engine that has the chat's prefix cached before it is redirected.
	ReuseWait time.Duration
	// SpillDepth is the maximum number of engines that are candidates for a request, in rendezvous order.
	SpillDepth int
	// QueueLimit is the maximum number of requests queued at one endpoint, and QueueWait the maximum time in the queue.
	QueueLimit int
	QueueWait  time.Duration
	// Deadline is the maximum duration of a request, queueing and retries included.
	Deadline time.Duration
	// RetryBudget is the allowed ratio of retries to requests, per workspace.
	RetryBudget float64
	// FirstToken and Answer are the latency objectives for the first byte and for the whole answer; Objective is the
	// fraction of requests that must meet them.
	FirstToken time.Duration
	Answer     time.Duration
	Objective  float64
}

// Objects is a complete set; each map is keyed by the object's name.
type Objects struct {
	Workspaces  map[string]Workspace
	Services    map[string]Service
	EnginePools map[string]EnginePool
	Policies    map[string]Policy
}

// PoolConfig returns the keeper's configuration for a pool. The policy is that of the first service, in order of name, that
// uses the pool; a pool that no service uses gets a load factor of 1, no reuse wait and no queue.
func (o *Objects) PoolConfig(pool string) keeper.PoolConfig {
	cfg := keeper.PoolConfig{Capacity: o.EnginePools[pool].Capacity, LoadFactor: 1}
	service, ok := o.firstServiceOfPool(pool)
	if !ok {
		return cfg
	}
	policy := o.Policies[service.Policy]
	cfg.LoadFactor = policy.LoadFactor
	cfg.ReuseWait = policy.ReuseWait
	cfg.QueueLimit = policy.QueueLimit
	cfg.QueueWait = policy.QueueWait
	cfg.Bounded = service.Model != ""
	return cfg
}

// firstServiceOfPool returns the service with the lowest name that uses the pool, and false if none does.
func (o *Objects) firstServiceOfPool(pool string) (Service, bool) {
	var first Service
	for _, service := range o.Services {
		if service.Pool == pool && (first.Name == "" || service.Name < first.Name) {
			first = service
		}
	}
	return first, first.Name != ""
}
