// Package roster keeps the list of live hosts of the fleet. It is a gossip protocol with a failure detector: each host sends
// heartbeats, its own and those it received, to a few hosts per round, and treats a host as unreachable when the host's
// heartbeat has not advanced for too long. No list of hosts is published: a host starts from the addresses of a few seeds,
// which may be out of date.
//
// In a fleet that has run for a while, nearly all that changes is the sequence numbers of heartbeats. Hosts that understand updates are sent only
// these, and ask for a heartbeat that they lack.
//
// The package does no I/O. Tick, Receive, Leave and JoinMessage return the messages for the caller to send.
//
// Source: van Renesse, Minsky and Hayden, "A Gossip-Style Failure Detection Service", 1998.
package roster

import (
	"math/rand/v2"
	"slices"
	"time"

	"balsamknot.org/fleet/host"
)

// Heartbeat is the state that a host announces about itself. Other hosts pass it on unchanged.
type Heartbeat struct {
	_    struct{} `cbor:",toarray"`
	Host host.ID
	// Address is the ip:port at which the host receives messages of other hosts.
	Address    string
	DataCentre host.DataCentre
	// Cores is the number of CPU cores that the host may use; it need not be a whole number.
	Cores float64
	// StartedAt is the Unix time in milliseconds at which the host's process started.
	StartedAt int64
	// Sequence increases with every round of the process. Of two heartbeats with the same StartedAt the higher one is newer.
	Sequence uint64
	// Leaving is true when the process is about to stop.
	Leaving bool
}

// Config holds a roster's own heartbeat, the seeds, and the limits of the protocol.
type Config struct {
	Self  Heartbeat
	Seeds []string
	// Fanout is how many live hosts receive the heartbeats of each round.
	Fanout int
	// MaxHeartbeats is the largest number of heartbeats in one message, the host's own included, and MaxUpdates that of updates.
	MaxHeartbeats int
	MaxUpdates    int
	// NewsPeriod is how long the start or the leaving of a host is told in complete heartbeats also to hosts that understand updates.
	NewsPeriod time.Duration
	// SuspectAfter is the time without a newer heartbeat after which a host is treated as unreachable. SuspectAfterPerHost is
	// added to it for each known host, since heartbeats take longer to spread in a larger fleet. ForgetAfter is the time without
	// a newer heartbeat after which a host is removed from the roster.
	SuspectAfter        time.Duration
	SuspectAfterPerHost time.Duration
	ForgetAfter         time.Duration
	Random              *rand.Rand
}

// SetSeeds replaces the addresses that receive heartbeats while fewer than Fanout other hosts are live, and now and then later.
func (r *Roster) SetSeeds(addresses []string) { r.cfg.Seeds = addresses }

// Message is what to send to one address.
type Message struct {
	To     string
	Gossip Gossip
	// Compact is true if the receiver understands updates.
	Compact bool
}

// Change reports that a host became live or stopped being live.
type Change struct {
	Host host.ID
	// Live is false for a host that became unreachable, is leaving or was restarted. A restart of a live host is reported as two
	// changes, first with Live false and then with Live true.
	Live bool
}

// Roster is one host's view of the fleet. It is not safe for concurrent use.
type Roster struct {
	cfg   Config
	peers map[host.ID]*peer
	// sorted holds the keys of peers in order, and processes the peers by process.
	sorted    []host.ID
	processes map[ProcessKey]*peer
	lastTick  time.Time
}

type peer struct {
	heartbeat Heartbeat
	key       ProcessKey
	updatedAt time.Time
	// changedAt is when the heartbeat last changed by more than its sequence number.
	changedAt time.Time
	live      bool
	// understandsUpdates is true once the process has said that it understands updates, and announcedAt is when it was last told that this host does.
	understandsUpdates bool
	announcedAt        time.Time
}

// New returns a roster that contains only its own host.
func New(cfg Config) *Roster {
	return &Roster{cfg: cfg, peers: make(map[host.ID]*peer), processes: make(map[ProcessKey]*peer)}
}

// Receive merges a message and returns what changed; from is the host that sent it. A different
// StartedAt means that the process was restarted. It is accepted when the host itself sent it, even when it is earlier because
// the clock of the host was set back, and otherwise only when it is later. answer holds a message to send, or none.
func (r *Roster) Receive(now time.Time, from host.ID, g Gossip) (changes []Change, answer []Message) {
	for _, heartbeat := range g.Heartbeats {
		if heartbeat.Host == r.cfg.Self.Host || heartbeat.Host == "" {
			continue
		}
		changes = append(changes, r.merge(now, heartbeat, heartbeat.Host == from)...)
	}
	for _, u := range g.Updates {
		changes = append(changes, r.update(now, u)...)
	}
	if p := r.peers[from]; p != nil && g.UnderstandsUpdates {
		p.understandsUpdates = true
	}
	if m, ok := r.reply(from, g); ok {
		answer = append(answer, m)
	}
	return changes, answer
}

// merge applies one heartbeat; fromSelf is true when the host that it describes sent the message.
func (r *Roster) merge(now time.Time, heartbeat Heartbeat, fromSelf bool) []Change {
	p := r.peers[heartbeat.Host]
	if p == nil {
		p = &peer{}
		r.insert(heartbeat.Host, p)
		r.replaceProcess(now, p, heartbeat)
		return changed(heartbeat.Host, false, p.live)
	}
	wasLive := p.live
	switch {
	case heartbeat.StartedAt != p.heartbeat.StartedAt && (fromSelf || heartbeat.StartedAt > p.heartbeat.StartedAt):
		r.replaceProcess(now, p, heartbeat)
		if wasLive && p.live {
			return []Change{{heartbeat.Host, false}, {heartbeat.Host, true}}
		}
		return changed(heartbeat.Host, wasLive, p.live)
	case heartbeat.StartedAt != p.heartbeat.StartedAt || heartbeat.Sequence <= p.heartbeat.Sequence:
		return nil
	case heartbeat.Leaving != p.heartbeat.Leaving:
		p.changedAt = now
	}
	p.heartbeat, p.updatedAt, p.live = heartbeat, now, !heartbeat.Leaving
	return changed(heartbeat.Host, wasLive, p.live)
}

// insert adds a peer.
func (r *Roster) insert(id host.ID, p *peer) {
	r.peers[id] = p
	at, _ := slices.BinarySearch(r.sorted, id)
	r.sorted = slices.Insert(r.sorted, at, id)
}

// replaceProcess sets a peer's heartbeat to that of a process that was not known before.
func (r *Roster) replaceProcess(now time.Time, p *peer, heartbeat Heartbeat) {
	delete(r.processes, p.key)
	*p = peer{heartbeat: heartbeat, key: heartbeat.processKey(), updatedAt: now, changedAt: now, live: !heartbeat.Leaving}
	r.processes[p.key] = p
}

// forget removes a peer.
func (r *Roster) forget(id host.ID) {
	delete(r.processes, r.peers[id].key)
	delete(r.peers, id)
	if at, found := slices.BinarySearch(r.sorted, id); found {
		r.sorted = slices.Delete(r.sorted, at, at+1)
	}
}

// changed returns a Change if the host became live or stopped being live, and nil otherwise.
func changed(id host.ID, wasLive, isLive bool) []Change {
	if wasLive == isLive {
		return nil
	}
	return []Change{{id, isLive}}
}

// Tick starts a round: it returns the messages to send, and the hosts that became unreachable. A gap between two calls longer
// than half of SuspectAfter means that this host was paused. The pause is not added to the other hosts' silence; otherwise
// a host would treat all others as unreachable after its own pause.
func (r *Roster) Tick(now time.Time) ([]Message, []Change) {
	if pause := now.Sub(r.lastTick); !r.lastTick.IsZero() && pause > r.cfg.SuspectAfter/2 {
		for _, p := range r.peers {
			p.updatedAt = p.updatedAt.Add(pause)
		}
	}
	r.lastTick = now
	r.cfg.Self.Sequence++
	suspectAfter := r.cfg.SuspectAfter + time.Duration(len(r.peers))*r.cfg.SuspectAfterPerHost
	var changes []Change
	for _, id := range slices.Clone(r.sorted) {
		p := r.peers[id]
		silence := now.Sub(p.updatedAt)
		if p.live && silence > suspectAfter {
			p.live = false
			changes = append(changes, Change{id, false})
		}
		if silence > r.cfg.ForgetAfter {
			r.forget(id)
		}
	}
	return r.messages(now), changes
}

func (r *Roster) messages(now time.Time) []Message {
	targets, n := r.targets(), r.news(now)
	messages := make([]Message, 0, len(targets))
	for _, t := range targets {
		messages = append(messages, r.messageTo(now, t, n))
	}
	return messages
}

// JoinMessage returns a message for a host that has just joined, so that it need not wait for the next round. It reports false
// for an unknown host.
func (r *Roster) JoinMessage(now time.Time, id host.ID) (Message, bool) {
	p := r.peers[id]
	if p == nil {
		return Message{}, false
	}
	return r.messageTo(now, target{address: p.heartbeat.Address, peer: p}, r.news(now)), true
}

// Leave marks this host as leaving and returns the messages that announce it to all live hosts.
func (r *Roster) Leave() []Message {
	r.cfg.Self.Leaving = true
	r.cfg.Self.Sequence++
	var messages []Message
	for _, id := range r.sorted {
		if p := r.peers[id]; p.live {
			messages = append(messages, Message{To: p.heartbeat.Address, Gossip: Gossip{Heartbeats: []Heartbeat{r.cfg.Self}}})
		}
	}
	return messages
}

// Live returns the live hosts, sorted by ID; this one is included unless it is leaving.
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

// UnreachableCount returns the number of hosts that stopped being live without leaving, and have not been forgotten.
func (r *Roster) UnreachableCount() int {
	n := 0
	for _, p := range r.peers {
		if !p.live && !p.heartbeat.Leaving {
			n++
		}
	}
	return n
}

// EarlierReleaseCount returns the number of live hosts that are not known to understand updates: those of earlier releases, and for a moment
// those that have just started.
func (r *Roster) EarlierReleaseCount() int {
	n := 0
	for _, p := range r.peers {
		if p.live && !p.understandsUpdates {
			n++
		}
	}
	return n
}

// minCapacityFraction is the fraction of the highest number of cores that a host needs to have high capacity.
const minCapacityFraction = 0.7

// HighCapacity returns the live hosts that can work for other hosts: those whose number of cores is close to the highest one.
// They serve as keepers, which decide which endpoint a request gets, and as readers, which read the platform's store for others.
func (r *Roster) HighCapacity() []host.ID {
	minCores := minCapacityFraction * r.maxCores()
	return slices.DeleteFunc(r.Live(), func(id host.ID) bool { return r.cores(id) < minCores })
}

// maxCores returns the highest number of cores of a live host.
func (r *Roster) maxCores() float64 {
	highest := 0.0
	if !r.cfg.Self.Leaving {
		highest = r.cfg.Self.Cores
	}
	for _, p := range r.peers {
		if p.live {
			highest = max(highest, p.heartbeat.Cores)
		}
	}
	return highest
}

// HasSentHeartbeats reports whether a host has sent at least count heartbeats since its start, as far as this host has
// received them. It is false for an unknown host.
func (r *Roster) HasSentHeartbeats(id host.ID, count uint64) bool {
	if p := r.peers[id]; p != nil {
		return p.heartbeat.Sequence >= count
	}
	return id == r.cfg.Self.Host && r.cfg.Self.Sequence >= count
}

func (r *Roster) cores(id host.ID) float64 {
	if p := r.peers[id]; p != nil {
		return p.heartbeat.Cores
	}
	return r.cfg.Self.Cores
}

// Address returns the address of another host; it reports false for an unknown host and for this one.
func (r *Roster) Address(id host.ID) (string, bool) {
	p := r.peers[id]
	if p == nil {
		return "", false
	}
	return p.heartbeat.Address, true
}

// Seeds returns the seeds but this host if there are any and all of them are live, and otherwise none.
func (r *Roster) Seeds() []host.ID {
	atAddress := make(map[string]host.ID, len(r.peers))
	for id, p := range r.peers {
		if p.live {
			atAddress[p.heartbeat.Address] = id
		}
	}
	var seeds []host.ID
	for _, address := range r.cfg.Seeds {
		id, live := atAddress[address]
		switch {
		case address == r.cfg.Self.Address:
		case !live:
			return nil
		default:
			seeds = append(seeds, id)
		}
	}
	return seeds
}

// DataCentre returns the data centre of another host; empty for an unknown one.
func (r *Roster) DataCentre(id host.ID) host.DataCentre {
	if p := r.peers[id]; p != nil {
		return p.heartbeat.DataCentre
	}
	return ""
}
