// Package relay decides how a host connects to endpoints: directly, or through another host, its relay, while the host's own path to
// the endpoint is gone.
//
// A path is gone if a direct connection fails and a relay connects to the same endpoint: then the endpoint is alive. If the relay fails
// too, the endpoint is dead, as far as the relay is in contact with other endpoints of the service. Nothing is exchanged while direct
// connections succeed and open ones are heard. If several paths to a service are lost in a short time, the others are doubted: they are tried anew in the background,
// and requests take a relay meanwhile. A path that is gone is probed until a connection succeeds; one that was lost several times must hold
// for a while first (flap damping).
package relay

import (
	"slices"
	"time"

	"balsamknot.org/fleet/endpoint"
	"balsamknot.org/fleet/host"
	"balsamknot.org/fleet/placement"
	"balsamknot.org/fleet/site"
)

const (
	// probeInterval is the time between two probes of a path that is gone, and probesPerTick the largest number that one Tick starts.
	probeInterval = 500 * time.Millisecond
	probesPerTick = 4
	// doubtWindow is the time in which pathsForDoubt paths to a service must be lost, with no direct connection, for the others to be
	// doubted.
	doubtWindow   = 2 * time.Second
	pathsForDoubt = 2
	// contactWindow is how long after it heard from another endpoint of the service a host's view of a failure counts.
	contactWindow = time.Second
	// flapWindow is how long an earlier loss of a path counts, minHold the time for which a path must hold after its second loss in that
	// time before it is used again. It doubles with each further one, up to maxHold.
	flapWindow = 30 * time.Second
	minHold    = 2 * time.Second
	maxHold    = 8 * time.Second
	// relayBackoff is how long a relay that could not be used is tried last.
	relayBackoff = time.Second
)

// Event is an input of Table.Update.
type Event interface{ event() }

// Registered reports a new or changed registration of an endpoint.
type Registered struct{ Record endpoint.Record }

// Removed reports that an endpoint is no longer registered.
type Removed struct{ ID endpoint.ID }

// Connected reports that a direct connection to an address (ip:port) was established.
type Connected struct{ Address string }

// Heard reports that an endpoint sent something over a direct connection.
type Heard struct{ Address string }

// Failed reports that a direct connection failed. It only matters for paths that are gone.
type Failed struct{ Address string }

// Bypassed reports that a relay connected to an address while a direct connection had failed or took too long. Silent is true if nothing
// refused the direct one, so that open connections are likely to be dead as well.
type Bypassed struct {
	Address string
	Silent  bool
}

// Unavailable reports that a host could not serve as relay: it is not reachable, or its own path is gone.
type Unavailable struct{ Host host.ID }

// Tick starts the probes that are due.
type Tick struct{}

func (Registered) event()  {}
func (Removed) event()     {}
func (Connected) event()   {}
func (Heard) event()       {}
func (Failed) event()      {}
func (Bypassed) event()    {}
func (Unavailable) event() {}
func (Tick) event()        {}

// Command is an output of Table.Update.
type Command interface{ command() }

// Probe requests a direct connection to an address. Its result is to be reported as Connected or Failed.
type Probe struct{ Address string }

// Lost means that a path is gone, or doubted: its idle connections are not to be used. Silent is that of Bypassed.
type Lost struct {
	Endpoint endpoint.ID
	Address  string
	Silent   bool
	Doubted  bool
}

// Restored means that an endpoint is connected to directly again.
type Restored struct {
	Endpoint endpoint.ID
	Address  string
}

func (Probe) command()    {}
func (Lost) command()     {}
func (Restored) command() {}

// Table holds the paths of one host to the registered endpoints. It is not safe for concurrent use.
type Table struct {
	paths     map[string]*path
	addresses map[endpoint.ID]string
	services  map[site.ServiceName]*contact
	// gone lists the addresses whose path is gone or doubted, in the order in which they are probed.
	gone []string
	// avoidUntil holds until when a host is tried last as relay.
	avoidUntil map[host.ID]time.Time
}

// path is the path to one endpoint.
type path struct {
	record endpoint.Record
	// others holds the later registrations of other services at the same address, in order. They may come from another writer and name no endpoint of their own, so
	// that the first one counts while it is registered.
	others []endpoint.Record
	state  state
	// silent is that of the Bypassed event, and silentSince when the path was found to be silent although the endpoint, or others of the service
	// behind lost paths, are alive.
	silent      bool
	silentSince time.Time
	lostAt      time.Time
	heardAt     time.Time
	probeAt     time.Time
	// checkAt is from when the path may be checked again, see Unheard.
	checkAt time.Time
	// losses counts the losses of which each came within flapWindow of the one before.
	losses int
	// holdsSince is when the path that is gone could be connected to again; zero if the last connection failed.
	holdsSince time.Time
}

type state int

const (
	direct state = iota
	// lost means that a direct connection failed and a relay connected, to this endpoint or to others of the service.
	lost
	// doubted means that several other paths to the service were lost, and this one was not tried since.
	doubted
)

// contact is when a service's endpoints were last heard of directly: the latest endpoint, and the latest other one.
type contact struct {
	address, otherAddress string
	at, otherAt           time.Time
}

// NewTable returns a table without endpoints.
func NewTable() *Table {
	return &Table{
		paths: make(map[string]*path), addresses: make(map[endpoint.ID]string), services: make(map[site.ServiceName]*contact),
		avoidUntil: make(map[host.ID]time.Time),
	}
}

// Update applies one event at time now and returns the commands that follow from it. It does no I/O and starts no goroutine.
func (t *Table) Update(now time.Time, event Event) []Command {
	switch e := event.(type) {
	case Registered:
		t.register(e.Record)
	case Removed:
		t.remove(e.ID)
	case Connected:
		return t.connected(now, e.Address)
	case Heard:
		t.heard(now, e.Address)
	case Failed:
		t.failed(now, e.Address)
	case Bypassed:
		return t.bypassed(now, e)
	case Unheard:
		return t.unheard(now, e.Address)
	case Unavailable:
		t.avoidUntil[e.Host] = now.Add(relayBackoff)
	case Tick:
		return t.tick(now)
	}
	return nil
}

func (t *Table) heard(now time.Time, address string) {
	p := t.paths[address]
	if p == nil {
		return
	}
	p.heardAt = now
	c := t.services[p.record.Service]
	if c == nil {
		c = &contact{}
		t.services[p.record.Service] = c
	}
	if c.address != address {
		c.otherAddress, c.otherAt = c.address, c.at
	}
	c.address, c.at = address, now
}

// connected makes a path direct again, unless it was lost several times and has not held for long enough. The service's doubted paths
// become direct with it.
func (t *Table) connected(now time.Time, address string) []Command {
	t.heard(now, address)
	p := t.paths[address]
	if p == nil || p.state == direct {
		return nil
	}
	if p.holdsSince.IsZero() {
		p.holdsSince = now
	}
	if now.Sub(p.holdsSince) < p.hold(now) {
		return nil
	}
	commands := []Command{t.restore(address)}
	for _, other := range slices.Clone(t.gone) {
		if q := t.paths[other]; q.state == doubted && q.record.Service == p.record.Service && q.hold(now) == 0 {
			commands = append(commands, t.restore(other))
		}
	}
	return commands
}

// failed notes that a path does not hold; a doubted one is lost with it.
func (t *Table) failed(now time.Time, address string) {
	p := t.paths[address]
	if p == nil {
		return
	}
	p.holdsSince = time.Time{}
	if p.state == doubted {
		p.state, p.silentSince = lost, now
	}
}

func (t *Table) restore(address string) Command {
	p := t.paths[address]
	p.state, p.holdsSince = direct, time.Time{}
	t.gone = slices.DeleteFunc(t.gone, func(a string) bool { return a == address })
	return Restored{Endpoint: p.record.Instance.ID, Address: address}
}

// hold returns how long the path must hold before it is used again.
func (p *path) hold(now time.Time) time.Duration {
	if p.losses < 2 || now.Sub(p.lostAt) > flapWindow {
		return 0
	}
	return min(minHold<<min(p.losses-2, 8), maxHold)
}

func (t *Table) bypassed(now time.Time, e Bypassed) []Command {
	p := t.paths[e.Address]
	if p == nil {
		return nil
	}
	if p.state == lost {
		if e.Silent && !p.silent {
			p.silent, p.silentSince = true, now
		}
		return nil
	}
	commands := []Command{t.lose(now, e.Address, lost, e.Silent)}
	if !t.doubtful(now, p.record.Service) {
		return commands
	}
	for _, address := range t.sortedAddresses() {
		if q := t.paths[address]; q.record.Service == p.record.Service && q.state == direct {
			commands = append(commands, t.lose(now, address, doubted, e.Silent))
		}
	}
	return commands
}

func (t *Table) lose(now time.Time, address string, s state, silent bool) Command {
	p := t.paths[address]
	if p.state == direct {
		t.gone = append(t.gone, address)
		if p.losses == 0 || now.Sub(p.lostAt) > flapWindow {
			p.losses = 0
		}
		p.losses++
		p.lostAt = now
		p.probeAt = now
	}
	p.state, p.silent, p.silentSince, p.holdsSince = s, silent, now, time.Time{}
	return Lost{Endpoint: p.record.Instance.ID, Address: address, Silent: silent, Doubted: s == doubted}
}

// doubtful reports whether enough paths to a service were lost within doubtWindow, with no contact to an endpoint of it since.
func (t *Table) doubtful(now time.Time, service site.ServiceName) bool {
	n, total := 0, 0
	first := now
	for _, p := range t.paths {
		if p.record.Service != service {
			continue
		}
		total++
		if p.state == lost && now.Sub(p.lostAt) <= doubtWindow {
			n++
			if p.lostAt.Before(first) {
				first = p.lostAt
			}
		}
	}
	c := t.services[service]
	return n >= min(pathsForDoubt, total) && (c == nil || !c.at.After(first))
}

func (t *Table) sortedAddresses() []string {
	addresses := make([]string, 0, len(t.paths))
	for address := range t.paths {
		addresses = append(addresses, address)
	}
	slices.Sort(addresses)
	return addresses
}

func (t *Table) tick(now time.Time) []Command {
	for id, until := range t.avoidUntil {
		if now.After(until) {
			delete(t.avoidUntil, id)
		}
	}
	var commands []Command
	for _, address := range slices.Clone(t.gone) {
		p := t.paths[address]
		if now.Before(p.probeAt) {
			continue
		}
		if len(commands) == probesPerTick {
			break
		}
		p.probeAt = now.Add(probeInterval)
		commands = append(commands, Probe{address})
		t.gone = append(slices.DeleteFunc(t.gone, func(a string) bool { return a == address }), address)
	}
	return commands
}

// Gone reports whether the path to an address is gone or doubted, so that connections to it take a relay.
func (t *Table) Gone(address string) bool {
	p := t.paths[address]
	return p != nil && p.state != direct
}

// GoneCount returns the number of endpoints whose path is gone or doubted.
func (t *Table) GoneCount() int { return len(t.gone) }

// SilentAddresses returns the addresses whose path was found to be silent at least d ago and has not been connected to since, so that connections
// on which nothing arrived meanwhile are dead.
func (t *Table) SilentAddresses(now time.Time, d time.Duration) []string {
	return slices.DeleteFunc(slices.Clone(t.gone), func(address string) bool { return !t.paths[address].silentFor(now, d) })
}

// silentFor reports whether the path was found to be silent at least d ago, and the last connection failed.
func (p *path) silentFor(now time.Time, d time.Duration) bool {
	return p.state == lost && p.silent && p.holdsSince.IsZero() && now.Sub(p.silentSince) >= d
}

// HeardSince reports whether the endpoint at an address sent something over a direct connection after at.
func (t *Table) HeardSince(address string, at time.Time) bool {
	p := t.paths[address]
	return p != nil && p.heardAt.After(at)
}

// InContact reports whether this host has heard from another endpoint of the same service within contactWindow, so that its own path is
// not the likely cause of a failure at this address.
func (t *Table) InContact(now time.Time, address string) bool {
	p := t.paths[address]
	if p == nil {
		return false
	}
	c := t.services[p.record.Service]
	if c == nil {
		return false
	}
	at := c.at
	if c.address == address {
		at = c.otherAt
	}
	return !at.IsZero() && now.Sub(at) <= contactWindow
}

// Candidate is a host that may serve as relay.
type Candidate struct {
	Host       host.ID
	DataCentre host.DataCentre
}

// Relays returns up to n hosts to try as relays to an address, in order, for a host in a data centre. Hosts in that data centre or in the
// endpoint's come first: through them a connection crosses data centres no more often than a direct one. Among equals, the order differs
// from endpoint to endpoint, so that the load is spread, and is the same each time, so that connections are used again. Hosts that
// failed a short time ago come last.
func (t *Table) Relays(now time.Time, self Candidate, address string, candidates []Candidate, n int) []host.ID {
	target := self.DataCentre
	if p := t.paths[address]; p != nil {
		target = p.record.DataCentre
	}
	var near, far, avoided []host.ID
	for _, c := range candidates {
		switch {
		case c.Host == self.Host:
		case now.Before(t.avoidUntil[c.Host]):
			avoided = append(avoided, c.Host)
		case c.DataCentre == self.DataCentre || c.DataCentre == target:
			near = append(near, c.Host)
		default:
			far = append(far, c.Host)
		}
	}
	key := "relay/" + string(self.Host) + "/" + address
	ids := placement.Rank(key, near, n)
	ids = append(ids, placement.Rank(key, far, n-len(ids))...)
	return append(ids, placement.Rank(key, avoided, n-len(ids))...)
}
