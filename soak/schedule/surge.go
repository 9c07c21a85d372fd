package schedule

import (
	"math/rand/v2"
	"time"
)

const (
	// surgeSeeds is how many seeds there are for each with the faults of surgeFaults, which come from a generator of their own (surgeStream):
	// those with surgeRemainder.
	surgeSeeds     = 7
	surgeRemainder = 6
	surgeStream    = 17
	// surgeGap is the mean time between the end of one surge and the start of the next, and surgeTime how long one lasts.
	surgeGap  = 3 * time.Second
	surgeTime = 4 * time.Second
	// surgeLead is how long before another fault beside it a surge begins.
	surgeLead = time.Second
)

// surgeFaults returns surges of load, each beside the replacement of an endpoint by another version, the end of an endpoint or of all hosts.
func surgeFaults(cfg Config) []Fault {
	g := generator{cfg: cfg, random: rand.New(rand.NewPCG(cfg.Seed, surgeStream))}
	durations := map[Action]time.Duration{ReplaceEndpoint: leaveTime, EndEndpoint: endAfter, KillAllHosts: killAllDuration}
	actions := []Action{ReplaceEndpoint, EndEndpoint, KillAllHosts}
	var faults []Fault
	for at := initialDelay + g.exponential(surgeGap); at+surgeTime <= cfg.Length; at += surgeTime + g.exponential(surgeGap) {
		beside := Fault{At: at + surgeLead, Action: actions[g.random.IntN(len(actions))], Peer: -1, Endpoint: g.random.IntN(cfg.Endpoints)}
		beside.For = durations[beside.Action]
		faults = append(faults, Fault{At: at, For: surgeTime, Action: SurgeLoad, Peer: -1}, beside)
	}
	return faults
}
