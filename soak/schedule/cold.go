package schedule

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// coldSeeds is how many seeds there are for each with the faults of coldFaults, which come from a generator of their own (coldStream):
	// those with coldRemainder.
	coldSeeds     = 8
	coldRemainder = 5
	coldStream    = 18
	// coldGap is the mean time between the starts of two of these faults.
	coldGap = 1500 * time.Millisecond
	// minAwayTime and maxAwayTime bound how long the endpoints of a data centre are away that come back cold.
	minAwayTime = 300 * time.Millisecond
	maxAwayTime = 2500 * time.Millisecond
	// minColdTime and maxColdTime bound how long an endpoint is cold that turns cold while it runs, and maxColdNotice how late its registration
	// says so.
	minColdTime   = time.Second
	maxColdTime   = 4 * time.Second
	maxColdNotice = 2 * time.Second
)

// coldFaults returns faults in which the endpoints of a data centre come back cold, or single ones turn cold while they run.
func coldFaults(cfg Config) []Fault {
	g := generator{cfg: cfg, random: rand.New(rand.NewPCG(cfg.Seed, coldStream))}
	var faults []Fault
	for at := initialDelay; at < cfg.Length; at += g.exponential(coldGap) {
		f := Fault{At: at, For: g.between(minAwayTime, maxAwayTime), Action: ReturnCold, Peer: -1, Endpoint: g.random.IntN(cfg.Endpoints)}
		if g.random.IntN(2) == 0 {
			f.Action, f.For, f.Delay = TurnCold, g.between(minColdTime, maxColdTime), g.between(0, maxColdNotice)
		}
		if f.At+f.For <= cfg.Length {
			faults = append(faults, f)
		}
	}
	return faults
}

// between returns a random duration from shortest to below longest.
func (g *generator) between(shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(g.random.Int64N(int64(longest-shortest)))
}

// HasCold reports whether endpoints become cold in the faults of a run.
func HasCold(faults []Fault) bool {
	return slices.ContainsFunc(faults, func(f Fault) bool { return f.Action == ReturnCold || f.Action == TurnCold })
}
