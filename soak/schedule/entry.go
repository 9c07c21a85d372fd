package schedule

import "math/rand/v2"

const (
	// entrySeeds is how many seeds there are for each with the faults of entryFaults, which come from a generator of their own (entryStream): those
	// with entryRemainder.
	entrySeeds     = 9
	entryRemainder = 4
	entryStream    = 19
)

// entryFaults returns entries of another writer at the addresses of endpoints, beside requests that crash endpoints, so that the watch for crashes goes on.
func entryFaults(cfg Config) []Fault {
	g := generator{cfg: cfg, random: rand.New(rand.NewPCG(cfg.Seed, entryStream))}
	var faults []Fault
	for i := range cfg.Endpoints {
		f := Fault{At: initialDelay + g.exponential(meanBurstGap), Action: WriteForeignEntry, Peer: -1, Endpoint: i, For: g.duration()}
		if g.random.IntN(2) == 0 {
			f.For = cfg.Length - f.At
		}
		if f.At+f.For <= cfg.Length {
			faults = append(faults, f)
		}
	}
	poison := Fault{At: initialDelay + meanBurstGap, Action: SendPoison, Peer: -1, For: poisonDuration}
	if poison.At+poison.For <= cfg.Length {
		faults = append(faults, poison)
	}
	return faults
}
