package roster

import (
	"cmp"
	"slices"
)

// targets returns where to send a round: up to Fanout random live hosts, most of them in this host's data centre, since messages within it are
// cheaper; one random host that is unreachable or has left, so that hosts find each other again after a partition; and seeds.
func (r *Roster) targets() []target {
	var near, far, unreachable []*peer
	for _, id := range r.sorted {
		p := r.peers[id]
		switch {
		case !p.live:
			unreachable = append(unreachable, p)
		case p.heartbeat.DataCentre == r.cfg.Self.DataCentre:
			near = append(near, p)
		default:
			far = append(far, p)
		}
	}
	fromNear := max(r.cfg.Fanout-1, r.cfg.Fanout-len(far))
	chosen := slices.Clone(r.sample(near, fromNear))
	chosen = append(chosen, r.sample(far, r.cfg.Fanout-len(chosen))...)
	chosen = append(chosen, r.sample(unreachable, 1)...)
	var targets []target
	for _, p := range chosen {
		targets = append(targets, target{address: p.heartbeat.Address, peer: p})
	}
	return r.withoutRepeats(append(targets, r.seeds(len(near)+len(far))...))
}

// seedInterval is how many rounds a host that knows others lets pass until it sends to a seed, as long as that is not live.
const seedInterval = 10

// seeds returns the seeds to send to: all while fewer than Fanout hosts are live, else now and then one that is not live. Hosts that were cut
// off for so long that both sides have forgotten each other find each other again at the seeds.
func (r *Roster) seeds(live int) []target {
	var targets []target
	for _, seed := range r.cfg.Seeds {
		targets = append(targets, target{address: seed})
	}
	if live < r.cfg.Fanout || len(targets) == 0 {
		return targets
	}
	if r.cfg.Self.Sequence%seedInterval != 0 {
		return nil
	}
	chosen := targets[r.cfg.Random.IntN(len(targets))]
	for _, p := range r.peers {
		if p.live && p.heartbeat.Address == chosen.address {
			return nil
		}
	}
	return []target{chosen}
}

// target is where a message is sent; peer is nil for a seed of which no heartbeat has arrived.
type target struct {
	address string
	peer    *peer
}

// withoutRepeats returns the targets sorted by address, without this host and with each address once.
func (r *Roster) withoutRepeats(targets []target) []target {
	targets = slices.DeleteFunc(targets, func(t target) bool { return t.address == r.cfg.Self.Address })
	slices.SortStableFunc(targets, func(a, b target) int { return cmp.Compare(a.address, b.address) })
	return slices.CompactFunc(targets, func(a, b target) bool { return a.address == b.address })
}
