package schedule

import (
	"math/rand/v2"
	"time"
)

const (
	// streamSeeds is how many seeds there are for each with the faults of streamFaults, which come from a generator of their own (streamStream):
	// those with streamRemainder.
	streamSeeds     = 6
	streamRemainder = 5
	streamStream    = 16
	// streamGap is the mean time between the starts of two of these faults.
	streamGap = 1500 * time.Millisecond
	// switchAfter is how long an engine sends unframed streams before another process takes its place, and misplaceTime how long engines go on
	// with streams at other positions than they were asked to.
	switchAfter  = 1200 * time.Millisecond
	misplaceTime = 1500 * time.Millisecond
	// minRegistrationDelay and maxRegistrationDelay bound how late a process that took an engine's place registers; every other one does at once.
	minRegistrationDelay = 200 * time.Millisecond
	maxRegistrationDelay = 700 * time.Millisecond
)

// streamFaults returns faults that cut streams without a sign of it, or that make engines go on with them at another position.
func streamFaults(cfg Config) []Fault {
	g := generator{cfg: cfg, random: rand.New(rand.NewPCG(cfg.Seed, streamStream))}
	var faults []Fault
	for at := initialDelay; at < cfg.Length; at += g.exponential(streamGap) {
		f := Fault{At: at, For: misplaceTime, Action: SickenEngines, Peer: -1, Endpoint: g.random.IntN(cfg.Endpoints)}
		f.Sickness = misplacements[g.random.IntN(len(misplacements))]
		if g.random.IntN(2) == 0 {
			f.For, f.Action, f.Sickness = switchAfter, SwitchEngine, 0
			f.Upgrade, f.Delay = g.random.IntN(2) == 0, g.registrationDelay()
		}
		if f.At+f.For <= cfg.Length {
			faults = append(faults, f)
		}
	}
	return faults
}

// registrationDelay returns how late a process that took an engine's place registers, 0 for at once.
func (g *generator) registrationDelay() time.Duration {
	if g.random.IntN(2) == 0 {
		return 0
	}
	return minRegistrationDelay + time.Duration(g.random.Int64N(int64(maxRegistrationDelay-minRegistrationDelay)))
}
