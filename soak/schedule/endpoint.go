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
