package schedule

import (
	"math/rand/v2"
	"time"
)

const (
	// endpointSeeds is how many seeds there are for each with the faults of endpointFaults, which come from a generator of their own
	// (endpointStream): those with endpointRemainder.
	endpointSeeds     = 5
	endpointRemainder = 4
	endpointStream    = 13
	// endpointGap is the mean time between two of these faults, and changeShare the probability that the configuration changes just before one.
	endpointGap = 2500 * time.Millisecond
	changeShare = 0.5
	changeLead  = 400 * time.Millisecond
	// endAfter is how long an endpoint sends unframed streams before it ends, leaveTime how long one that is replaced serves on, and outage
	// how long the store is away when registrations lapse.
	endAfter  = 700 * time.Millisecond
	leaveTime = 2500 * time.Millisecond
	outage    = 4500 * time.Millisecond
	// minSilence and maxSilence bound how long endpoints are silent.
	minSilence = 800 * time.Millisecond
	maxSilence = 1300 * time.Millisecond
)

// endpointFaults returns faults in which endpoints act as processes do, with changes of the configuration beside them.
func endpointFaults(cfg Config) []Fault {
	g := generator{cfg: cfg, random: rand.New(rand.NewPCG(cfg.Seed, endpointStream))}
	actions := []Action{EndEndpoint, EndEndpoint, SilenceEndpoints, ReplaceEndpoint, LapseService}
	var faults []Fault
	for at := initialDelay + changeLead; at < cfg.Length; at += g.exponential(endpointGap) {
		f := Fault{At: at, Action: actions[g.random.IntN(len(actions))], Peer: -1, Endpoint: g.random.IntN(cfg.Endpoints)}
		switch f.Action {
		case EndEndpoint:
			f.For = endAfter
		case ReplaceEndpoint:
			f.For = leaveTime
		case LapseService:
			f.For = outage
		default:
			f.For = minSilence + time.Duration(g.random.Int64N(int64(maxSilence-minSilence)))
		}
		if f.At+f.For > cfg.Length {
			continue
		}
		faults = append(faults, f)
		if g.random.Float64() < changeShare {
			change := []Action{MoveRoute, RevokeKey}[g.random.IntN(2)]
			faults = append(faults, Fault{At: at - changeLead, Action: change, Peer: -1})
		}
	}
	return faults
}

const (
	// restartStream seeds the generator of restartFaults, so that the faults of endpointFaults stay what they are.
	restartStream = 14
	// restartGap is the mean time between the end of one of these situations and the start of the next.
	restartGap = 2 * time.Second
	// lateListsLead is how long before all hosts end cache lists begin to come late, lateListsTime how long they do, and minListDelay and
	// maxListDelay bound how late they come. lateShare is the probability that an endpoint's do.
	lateListsLead = 100 * time.Millisecond
	lateListsTime = 4 * time.Second
	minListDelay  = 200 * time.Millisecond
	maxListDelay  = 1200 * time.Millisecond
	lateShare     = 0.6
	// silentListsStream seeds the generator that chooses an endpoint whose cache lists do not come at all meanwhile.
	silentListsStream = 15
	// maxLateStarts is the largest number of starts of all hosts with late cache lists.
	maxLateStarts = 1
	// maxKillLag bounds how long after the store's return the host beside it is killed, or before it, and killTime how long the host is down.
	maxKillLag = 300 * time.Millisecond
	killTime   = 600 * time.Millisecond
	// returnTime is how long the store and the host beside it are in disruption at most.
	returnTime = maxAway + 2*maxKillLag + killTime
)

// restartFaults returns starts of all hosts while cache lists come late, and returns of the store beside the end of one host.
func restartFaults(cfg Config) []Fault {
	g := generator{cfg: cfg, random: rand.New(rand.NewPCG(cfg.Seed, restartStream))}
	lateStarts := 0
	var faults []Fault
	for at := initialDelay + g.exponential(restartGap); at < cfg.Length; at += g.exponential(restartGap) {
		if lateStarts < maxLateStarts && g.random.IntN(2) == 0 && at+lateListsTime <= cfg.Length {
			lateStarts++
			faults = append(faults, g.lateStart(at)...)
			at += lateListsTime
		} else if at+returnTime <= cfg.Length {
			faults = append(faults, g.returnBesideKill(at)...)
			at += returnTime
		}
	}
	return faults
}

// lateStart returns a start of all hosts while the cache lists of some endpoints come late, and for each second seed those of one not at all.
func (g *generator) lateStart(at time.Duration) []Fault {
	faults := []Fault{{At: at + lateListsLead, For: killAllDuration, Action: KillAllHosts, Peer: -1}}
	silent := g.silentEndpoint()
	for endpoint := range g.cfg.Endpoints {
		delay := minListDelay + time.Duration(g.random.Int64N(int64(maxListDelay-minListDelay)))
		late := g.random.Float64() < lateShare
		if endpoint == silent {
			late, delay = true, lateListsTime
		}
		if late {
			faults = append(faults, Fault{At: at, For: lateListsTime, Action: DelayCacheLists, Peer: -1, Endpoint: endpoint, Delay: delay})
		}
	}
	return faults
}

// silentEndpoint returns the endpoint whose cache lists do not come at a start of all hosts; -1 for none.
func (g *generator) silentEndpoint() int {
	random := rand.New(rand.NewPCG(g.cfg.Seed, silentListsStream))
	if random.IntN(2) == 0 {
		return -1
	}
	return random.IntN(g.cfg.Endpoints)
}

// returnBesideKill returns a return of the store from an older copy, at once or after an outage, and the end of a host at about that moment.
func (g *generator) returnBesideKill(at time.Duration) []Fault {
	store := Fault{At: at + maxKillLag, Action: ReturnStore, Peer: -1, Lost: 1 + g.random.IntN(maxLost), Slow: g.random.IntN(2) == 0}
	if g.random.IntN(2) == 0 {
		store.For = time.Duration(g.random.Int64N(int64(maxAway)))
	}
	lag := time.Duration(g.random.Int64N(int64(2*maxKillLag))) - maxKillLag
	kill := Fault{At: store.At + store.For + lag, For: killTime, Action: KillHost, Peer: -1, Host: g.random.IntN(g.cfg.Hosts)}
	return []Fault{store, kill}
}
