// Package pool schedules requests onto the endpoints of a service. For each service one host is the keeper, the host that
// decides which endpoint a request gets. All entries request slots from it, a slot being the right to run one request at
// an endpoint. The keeper therefore has exact counts, one record of which engine caches which part of a prompt, and one
// retry budget. Request and answer bytes do not pass through it. When no keeper replies, the entry chooses the endpoint
// itself, with the Keeper of its own process. Package keeper is the counterpart for the hosts of balsamknot.
package pool

import (
	"time"

	"balsamknot.org/fleet/chat"
	"balsamknot.org/fleet/endpoint"
	"balsamknot.org/fleet/host"
	"balsamknot.org/fleet/site"
)

// Config holds the limits that a keeper enforces.
type Config struct {
	// LoadFactor limits the requests running at an endpoint to LoadFactor times the mean number running at an endpoint of its
	// service, plus loadMargin.
	LoadFactor float64
	// RetryRatio and RetrySlack limit the retries of a service within RetryWindow to RetryRatio times its requests, plus
	// RetrySlack.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// ColdFactor and ColdSlack limit the requests that a cold endpoint gets within a second to ColdFactor times the ColdRate of its service, plus
	// ColdSlack.
	ColdFactor float64
	ColdSlack  float64
	// ColdBound says at which endpoints that limit holds in any case. Others get more if none has room within it.
	ColdBound ColdBound
}

// ColdBound is where the limit for cold endpoints holds in any case.
type ColdBound string

// Values of ColdBound.
const (
	// ColdBoundKnown is at endpoints that are known to be cold, or may have restarted a moment ago.
	ColdBoundKnown ColdBound = "Known"
	// ColdBoundAll is at all endpoints, since any may have become cold unannounced.
	ColdBoundAll ColdBound = "All"
)

// Keeper is the scheduling state for the services of a site. It is not safe for concurrent use.
type Keeper struct {
	cfg      Config
	services map[site.ServiceName]*service
	// serviceByEndpoint holds the service of each registered endpoint.
	serviceByEndpoint map[endpoint.ID]site.ServiceName
	// reachableShare is FleetCounted.ReachableShare.
	reachableShare float64
	// evacuated holds the data centres that the operator evacuates.
	evacuated map[host.DataCentre]bool
	// startedAt is the time of the first event.
	startedAt time.Time
	// createdAt is PastRead.CreatedAt.
	createdAt map[endpoint.Instance]int64
}

// New returns a keeper without services and endpoints.
func New(cfg Config) *Keeper {
	return &Keeper{
		cfg: cfg, services: make(map[site.ServiceName]*service), serviceByEndpoint: make(map[endpoint.ID]site.ServiceName), reachableShare: 1,
		evacuated: make(map[host.DataCentre]bool),
	}
}

// Update applies one event at time now and returns the resulting commands.
// It does no I/O and starts no goroutine.
func (k *Keeper) Update(now time.Time, event Event) []Command {
	if k.startedAt.IsZero() {
		k.startedAt = now
	}
	switch e := event.(type) {
	case SlotRequested:
		return k.service(e.Service).request(now, e)
	case SlotReleased:
		if e.Service == "" {
			return k.forEachService(func(s *service) []Command { return s.release(now, e) })
		}
		return k.service(e.Service).release(now, e)
	case SlotHeld:
		k.service(e.Service).adoptSlot(now, e)
	case CacheUpdated:
		k.service(e.Service).applyCacheUpdate(now, e)
	case CacheListed, PartQueried, ListsNeeded, PastRead:
		return k.list(now, e)
	case LimitReported, StatementReported, BudgetShared:
		return k.report(now, e)
	case FleetCounted:
		k.setReachableShare(e.ReachableShare)
	case ConfigChanged:
		k.setConfig(now, e.Config)
	case ServiceChanged:
		k.service(e.Service.Name).configure(now, e.Service)
	case EndpointRegistered, EndpointRemoved, DataCentreEvacuated:
		return k.follow(now, e)
	case HostRemoved:
		return k.forEachService(func(s *service) []Command { return s.releaseHost(now, e.Host) })
	case Tick:
		return k.forEachService(func(s *service) []Command { return s.tick(now) })
	}
	return nil
}

// list processes the events of the cache listing, and of what was cached before this host started.
func (k *Keeper) list(now time.Time, event Event) []Command {
	switch e := event.(type) {
	case CacheListed:
		return k.service(e.Service).cacheListed(now, e)
	case PartQueried:
		return k.service(e.Lookup.Service).queryPart(now, e)
	case ListsNeeded:
		return k.service(e.Service).listVersions(now)
	case PastRead:
		k.readPast(now, e)
	}
	return nil
}

// follow applies a change of the registered endpoints or of evacuations.
func (k *Keeper) follow(now time.Time, event Event) []Command {
	switch e := event.(type) {
	case EndpointRegistered:
		return k.register(now, e.Record)
	case EndpointRemoved:
		return k.unregister(now, e.ID)
	case DataCentreEvacuated:
		return k.evacuate(now, e)
	}
	return nil
}

// report applies what an answer says of its endpoint, or another host of the retry budget.
func (k *Keeper) report(now time.Time, event Event) []Command {
	switch e := event.(type) {
	case LimitReported:
		return k.service(e.Service).reportLimit(now, e)
	case StatementReported:
		return k.service(e.Service).reportStatement(now, e)
	case BudgetShared:
		k.service(e.Service).budget.note(now, e.Granted)
	}
	return nil
}

func (k *Keeper) setConfig(now time.Time, cfg Config) {
	k.cfg = cfg
	for _, s := range k.services {
		s.cfg, s.budget.cfg = cfg, cfg
		s.setCold(now, newColdBound(cfg, s.site))
	}
}

func (k *Keeper) setReachableShare(share float64) {
	k.reachableShare = share
	for _, s := range k.services {
		s.reachableShare = share
	}
}

// service returns the state of a service, which it creates on first use.
func (k *Keeper) service(name site.ServiceName) *service {
	s := k.services[name]
	if s == nil {
		s = newService(name, k.cfg)
		s.reachableShare, s.evacuated, s.startedAt, s.createdAt = k.reachableShare, k.evacuated, k.startedAt, k.createdAt
		k.services[name] = s
	}
	return s
}

// forEachService calls do for all services in order of name and joins the commands.
func (k *Keeper) forEachService(do func(*service) []Command) []Command {
	var commands []Command
	for _, name := range sortedKeys(k.services) {
		commands = append(commands, do(k.services[name])...)
	}
	return commands
}

// register adds an endpoint to its service and removes it from the one for which it was registered before.
func (k *Keeper) register(now time.Time, r endpoint.Record) []Command {
	if old, ok := k.serviceByEndpoint[r.Instance.ID]; ok && old != r.Service {
		k.service(old).remove(now, r.Instance.ID)
	}
	k.serviceByEndpoint[r.Instance.ID] = r.Service
	return k.service(r.Service).add(now, r)
}

func (k *Keeper) unregister(now time.Time, id endpoint.ID) []Command {
	service, ok := k.serviceByEndpoint[id]
	if !ok {
		return nil
	}
	delete(k.serviceByEndpoint, id)
	k.service(service).remove(now, id)
	return nil
}

// Usable reports whether a request with a slot at the instance may still be sent there: it is registered and takes requests.
func (k *Keeper) Usable(instance endpoint.Instance) bool {
	st := k.state(instance.ID)
	return st != nil && st.record.Instance == instance && st.takesRequests()
}

// Record returns the registration of an instance. The second result is false if the endpoint is not registered, or registered
// with another instance.
func (k *Keeper) Record(instance endpoint.Instance) (endpoint.Record, bool) {
	st := k.state(instance.ID)
	if st == nil || st.record.Instance != instance {
		return endpoint.Record{}, false
	}
	return st.record, true
}

// RegisteredInstance returns the currently registered instance of an endpoint.
func (k *Keeper) RegisteredInstance(id endpoint.ID) (endpoint.Instance, bool) {
	st := k.state(id)
	if st == nil {
		return endpoint.Instance{}, false
	}
	return st.record.Instance, true
}

// Address returns the ip:port of an endpoint; empty when it is not registered.
func (k *Keeper) Address(id endpoint.ID) string {
	if st := k.state(id); st != nil {
		return st.record.Address
	}
	return ""
}

// state returns the state of a registered endpoint; nil if it is not registered.
func (k *Keeper) state(id endpoint.ID) *endpointState {
	service, ok := k.serviceByEndpoint[id]
	if !ok {
		return nil
	}
	return k.service(service).endpoints[id]
}

// Services returns the names of the services, in order.
func (k *Keeper) Services() []site.ServiceName { return sortedKeys(k.services) }

// LastEndpoint returns the endpoint that last served a prompt with the same shared prefix; empty when none is known.
func (k *Keeper) LastEndpoint(now time.Time, name site.ServiceName, p chat.Prompt) endpoint.ID {
	return k.service(name).lastEndpoint(now, p)
}

// Queued returns the number of queued requests.
func (k *Keeper) Queued() int {
	n := 0
	for _, s := range k.services {
		n += s.queue.len()
	}
	return n
}

// Running returns the number of requests that hold a slot.
func (k *Keeper) Running() int {
	n := 0
	for _, s := range k.services {
		n += len(s.heldSlots)
	}
	return n
}
