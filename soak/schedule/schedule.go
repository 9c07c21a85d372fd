// Package schedule decides which faults a run of the soak has, and when. The same seed gives the same faults.
package schedule

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"balsamknot.org/standin/network"
)

// Action is what is done to the site.
type Action int

// Actions on hosts, on links, on endpoints, on the store, and of the operator.
const (
	// KillHost ends a process by force, StopHost by SIGTERM; both start it again. PauseHost suspends it.
	KillHost Action = iota + 1
	StopHost
	PauseHost
	ReloadHost
	// ImpairLink gives a link a fault for a while, BreakLink resets its connections, SilenceLink lets them carry nothing more.
	ImpairLink
	BreakLink
	SilenceLink
	// CrashEndpoint ends an endpoint with all it runs and starts it anew; LeaveEndpoint lets it finish first.
	CrashEndpoint
	LeaveEndpoint
	// LapseEndpoint takes a live endpoint's registration away; SwapEndpoint gives its address to another one.
	LapseEndpoint
	SwapEndpoint
	// SickenEndpoint lets an endpoint answer wrongly.
	SickenEndpoint
	// StopStore turns reads away, ForgetHistory drops what watches go on from.
	StopStore
	ForgetHistory
	// MoveRoute publishes a set whose route leads to another service, RevokeKey one without a key.
	MoveRoute
	RevokeKey
)

var names = map[Action]string{
	KillHost: "KillHost", StopHost: "StopHost", PauseHost: "PauseHost", ReloadHost: "ReloadHost", ImpairLink: "ImpairLink",
	BreakLink: "BreakLink", SilenceLink: "SilenceLink", CrashEndpoint: "CrashEndpoint", LeaveEndpoint: "LeaveEndpoint",
	LapseEndpoint: "LapseEndpoint", SwapEndpoint: "SwapEndpoint", SickenEndpoint: "SickenEndpoint", StopStore: "StopStore",
	ForgetHistory: "ForgetHistory", MoveRoute: "MoveRoute", RevokeKey: "RevokeKey",
}

func (a Action) String() string { return names[a] }

// Place is where a link lies.
type Place int

// Links lead from callers to a host, from a host to the store, from other hosts to a host, and from hosts to an endpoint.
const (
	Callers Place = iota + 1
	Store
	Peers
	Endpoints
)

// Sickness is how an endpoint answers wrongly.
type Sickness int

// Sicknesses of an endpoint.
const (
	// TurnsAway says that it did not run what it gets; Fails runs it and says that it failed.
	TurnsAway Sickness = iota + 1
	Fails
	// Aborts breaks off before the answer, BreaksOff in its middle.
	Aborts
	BreaksOff
	// Hangs never answers, Mistakes answers another request.
	Hangs
	Mistakes
)

// Fault is one fault of a run. Only the fields that its action needs are set.
type Fault struct {
	// At counts from the start of the run; the fault lasts For.
	At, For time.Duration
	Action  Action
	// Host and Endpoint are numbers from 0, Peer that of a host whose datagrams alone are meant; -1 is none.
	Host, Peer, Endpoint int
	Place                Place
	Link                 network.Fault
	Sickness             Sickness
}

func (f Fault) String() string {
	return fmt.Sprintf("at %s for %s: %s host %d peer %d endpoint %d place %d link %+v sickness %d",
		f.At, f.For, f.Action, f.Host, f.Peer, f.Endpoint, f.Place, f.Link, f.Sickness)
}

// Config says how large a run is.
type Config struct {
	Seed             uint64
	Hosts, Endpoints int
	// Length is the time in which faults begin and end.
	Length time.Duration
}

const (
	// seriesGap is the mean time between two series, stepGap that between two faults of one.
	seriesGap = 700 * time.Millisecond
	stepGap   = 150 * time.Millisecond
	// longestSeries bounds the faults of a series.
	longestSeries = 4
	// shortest bounds a fault, and usual is the mean of what it lasts beyond that. longShare of the faults last between
	// lasting and longest instead: longer than any belief that hosts may act on.
	shortest  = 100 * time.Millisecond
	usual     = 1500 * time.Millisecond
	lasting   = 4 * time.Second
	longest   = 9 * time.Second
	longShare = 0.3
	// revokeShare of the faults that keep hosts from hearing of a change come with one.
	revokeShare = 0.3
	// longestDelay bounds what a link adds.
	longestDelay = 300 * time.Millisecond
	// quiet is the time at the start of a run without faults.
	quiet = 500 * time.Millisecond
	// stream separates the schedule's random numbers from others of the same seed.
	stream = 7
)

// groups are the actions that come together: a run draws from some groups only, so that each is also met without the others.
var groups = [][]Action{
	{KillHost, StopHost, PauseHost, ReloadHost},
	{ImpairLink, ImpairLink, BreakLink, SilenceLink},
	{CrashEndpoint, LeaveEndpoint, LapseEndpoint, SwapEndpoint, SickenEndpoint},
	{StopStore, ForgetHistory},
	{MoveRoute, RevokeKey},
}

// mostGroups bounds the groups of a run.
const mostGroups = 3

// planner holds the choices of one run.
type planner struct {
	cfg     Config
	r       *rand.Rand
	actions []Action
	// victims are the hosts that faults may concern.
	victims []int
}

// New returns the faults of a run, in order of their time.
func New(cfg Config) []Fault {
	p := planner{cfg: cfg, r: rand.New(rand.NewPCG(cfg.Seed, stream))}
	p.choose()
	var faults []Fault
	for at := quiet; at < cfg.Length; at += p.around(seriesGap) {
		faults = append(faults, p.series(at)...)
	}
	slices.SortStableFunc(faults, func(a, b Fault) int { return int(a.At - b.At) })
	return faults
}

// choose picks the groups of a run, and half or all of the hosts.
func (p *planner) choose() {
	for _, i := range p.r.Perm(len(groups))[:1+p.r.IntN(mostGroups)] {
		p.actions = append(p.actions, groups[i]...)
	}
	p.victims = p.r.Perm(p.cfg.Hosts)
	if p.r.IntN(2) == 0 {
		p.victims = p.victims[:(p.cfg.Hosts+1)/2]
	}
}

// series is one action on several targets in quick succession, or several actions on one target.
func (p *planner) series(at time.Duration) []Fault {
	var faults []Fault
	host, endpoint := p.host(), p.r.IntN(p.cfg.Endpoints)
	action := p.action()
	sameTarget := p.r.IntN(2) == 0
	for range 1 + p.r.IntN(longestSeries) {
		f := p.fault(at, action, host, endpoint)
		if f.At+f.For <= p.cfg.Length {
			faults = append(faults, f)
			faults = append(faults, p.revocation(f)...)
		}
		at += p.around(stepGap)
		if sameTarget {
			action = p.action()
		} else {
			host, endpoint = p.host(), p.r.IntN(p.cfg.Endpoints)
		}
	}
	return faults
}

// revocation takes a key away while a fault keeps hosts from hearing of it.
func (p *planner) revocation(f Fault) []Fault {
	hides := f.Action == StopStore || f.Action == PauseHost || f.Action == ImpairLink && f.Place == Store
	if !hides || p.r.Float64() >= revokeShare {
		return nil
	}
	return []Fault{{At: f.At + min(p.around(stepGap), f.For), Action: RevokeKey, Peer: -1}}
}

func (p *planner) fault(at time.Duration, action Action, host, endpoint int) Fault {
	f := Fault{
		At: at, For: p.span(), Action: action,
		Host: host, Endpoint: endpoint, Peer: -1,
	}
	switch action {
	case ImpairLink, BreakLink, SilenceLink:
		f.Place = Place(1 + p.r.IntN(int(Endpoints)))
		f.Link = p.impairment()
		if f.Place == Peers && p.r.IntN(2) == 0 {
			f.Peer = p.r.IntN(p.cfg.Hosts)
		}
	case SickenEndpoint:
		f.Sickness = Sickness(1 + p.r.IntN(int(Mistakes)))
	default:
	}
	return f
}

func (p *planner) impairment() network.Fault {
	switch p.r.IntN(4) {
	case 0:
		return network.Fault{Cut: true}
	case 1:
		return network.Fault{Blocked: network.ToTarget}
	case 2:
		return network.Fault{Blocked: network.FromTarget}
	}
	return network.Fault{Delay: time.Duration(p.r.Int64N(int64(longestDelay)))}
}

// span returns how long a fault lasts.
func (p *planner) span() time.Duration {
	if p.r.Float64() < longShare {
		return lasting + time.Duration(p.r.Int64N(int64(longest-lasting)))
	}
	return min(shortest+p.around(usual), longest)
}

func (p *planner) host() int { return p.victims[p.r.IntN(len(p.victims))] }

func (p *planner) action() Action { return p.actions[p.r.IntN(len(p.actions))] }

// around returns a time of this mean, from an exponential distribution.
func (p *planner) around(mean time.Duration) time.Duration {
	return time.Duration(p.r.ExpFloat64() * float64(mean))
}
