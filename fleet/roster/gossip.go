package roster

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"balsamknot.org/fleet/host"
)

// Gossip is what one host tells another about the fleet.
type Gossip struct {
	// Heartbeats are complete: they contain all that a receiver needs which has not heard of their hosts before.
	Heartbeats []Heartbeat
	// Updates advance heartbeats that the receiver is expected to have. Only hosts that understand updates themselves have any.
	Updates []Update
	// Wanted names processes of which the sender got an update but has no heartbeat.
	Wanted []ProcessKey
	// ReadsUpdates is true if the sender understands updates. Hosts of earlier releases do not.
	ReadsUpdates bool
}

// Update says that a host has reached a sequence number since its last complete heartbeat.
type Update struct {
	_        struct{} `cbor:",toarray"`
	Process  ProcessKey
	Sequence uint64
}

// ProcessKey identifies a process of a host. It is a hash of the host's ID and the process's start.
type ProcessKey uint64

func (h Heartbeat) processKey() ProcessKey {
	return ProcessKey(xxhash.Sum64String(string(h.Host) + "/" + strconv.FormatInt(h.StartedAt, 10)))
}

// announceInterval is the least time between two announcements to a host that it may send updates.
const announceInterval = 30 * time.Second

// messageTo returns what to tell one host. One that understands updates gets the sender's own heartbeat, those that it may not have, and updates. Any other gets complete heartbeats only, and hears from time to time that this host understands updates.
func (r *Roster) messageTo(now time.Time, to target) Message {
	p := to.peer
	if p == nil || !p.readsUpdates {
		return Message{To: to.address, Gossip: Gossip{Heartbeats: r.heartbeats(r.known(isAnnounced)), ReadsUpdates: r.shouldAnnounce(now, p)}}
	}
	updated := func(other *peer) bool { return other.live && other.readsUpdates && !r.isNews(now, other) }
	complete := func(other *peer) bool {
		return isAnnounced(other) && !updated(other) && (other.live || r.isNews(now, other))
	}
	return Message{To: to.address, ToReader: true, Gossip: Gossip{
		Heartbeats: r.heartbeats(r.known(complete)), Updates: r.updates(r.known(updated)), ReadsUpdates: true,
	}}
}

// reply returns the answer to a message: the heartbeats that its sender wants, and what this host wants of those that it was sent updates of.
// ok is false if there is nothing to say.
func (r *Roster) reply(from host.ID, g Gossip) (m Message, ok bool) {
	p := r.peers[from]
	if p == nil {
		return Message{}, false
	}
	m = Message{To: p.heartbeat.Address, ToReader: true, Gossip: Gossip{Heartbeats: []Heartbeat{r.cfg.Self}, ReadsUpdates: true}}
	for _, key := range g.Wanted[:min(len(g.Wanted), r.cfg.MaxHeartbeats)] {
		if wanted := r.processes[key]; wanted != nil {
			m.Gossip.Heartbeats = append(m.Gossip.Heartbeats, wanted.heartbeat)
		}
	}
	self := r.cfg.Self.processKey()
	for _, u := range g.Updates {
		if r.processes[u.Process] == nil && u.Process != self {
			m.Gossip.Wanted = append(m.Gossip.Wanted, u.Process)
		}
	}
	return m, len(m.Gossip.Heartbeats) > 1 || len(m.Gossip.Wanted) > 0
}

// shouldAnnounce reports whether a message to a host is to say that this host understands updates, and records that it does.
func (r *Roster) shouldAnnounce(now time.Time, to *peer) bool {
	if to == nil {
		return false
	}
	if !to.announcedAt.IsZero() && now.Sub(to.announcedAt) < announceInterval {
		return false
	}
	to.announcedAt = now
	return true
}

// isAnnounced reports whether a host is told to others at all: it is live, or they are to know that it leaves.
func isAnnounced(p *peer) bool { return p.live || p.heartbeat.Leaving }

// isNews reports whether a host's heartbeat changed so recently, by more than its sequence number, that others may not have it.
func (r *Roster) isNews(now time.Time, p *peer) bool { return now.Sub(p.changedAt) < r.cfg.NewsPeriod }

// known returns the other known hosts that a condition holds for, in random order.
func (r *Roster) known(condition func(*peer) bool) []*peer {
	var peers []*peer
	for _, id := range r.sorted {
		if p := r.peers[id]; condition(p) {
			peers = append(peers, p)
		}
	}
	r.cfg.Random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers
}

// heartbeats returns this host's heartbeat and those of others, MaxHeartbeats in all at most.
func (r *Roster) heartbeats(others []*peer) []Heartbeat {
	heartbeats := []Heartbeat{r.cfg.Self}
	for _, p := range others[:min(len(others), r.cfg.MaxHeartbeats-1)] {
		heartbeats = append(heartbeats, p.heartbeat)
	}
	return heartbeats
}

// updates returns updates for hosts, MaxUpdates at most.
func (r *Roster) updates(peers []*peer) []Update {
	var updates []Update
	for _, p := range peers[:min(len(peers), r.cfg.MaxUpdates)] {
		updates = append(updates, Update{Process: p.key, Sequence: p.heartbeat.Sequence})
	}
	return updates
}

// update applies an update, unless its process is not known.
func (r *Roster) update(now time.Time, u Update) []Change {
	p := r.processes[u.Process]
	if p == nil {
		return nil
	}
	p.readsUpdates = true
	heartbeat := p.heartbeat
	heartbeat.Sequence = u.Sequence
	return r.merge(now, heartbeat, false)
}

// targets returns where to send a round: up to Fanout random live hosts, most of them in this host's data centre, since messages within it are
// cheaper; one random host that is unreachable or has left, so that hosts find each other again after a partition; and seeds.
func (r *Roster) targets() []target {
	var near, far, unreachable []target
	for _, p := range r.known(func(*peer) bool { return true }) {
		t := target{address: p.heartbeat.Address, peer: p}
		switch {
		case !p.live:
			unreachable = append(unreachable, t)
		case p.heartbeat.DataCentre == r.cfg.Self.DataCentre:
			near = append(near, t)
		default:
			far = append(far, t)
		}
	}
	nearFirst := min(len(near), r.cfg.Fanout-1)
	targets := slices.Concat(near[:nearFirst], far, near[nearFirst:])
	targets = targets[:min(len(targets), r.cfg.Fanout)]
	targets = append(targets, unreachable[:min(len(unreachable), 1)]...)
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
