// Package roster finds out which hosts of the fleet live, from heartbeats that they pass on to each other. No list of
// hosts is published: a host starts from a few seeds, which may be stale.
//
// Source: van Renesse, Minsky and Hayden, "A Gossip-Style Failure Detection Service", 1998.
package roster

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"balsamknot.org/fleet/host"
)

// Heartbeat is what a host says of itself; others pass it on.
type Heartbeat struct {
	_    struct{} `cbor:",toarray"`
	Host host.ID
	// Address is the ip:port for messages between hosts.
	Address    string
	DataCentre host.DataCentre
	// Cores is the processor time that the host has, in cores.
	Cores float64
	// Started is the Unix millisecond at which the host's process started.
	Started int64
	// Count grows while the process lives.
	Count uint64
	// Leaving is true when the process is about to stop.
	Leaving bool
}

// Config is what a roster is built from.
type Config struct {
	Self  Heartbeat
	Seeds []string
	// Fanout is how many hosts get each round of heartbeats.
	Fanout int
	// Rows bounds the heartbeats in one message.
	Rows int
	// Suspect is after how long without news a host counts as lost; SuspectPerHost is added for each known host, since
	// news of one host takes longer in a larger fleet. Forget is after how long a lost host is forgotten.
	Suspect        time.Duration
	SuspectPerHost time.Duration
	Forget         time.Duration
	Random         *rand.Rand
}

// SetSeeds changes the addresses that are told while few hosts are known.
func (r *Roster) SetSeeds(addresses []string) { r.cfg.Seeds = addresses }

// Message is one round's heartbeats for one host.
type Message struct {
	To   string
	Rows []Heartbeat
}

// Change is what became of a host.
type Change struct {
	Host host.ID
	// Live is false for a host that was lost, stopped or started anew.
	Live bool
}

// Roster is the state. It is not safe for concurrent use.
type Roster struct {
	cfg   Config
	peers map[host.ID]*peer
	last  time.Time
}

type peer struct {
	beat  Heartbeat
	heard time.Time
	live  bool
}

// New returns a roster that knows only its own host.
func New(cfg Config) *Roster {
	return &Roster{cfg: cfg, peers: make(map[host.ID]*peer)}
}

// Hear takes heartbeats in; from is the host that sent the message. A host is believed about its own start.
func (r *Roster) Hear(now time.Time, from host.ID, rows []Heartbeat) []Change {
	var changes []Change
	for _, row := range rows {
		if row.Host == r.cfg.Self.Host || row.Host == "" {
			continue
		}
		changes = append(changes, r.hear(now, row, row.Host == from)...)
	}
	return changes
}

func (r *Roster) hear(now time.Time, row Heartbeat, itself bool) []Change {
	p := r.peers[row.Host]
	if p == nil {
		p = &peer{beat: row, heard: now, live: !row.Leaving}
		r.peers[row.Host] = p
		if !p.live {
			return nil
		}
		return []Change{{row.Host, true}}
	}
	switch {
	case row.Started != p.beat.Started && (itself || row.Started > p.beat.Started):
		was := p.live
		p.beat, p.heard, p.live = row, now, !row.Leaving
		if was && p.live {
			return []Change{{row.Host, false}, {row.Host, true}}
		}
		return changed(row.Host, was, p.live)
	case row.Started != p.beat.Started || row.Count <= p.beat.Count:
		return nil
	}
	was := p.live
	p.beat, p.heard, p.live = row, now, !row.Leaving
	return changed(row.Host, was, p.live)
}

func changed(id host.ID, was, is bool) []Change {
	if was == is {
		return nil
	}
	return []Change{{id, is}}
}

// Tick starts a round: it returns the messages to send, and what became of hosts that were not heard of.
// Time during which this host did not run does not count against the others.
func (r *Roster) Tick(now time.Time) ([]Message, []Change) {
	if pause := now.Sub(r.last); !r.last.IsZero() && pause > r.cfg.Suspect/2 {
		for _, p := range r.peers {
			p.heard = p.heard.Add(pause)
		}
	}
	r.last = now
	r.cfg.Self.Count++
	suspect := r.cfg.Suspect + time.Duration(len(r.peers))*r.cfg.SuspectPerHost
	var changes []Change
	for _, id := range r.ids() {
		p := r.peers[id]
		silent := now.Sub(p.heard)
		if p.live && silent > suspect {
			p.live = false
			changes = append(changes, Change{id, false})
		}
		if silent > r.cfg.Forget {
			delete(r.peers, id)
		}
	}
	return r.messages(), changes
}

func (r *Roster) messages() []Message {
	targets := r.targets()
	messages := make([]Message, 0, len(targets))
	for _, to := range targets {
		messages = append(messages, Message{To: to, Rows: r.rows()})
	}
	return messages
}

// targets returns whom to tell: some live hosts, one that seems lost, and a seed.
func (r *Roster) targets() []string {
	var live, lost []string
	for _, id := range r.ids() {
		p := r.peers[id]
		if p.live {
			live = append(live, p.beat.Address)
		} else {
			lost = append(lost, p.beat.Address)
		}
	}
	r.cfg.Random.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	targets := live[:min(len(live), r.cfg.Fanout)]
	if len(lost) > 0 {
		targets = append(targets, lost[r.cfg.Random.IntN(len(lost))])
	}
	if len(r.cfg.Seeds) > 0 && len(live) < r.cfg.Fanout {
		targets = append(targets, r.cfg.Seeds...)
	}
	targets = slices.DeleteFunc(targets, func(a string) bool { return a == r.cfg.Self.Address })
	slices.Sort(targets)
	return slices.Compact(targets)
}

// Welcome returns a message for a host that has just come, so that it need not wait for a round.
func (r *Roster) Welcome(id host.ID) (Message, bool) {
	p := r.peers[id]
	if p == nil {
		return Message{}, false
	}
	return Message{To: p.beat.Address, Rows: r.rows()}, true
}

// rows returns this host's heartbeat and some of the others'.
func (r *Roster) rows() []Heartbeat {
	rows := []Heartbeat{r.cfg.Self}
	ids := r.ids()
	r.cfg.Random.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	for _, id := range ids {
		if len(rows) >= r.cfg.Rows {
			break
		}
		if p := r.peers[id]; p.live || p.beat.Leaving {
			rows = append(rows, p.beat)
		}
	}
	return rows
}

// Leave returns the messages that tell all live hosts that this one is about to stop.
func (r *Roster) Leave() []Message {
	r.cfg.Self.Leaving = true
	r.cfg.Self.Count++
	var messages []Message
	for _, id := range r.ids() {
		if p := r.peers[id]; p.live {
			messages = append(messages, Message{To: p.beat.Address, Rows: []Heartbeat{r.cfg.Self}})
		}
	}
	return messages
}

// Live returns the live hosts in order, this one included unless it is leaving.
func (r *Roster) Live() []host.ID {
	ids := make([]host.ID, 0, len(r.peers)+1)
	if !r.cfg.Self.Leaving {
		ids = append(ids, r.cfg.Self.Host)
	}
	for id, p := range r.peers {
		if p.live {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// strongShare is the part of the strongest host's cores from which on a host counts as strong.
const strongShare = 0.7

// Strong returns the live hosts that can bear work for others: all that have nearly as many cores as the strongest.
func (r *Roster) Strong() []host.ID {
	live := r.Live()
	most := 0.0
	for _, id := range live {
		most = max(most, r.cores(id))
	}
	return slices.DeleteFunc(live, func(id host.ID) bool { return r.cores(id) < strongShare*most })
}

// Seasoned reports whether a host has sent at least count heartbeats since its start, as far as this one knows.
func (r *Roster) Seasoned(id host.ID, count uint64) bool {
	if p := r.peers[id]; p != nil {
		return p.beat.Count >= count
	}
	return id == r.cfg.Self.Host && r.cfg.Self.Count >= count
}

func (r *Roster) cores(id host.ID) float64 {
	if p := r.peers[id]; p != nil {
		return p.beat.Cores
	}
	return r.cfg.Self.Cores
}

// Address returns where a host is reached.
func (r *Roster) Address(id host.ID) (string, bool) {
	p := r.peers[id]
	if p == nil {
		return "", false
	}
	return p.beat.Address, true
}

func (r *Roster) ids() []host.ID {
	ids := make([]host.ID, 0, len(r.peers))
	for id := range r.peers {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, cmp.Compare[host.ID])
	return ids
}
