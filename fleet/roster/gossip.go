package roster

import (
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
	// UnderstandsUpdates is true if the sender understands updates. Hosts of earlier releases do not.
	UnderstandsUpdates bool
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

// news is what a host may tell others in a round.
type news struct {
	// announced are all hosts that others are to know of, updated those that updates suffice for, and complete the others.
	announced, updated, complete []*peer
}

func (r *Roster) news(now time.Time) news {
	var n news
	for _, id := range r.sorted {
		p := r.peers[id]
		isNews := now.Sub(p.changedAt) < r.cfg.NewsPeriod
		if p.live || p.heartbeat.Leaving {
			n.announced = append(n.announced, p)
		}
		switch {
		case p.live && p.understandsUpdates && !isNews:
			n.updated = append(n.updated, p)
		case p.live, p.heartbeat.Leaving && isNews:
			n.complete = append(n.complete, p)
		}
	}
	return n
}

// messageTo returns what to tell one host. One that understands updates gets the sender's own heartbeat, those that it may not have, and updates.
// Any other gets complete heartbeats only, and hears from time to time that this host understands updates.
func (r *Roster) messageTo(now time.Time, to target, n news) Message {
	if p := to.peer; p == nil || !p.understandsUpdates {
		return Message{To: to.address, Gossip: Gossip{Heartbeats: r.heartbeats(n.announced), UnderstandsUpdates: r.shouldAnnounce(now, p)}}
	}
	return Message{To: to.address, Compact: true, Gossip: Gossip{Heartbeats: r.heartbeats(n.complete), Updates: r.updates(n.updated), UnderstandsUpdates: true}}
}

// reply returns the answer to a message: the heartbeats that its sender wants, and what this host wants of those that it was sent updates of.
// ok is false if there is nothing to say.
func (r *Roster) reply(from host.ID, g Gossip) (m Message, ok bool) {
	p := r.peers[from]
	if p == nil {
		return Message{}, false
	}
	m = Message{To: p.heartbeat.Address, Compact: true, Gossip: Gossip{Heartbeats: []Heartbeat{r.cfg.Self}, UnderstandsUpdates: true}}
	for _, key := range g.Wanted[:min(len(g.Wanted), r.cfg.MaxHeartbeats)] {
		if wanted := r.processes[key]; wanted != nil {
			m.Gossip.Heartbeats = append(m.Gossip.Heartbeats, wanted.heartbeat)
		}
	}
	self := r.cfg.Self.processKey()
	for _, u := range g.Updates[:min(len(g.Updates), r.cfg.MaxUpdates)] {
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

// sample returns n of the peers at most, chosen at random, and reorders peers.
func (r *Roster) sample(peers []*peer, n int) []*peer {
	n = min(n, len(peers))
	for i := range n {
		j := i + r.cfg.Random.IntN(len(peers)-i)
		peers[i], peers[j] = peers[j], peers[i]
	}
	return peers[:n]
}

// heartbeats returns this host's heartbeat and those of others, MaxHeartbeats in all at most. If they are too many, up to half are of hosts with
// high capacity: all hosts need these at once, to agree on keepers and readers.
func (r *Roster) heartbeats(others []*peer) []Heartbeat {
	heartbeats := []Heartbeat{r.cfg.Self}
	if room := r.cfg.MaxHeartbeats - 1; len(others) > room {
		minCores := minCapacityFraction * r.maxCores()
		large, small := partition(others, func(p *peer) bool { return p.heartbeat.Cores >= minCores })
		others = r.sample(large, max(r.cfg.MaxHeartbeats/2, room-len(small)))
		others = append(others, r.sample(small, room-len(others))...)
	}
	for _, p := range others {
		heartbeats = append(heartbeats, p.heartbeat)
	}
	return heartbeats
}

// partition returns the peers that a condition holds for, and the others, each in the order given.
func partition(peers []*peer, condition func(*peer) bool) (yes, no []*peer) {
	for _, p := range peers {
		if condition(p) {
			yes = append(yes, p)
		} else {
			no = append(no, p)
		}
	}
	return yes, no
}

// updates returns updates for hosts, MaxUpdates at most.
func (r *Roster) updates(peers []*peer) []Update {
	var updates []Update
	for _, p := range r.sample(peers, r.cfg.MaxUpdates) {
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
	p.understandsUpdates = true
	heartbeat := p.heartbeat
	heartbeat.Sequence = u.Sequence
	return r.merge(now, heartbeat, false)
}
