// Package object holds the named objects by which operators describe the fleet, and checks them as one set.
package object

import (
	"time"

	"balsamknot.org/fleet/host"
	"balsamknot.org/fleet/keeper"
)

// Kind names a kind of object.
type Kind string

// Kinds of objects.
const (
	KindWorkspace  Kind = "Workspace"
	KindService    Kind = "Service"
	KindEnginePool Kind = "EnginePool"
	KindPolicy     Kind = "Policy"
)

// Workspace is a customer of the fleet.
type Workspace struct {
	Name string
	// KeyHash is the SHA-256 of the bearer key, in hexadecimal.
	KeyHash  string
	Services []string
	// Weight is the share in a closing surge against other workspaces; at least 1.
	Weight float64
	// Priority goes before weight: a higher one is served first. From 0 to 9.
	Priority int
	// HomeRegion is where the electors of the workspace's keys stand; empty for all regions.
	HomeRegion host.Region
}

// Service is what callers address: a model by name or a plain service by path.
type Service struct {
	Name   string
	Pool   string
	Policy string
	// Model is the model name in chat requests; empty for a plain service.
	Model string
	// Path is the path prefix of a plain service, with a slash at both ends; empty for a model.
	Path string
	// Repeatable is true when every call of a plain service may be repeated without an Idempotency-Key.
	Repeatable bool
}

// EnginePool is a group of endpoints that serve the same.
type EnginePool struct {
	Name string
	// Capacity bounds the requests that an endpoint runs at once; 0 leaves it to the endpoint's report.
	Capacity int
	// Fencing is true when the endpoints check the fencing number of an order.
	Fencing bool
}

// Policy says how requests of services are treated.
type Policy struct {
	Name       string
	LoadFactor keeper.LoadFactor
	// ReuseWait is how long a chat waits for the engine that holds its prefix.
	ReuseWait time.Duration
	// SpillDepth is how many engines a chat tries.
	SpillDepth int
	QueueLimit int
	QueueWait  time.Duration
	// Deadline is how long a request may take in all.
	Deadline time.Duration
	// RetryBudget is the share of requests that may be tried again.
	RetryBudget float64
	// FirstToken and Answer are the objectives in time, Objective the share that must meet them.
	FirstToken time.Duration
	Answer     time.Duration
	Objective  float64
}

// Objects is a whole set.
type Objects struct {
	Workspaces  map[string]Workspace
	Services    map[string]Service
	EnginePools map[string]EnginePool
	Policies    map[string]Policy
}

// PoolConfig returns how the keeper treats a pool: the policy of the first service by name that uses it.
func (o *Objects) PoolConfig(pool string) keeper.PoolConfig {
	cfg := keeper.PoolConfig{Capacity: o.EnginePools[pool].Capacity, LoadFactor: 1}
	service, ok := o.serviceOf(pool)
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

func (o *Objects) serviceOf(pool string) (Service, bool) {
	var found Service
	for _, service := range o.Services {
		if service.Pool == pool && (found.Name == "" || service.Name < found.Name) {
			found = service
		}
	}
	return found, found.Name != ""
}
