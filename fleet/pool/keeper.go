// Package pool decides which endpoint of a service gets a request. One host keeps a service: all entries ask it for
// places, so that its counts are exact, it knows which engine holds which part of a prompt, and the retry budget is one.
// Bytes never pass it. An entry whose keeper does not answer decides with a keeper of its own.
package pool

import (
	"time"

	"balsamknot.org/fleet/chat"
	"balsamknot.org/fleet/endpoint"
	"balsamknot.org/fleet/site"
)

// Config is what a keeper is built from.
type Config struct {
	// LoadFactor bounds an engine's requests: at most LoadFactor times the mean of its service, plus boundMargin.
	LoadFactor float64
	// RetryRatio and RetrySlack bound the repeats of a service in RetryWindow: ratio times its requests, plus the slack.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
}

// Keeper is the decision state for the services of a site. It is not safe for concurrent use.
type Keeper struct {
	cfg      Config
	services map[site.ServiceName]*service
	// homes holds the service of each registered endpoint.
	homes map[endpoint.ID]site.ServiceName
}

// New returns a keeper that knows nothing.
func New(cfg Config) *Keeper {
	return &Keeper{
		cfg: cfg, services: make(map[site.ServiceName]*service), homes: make(map[endpoint.ID]site.ServiceName),
	}
}

// Update applies one event at time now and returns the commands that follow from it.
// It does no I/O and starts no goroutine.
func (k *Keeper) Update(now time.Time, event Event) []Command {
	switch e := event.(type) {
	case Asked:
		return k.service(e.Service).ask(now, e)
	case Ended:
		if e.Service == "" {
			return k.each(func(s *service) []Command { return s.end(now, e) })
		}
		return k.service(e.Service).end(now, e)
	case Held:
		k.service(e.Service).hold(now, e)
	case Learned:
		k.service(e.Service).learn(now, e)
	case Listed:
		return k.service(e.Service).listed(now, e)
	case Configured:
		k.cfg = e.Config
		for _, s := range k.services {
			s.cfg, s.budget.cfg = e.Config, e.Config
		}
	case ServiceSeen:
		k.service(e.Service.Name).configure(e.Service)
	case EndpointSeen:
		return k.register(now, e.Record)
	case EndpointGone:
		return k.withdraw(e.ID)
	case HostLost:
		return k.each(func(s *service) []Command { return s.forgetHost(now, e.Host) })
	case Ticked:
		return k.each(func(s *service) []Command { return s.tick(now) })
	}
	return nil
}

func (k *Keeper) service(name site.ServiceName) *service {
	s := k.services[name]
	if s == nil {
		s = newService(name, k.cfg)
		k.services[name] = s
	}
	return s
}

func (k *Keeper) each(do func(*service) []Command) []Command {
	var commands []Command
	for _, name := range sortedKeys(k.services) {
		commands = append(commands, do(k.services[name])...)
	}
	return commands
}

func (k *Keeper) register(now time.Time, r endpoint.Record) []Command {
	if home, ok := k.homes[r.Instance.ID]; ok && home != r.Service {
		k.service(home).remove(r.Instance.ID)
	}
	k.homes[r.Instance.ID] = r.Service
	return k.service(r.Service).add(now, r)
}

func (k *Keeper) withdraw(id endpoint.ID) []Command {
	home, ok := k.homes[id]
	if !ok {
		return nil
	}
	delete(k.homes, id)
	k.service(home).remove(id)
	return nil
}

// Usable reports whether an endpoint may still get a request that was placed there: the instance is registered and not leaving.
func (k *Keeper) Usable(instance endpoint.Instance) bool {
	record, ok := k.Record(instance)
	return ok && !record.Leaving
}

// Record returns what an endpoint registered, if that instance is registered.
func (k *Keeper) Record(instance endpoint.Instance) (endpoint.Record, bool) {
	if now, ok := k.Registered(instance.ID); !ok || now != instance {
		return endpoint.Record{}, false
	}
	return k.service(k.homes[instance.ID]).seats[instance.ID].record, true
}

// Registered returns the instance of an endpoint that is registered.
func (k *Keeper) Registered(id endpoint.ID) (endpoint.Instance, bool) {
	home, ok := k.homes[id]
	if !ok {
		return endpoint.Instance{}, false
	}
	st := k.service(home).seats[id]
	if st == nil {
		return endpoint.Instance{}, false
	}
	return st.record.Instance, true
}

// Address returns where an endpoint is reached; empty when it isn't registered.
func (k *Keeper) Address(id endpoint.ID) string {
	if home, ok := k.homes[id]; ok {
		if st := k.service(home).seats[id]; st != nil {
			return st.record.Address
		}
	}
	return ""
}

// Knows returns the endpoint that last served a prompt with the same subject; empty when none is known.
func (k *Keeper) Knows(now time.Time, name site.ServiceName, p chat.Prompt) endpoint.ID {
	return k.service(name).knows(now, p)
}

// Waiting returns how many requests wait for a place.
func (k *Keeper) Waiting() int {
	n := 0
	for _, s := range k.services {
		n += len(s.queue)
	}
	return n
}

// Running returns how many requests hold a place.
func (k *Keeper) Running() int {
	n := 0
	for _, s := range k.services {
		n += len(s.holders)
	}
	return n
}
