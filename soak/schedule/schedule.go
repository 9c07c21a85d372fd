// Package schedule generates the faults of a soak run and their times at random. The same seed gives the same faults.
package schedule

import (
	"math/rand/v2"
	"slices"
	"time"

	"balsamknot.org/standin/network"
)

// Config holds the parameters of a schedule.
type Config struct {
	Seed             uint64
	Hosts, Endpoints int
	// Length is the period in which all faults start and end.
	Length time.Duration
}

const (
	// meanBurstGap is the mean time between the starts of two bursts, and meanStepGap that between two faults of a burst.
	meanBurstGap = 700 * time.Millisecond
	meanStepGap  = 150 * time.Millisecond
	// maxBurst is the largest number of faults in a burst, without key revocations.
	maxBurst = 4
	// Faults last at least minDuration, and meanExtraDuration longer on average. A longShare of them last between
	// minLongDuration and maxDuration instead, so that some outlast the age up to which hosts may act on stale data.
	minDuration       = 100 * time.Millisecond
	meanExtraDuration = 1500 * time.Millisecond
	minLongDuration   = 4 * time.Second
	maxDuration       = 9 * time.Second
	longShare         = 0.3
	// poisonDuration is how long a request that crashes endpoints is sent, poisonPartDuration how long requests with such a part of a
	// prompt are, and maxPoisons the largest number of both.
	poisonDuration     = 12 * time.Second
	poisonPartDuration = 17 * time.Second
	maxPoisons         = 3
	// revokeShare is the probability that a key is also revoked during a fault that delays the delivery of configurations to
	// hosts.
	revokeShare = 0.3
	// limitDuration is how long an endpoint states a limit, which is below maxLimit requests a second.
	limitDuration = 9 * time.Second
	maxLimit      = 9.0
	// maxLinkDelay bounds the delay that a fault adds to a link.
	maxLinkDelay = 300 * time.Millisecond
	// initialDelay is the time without faults at the start of a run.
	initialDelay = 500 * time.Millisecond
	// randomStream is the second seed of the random generator. It makes the schedule's numbers independent of others that
	// are drawn with the same first seed.
	randomStream = 7
)

// actionGroups are groups of related actions. Each run uses only some of the groups, so that each group also occurs without
// the others. An action that is listed twice is twice as likely as others of the same run.
var actionGroups = [][]Action{
	{KillHost, StopHost, PauseHost, ReloadHost},
	{ImpairLink, ImpairLink, BreakLink, SilenceLink},
	{CrashEndpoint, LeaveEndpoint, LapseEndpoint, SwapEndpoint, SickenEndpoint},
	{StopStore, ForgetHistory},
	{MoveRoute, RevokeKey},
	{SendPoison, SendPoisonBurst, SendPoisonPart},
	{LimitEndpoint},
}

// maxGroups is the largest number of groups that a run uses.
const maxGroups = 3

// generator generates the faults of one run.
type generator struct {
	cfg     Config
	random  *rand.Rand
	actions []Action
	// poisons is the number of requests that crash endpoints so far.
	poisons int
	// targetHosts are the numbers that Fault.Host may have. Fault.Peer may be any host.
	targetHosts []int
}

// Generate returns the faults of a run, ordered by their start times.
func Generate(cfg Config) []Fault {
	g := generator{cfg: cfg, random: rand.New(rand.NewPCG(cfg.Seed, randomStream))}
	g.chooseActions()
	var faults []Fault
	for at := initialDelay; at < cfg.Length; at += g.exponential(meanBurstGap) {
		faults = append(faults, g.burst(at)...)
	}
	if cfg.Seed%statementSeeds == 0 {
		faults = append(faults, statementFaults(cfg)...)
	}
	if cfg.Seed%returnSeeds == returnRemainder {
		faults = append(faults, returnFaults(cfg)...)
	}
	if cfg.Seed%endpointSeeds == endpointRemainder {
		faults = append(faults, endpointFaults(cfg)...)
		faults = append(faults, restartFaults(cfg)...)
	}
	if cfg.Seed%streamSeeds == streamRemainder {
		faults = append(faults, streamFaults(cfg)...)
	}
	if cfg.Seed%surgeSeeds == surgeRemainder {
		faults = append(faults, surgeFaults(cfg)...)
	}
	if cfg.Seed%coldSeeds == coldRemainder {
		faults = append(faults, coldFaults(cfg)...)
	}
	if cfg.Seed%entrySeeds == entryRemainder {
		faults = append(faults, entryFaults(cfg)...)
	}
	slices.SortStableFunc(faults, func(a, b Fault) int { return int(a.At - b.At) })
	return faults
}

const (
	// statementSeeds is how many seeds there are for each with the faults of statementFaults, which come from a generator of their own
	// (statementStream), so that the faults of all seeds stay what they were before.
	statementSeeds  = 3
	statementStream = 11
	// statementGap is the mean time between two of these faults, and killAllDuration how long all hosts are down.
	statementGap    = 2 * time.Second
	killAllDuration = 600 * time.Millisecond
	// maxKillAll is the largest number of starts of all hosts.
	maxKillAll = 2
)

// statementFaults returns faults in which endpoints say something of themselves in answers, and starts of all hosts.
func statementFaults(cfg Config) []Fault {
	g := generator{cfg: cfg, random: rand.New(rand.NewPCG(cfg.Seed, statementStream))}
	killed := 0
	var faults []Fault
	for at := initialDelay; at < cfg.Length; at += g.exponential(statementGap) {
		f := Fault{At: at, For: g.duration(), Action: AskRest + Action(g.random.IntN(int(KillAllHosts-AskRest)+1)), Peer: -1}
		f.Endpoint = g.random.IntN(cfg.Endpoints)
		switch f.Action {
		case KillAllHosts:
			f.For = killAllDuration
			if killed++; killed > maxKillAll {
				continue
			}
		case MakeBrittle:
			f.For = maxDuration
		default:
		}
		if f.At+f.For <= cfg.Length {
			faults = append(faults, f)
		}
	}
	return faults
}

const (
	// returnSeeds is how many seeds there are for each with the faults of returnFaults, which come from a generator of their own (returnStream):
	// those with returnRemainder.
	returnSeeds     = 4
	returnRemainder = 2
	returnStream    = 12
	// returnGap is the mean time between two of these faults, and maxAway the longest time for which the store is away; every other time it is not.
	returnGap = 4 * time.Second
	maxAway   = 1200 * time.Millisecond
	// maxLost is the largest number of changes that are lost.
	maxLost = 12
)

// returnFaults returns faults in which the store returns from an older copy.
func returnFaults(cfg Config) []Fault {
	g := generator{cfg: cfg, random: rand.New(rand.NewPCG(cfg.Seed, returnStream))}
	var faults []Fault
	for at := initialDelay; at < cfg.Length; at += g.exponential(returnGap) {
		f := Fault{At: at, Action: ReturnStore, Peer: -1, Lost: 1 + g.random.IntN(maxLost), Slow: g.random.IntN(2) == 0}
		if g.random.IntN(2) == 0 {
			f.For = time.Duration(g.random.Int64N(int64(maxAway)))
		}
		if f.At+f.For <= cfg.Length {
			faults = append(faults, f)
		}
	}
	return faults
}

// chooseActions selects up to maxGroups groups of actions, and half or all of the hosts as targets.
func (g *generator) chooseActions() {
	for _, i := range g.random.Perm(len(actionGroups))[:1+g.random.IntN(maxGroups)] {
		g.actions = append(g.actions, actionGroups[i]...)
	}
	g.targetHosts = g.random.Perm(g.cfg.Hosts)
	if g.random.IntN(2) == 0 {
		g.targetHosts = g.targetHosts[:(g.cfg.Hosts+1)/2]
	}
}

// burst returns faults in quick succession from at: one action on random targets, or random actions on one target. It leaves
// out faults that would end after the run.
func (g *generator) burst(at time.Duration) []Fault {
	var faults []Fault
	host, endpoint := g.randomHost(), g.random.IntN(g.cfg.Endpoints)
	action := g.randomAction()
	sameTarget := g.random.IntN(2) == 0
	for range 1 + g.random.IntN(maxBurst) {
		f := g.newFault(at, action, host, endpoint)
		if f.At+f.For <= g.cfg.Length && g.takePoison(f) {
			faults = append(faults, f)
			faults = append(faults, g.keyRevocation(f)...)
		}
		at += g.exponential(meanStepGap)
		if sameTarget {
			action = g.randomAction()
		} else {
			host, endpoint = g.randomHost(), g.random.IntN(g.cfg.Endpoints)
		}
	}
	return faults
}

// takePoison counts a fault that sends requests which crash endpoints, and returns false if there are enough of them.
func (g *generator) takePoison(f Fault) bool {
	switch f.Action {
	case SendPoison, SendPoisonBurst, SendPoisonPart:
		g.poisons++
		return g.poisons <= maxPoisons
	default:
		return true
	}
}

// keyRevocation returns, for some of the faults that delay the delivery of configurations to hosts, a key revocation during
// the fault.
func (g *generator) keyRevocation(f Fault) []Fault {
	delaysConfig := f.Action == StopStore || f.Action == PauseHost || f.Action == ImpairLink && f.Place == StoreLink
	if !delaysConfig || g.random.Float64() >= revokeShare {
		return nil
	}
	return []Fault{{At: f.At + min(g.exponential(meanStepGap), f.For), Action: RevokeKey, Peer: -1}}
}

func (g *generator) newFault(at time.Duration, action Action, host, endpoint int) Fault {
	f := Fault{
		At: at, For: g.duration(), Action: action,
		Host: host, Endpoint: endpoint, Peer: -1,
	}
	switch action {
	case ImpairLink, BreakLink, SilenceLink:
		f.Place = LinkKind(1 + g.random.IntN(int(EndpointLink)))
		f.Link = g.linkFault()
		if f.Place == PeerLink && g.random.IntN(2) == 0 {
			f.Peer = g.random.IntN(g.cfg.Hosts)
		}
	case SendPoison, SendPoisonBurst:
		f.For = poisonDuration
	case SendPoisonPart:
		f.For = poisonPartDuration
	case LimitEndpoint:
		f.For, f.PerSecond = limitDuration, maxLimit*g.random.Float64()
	case SickenEndpoint:
		f.Sickness = Misbehaviour(1 + g.random.IntN(int(lastMisbehaviour)))
	default:
	}
	return f
}

func (g *generator) linkFault() network.Fault {
	switch g.random.IntN(4) {
	case 0:
		return network.Fault{Cut: true}
	case 1:
		return network.Fault{Blocked: network.ToTarget}
	case 2:
		return network.Fault{Blocked: network.FromTarget}
	}
	return network.Fault{Delay: time.Duration(g.random.Int64N(int64(maxLinkDelay)))}
}

// duration returns a random duration of a fault.
func (g *generator) duration() time.Duration {
	if g.random.Float64() < longShare {
		return minLongDuration + time.Duration(g.random.Int64N(int64(maxDuration-minLongDuration)))
	}
	return min(minDuration+g.exponential(meanExtraDuration), maxDuration)
}

func (g *generator) randomHost() int { return g.targetHosts[g.random.IntN(len(g.targetHosts))] }

func (g *generator) randomAction() Action { return g.actions[g.random.IntN(len(g.actions))] }

// exponential returns an exponentially distributed random duration with the given mean.
func (g *generator) exponential(mean time.Duration) time.Duration {
	return time.Duration(g.random.ExpFloat64() * float64(mean))
}
