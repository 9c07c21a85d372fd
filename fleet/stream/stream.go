// Package stream records which software version of a service's endpoints began each stream. What two versions write does not fit together,
// so that a stream that broke off may only go on at the version that began it, also when its caller takes it up at another host.
//
// While a service has one version, no origins are exchanged between hosts: any stream began there. Once it has several, the host that begins a
// stream sends its origin to a few others, its replicas, which follow from the stream's ID: a host that needs the origin asks them.
package stream

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"balsamknot.org/fleet/endpoint"
	"balsamknot.org/fleet/site"
)

// ID identifies a stream: a hash of the ID of the request that brought its first event.
type ID uint64

// IDOf returns the ID of the stream that the request with an ID began; 0 for an empty one.
func IDOf(requestID string) ID {
	if requestID == "" {
		return 0
	}
	return ID(xxhash.Sum64String(requestID))
}

// Origin is the version at which a stream of a service began.
type Origin struct {
	Stream  ID
	Service site.ServiceName
	Version endpoint.Version
}

// Lifetime is how long an origin is kept, and how long a version counts that is no longer registered. It exceeds the time for which callers
// take up a stream.
const Lifetime = 30 * time.Second

// Event is an input of Registry.Update.
type Event interface{ event() }

// Registered reports a new or changed registration of an endpoint.
type Registered struct{ Record endpoint.Record }

// Removed reports that an endpoint is no longer registered.
type Removed struct{ ID endpoint.ID }

// Begun reports that a caller of this host got the first event of a stream, or took the stream up here.
type Begun struct{ Origin Origin }

// Received reports an origin that another host sent.
type Received struct{ Origin Origin }

// Tick is sent periodically to remove what is older than Lifetime.
type Tick struct{}

func (Registered) event() {}
func (Removed) event()    {}
func (Begun) event()      {}
func (Received) event()   {}
func (Tick) event()       {}

// Commands is what Registry.Update asks for.
type Commands struct {
	// Origins are to be sent to their replicas.
	Origins []Origin
	// Conflicts are to be logged.
	Conflicts []Conflict
}

// Conflict is an origin that was not recorded, since the stream's origin is known and another one.
type Conflict struct {
	Known, Rejected Origin
}

// Registry holds the origins that this host knows and the versions of each service. It is not safe for concurrent use.
type Registry struct {
	startedAt time.Time
	origins   map[ID]entry
	// order holds the streams in the order in which they were recorded.
	order     []ID
	services  map[site.ServiceName]*versions
	endpoints map[endpoint.ID]endpoint.Record
}

// entry is a recorded origin. local is true if the stream began at this host and its origin was not sent to its replicas.
type entry struct {
	origin     Origin
	recordedAt time.Time
	local      bool
}

// versions holds when each version of a service was last registered.
type versions struct {
	lastSeen map[endpoint.Version]time.Time
}

// NewRegistry returns an empty registry of a process that starts now.
func NewRegistry(now time.Time) *Registry {
	return &Registry{
		startedAt: now, origins: make(map[ID]entry), services: make(map[site.ServiceName]*versions), endpoints: make(map[endpoint.ID]endpoint.Record),
	}
}

// Update applies one event at time now and returns what is to be done. It does no I/O and starts no goroutine.
func (r *Registry) Update(now time.Time, event Event) Commands {
	switch e := event.(type) {
	case Registered:
		r.noteLastSeen(now, e.Record.Instance.ID)
		r.endpoints[e.Record.Instance.ID] = e.Record
		r.service(e.Record.Service).lastSeen[e.Record.Version] = now
		if r.several(now, e.Record.Service) {
			return r.takeLocal(e.Record.Service)
		}
	case Removed:
		r.noteLastSeen(now, e.ID)
		delete(r.endpoints, e.ID)
	case Begun:
		return r.begin(now, e)
	case Received:
		return Commands{Conflicts: r.record(entry{origin: e.Origin, recordedAt: now})}
	case Tick:
		r.expire(now)
	}
	return Commands{}
}

// begin records an origin of this host, and returns it if its replicas need it.
func (r *Registry) begin(now time.Time, e Begun) Commands {
	several := r.several(now, e.Origin.Service)
	conflicts := r.record(entry{origin: e.Origin, recordedAt: now, local: !several})
	if len(conflicts) > 0 || !several {
		return Commands{Conflicts: conflicts}
	}
	return Commands{Origins: []Origin{e.Origin}}
}

// noteLastSeen notes that the version of an endpoint's registration, if there is one, was registered until now.
func (r *Registry) noteLastSeen(now time.Time, id endpoint.ID) {
	if record, known := r.endpoints[id]; known {
		r.service(record.Service).lastSeen[record.Version] = now
	}
}

func (r *Registry) service(name site.ServiceName) *versions {
	v := r.services[name]
	if v == nil {
		v = &versions{lastSeen: make(map[endpoint.Version]time.Time)}
		r.services[name] = v
	}
	return v
}

// record records an origin, unless another one is known: the first one was recorded nearer to the stream's begin. It returns the conflict.
func (r *Registry) record(e entry) []Conflict {
	before, known := r.origins[e.origin.Stream]
	if known && before.origin.Version != e.origin.Version {
		return []Conflict{{Known: before.origin, Rejected: e.origin}}
	}
	if !known {
		r.order = append(r.order, e.origin.Stream)
	}
	r.origins[e.origin.Stream] = e
	return nil
}

// takeLocal returns the origins of a service that were not sent to their replicas, as if they had been.
func (r *Registry) takeLocal(service site.ServiceName) Commands {
	var out Commands
	for _, id := range r.order {
		if e := r.origins[id]; e.local && e.origin.Service == service {
			out.Origins = append(out.Origins, e.origin)
			e.local = false
			r.origins[id] = e
		}
	}
	return out
}

// expire removes the origins and versions that are older than Lifetime. An origin that was recorded again is kept until it is the first
// in order again.
func (r *Registry) expire(now time.Time) {
	for _, record := range r.endpoints {
		r.service(record.Service).lastSeen[record.Version] = now
	}
	for name, v := range r.services {
		for version, at := range v.lastSeen {
			if now.Sub(at) > Lifetime {
				delete(v.lastSeen, version)
			}
		}
		if len(v.lastSeen) == 0 {
			delete(r.services, name)
		}
	}
	old := 0
	for old < len(r.order) && now.Sub(r.origins[r.order[old]].recordedAt) > Lifetime {
		delete(r.origins, r.order[old])
		old++
	}
	r.order = slices.Delete(r.order, 0, old)
}

// Origin returns the version that began a stream, if this host knows it.
func (r *Registry) Origin(id ID) (endpoint.Version, bool) {
	e, ok := r.origins[id]
	return e.origin.Version, ok
}

// Versions returns how many versions of a service were registered within Lifetime, as far as this host knows, and one of them.
func (r *Registry) Versions(now time.Time, service site.ServiceName) (count int, version endpoint.Version) {
	v := r.services[service]
	if v == nil {
		return 0, ""
	}
	for candidate, at := range v.lastSeen {
		if now.Sub(at) <= Lifetime {
			count++
			version = candidate
		}
	}
	return count, version
}

func (r *Registry) several(now time.Time, service site.ServiceName) bool {
	count, _ := r.Versions(now, service)
	return count > 1
}

// SeenAll reports whether this process has run for Lifetime, so that it has seen all versions that count.
func (r *Registry) SeenAll(now time.Time) bool { return now.Sub(r.startedAt) >= Lifetime }

// Len returns the number of origins that are known.
func (r *Registry) Len() int { return len(r.origins) }
