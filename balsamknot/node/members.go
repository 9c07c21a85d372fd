package node

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/rs/zerolog"

	"balsamknot.org/balsamknot/event"
	"balsamknot.org/fleet/claim"
	"balsamknot.org/fleet/engine"
	"balsamknot.org/fleet/gossip"
	"balsamknot.org/fleet/host"
	"balsamknot.org/fleet/revision"
	"balsamknot.org/fleet/wire"
)

const (
	exchangeTimeout = 700 * time.Millisecond
	// directContactGrace is the time after a message from a host in which reports by other hosts that it is unreachable are
	// ignored.
	directContactGrace = 2 * time.Second
	// maxGossipBytes limits the estimated size of the rows in one message, in bytes.
	maxGossipBytes = 1100
	rowLifetime    = 5 * time.Second
	// Prefixes of the keys of gossip rows. After the prefix comes the ID of a host that did not answer (suspect), of an endpoint
	// whose load the row holds, or of an endpoint that is down. Rows about crashes have the prefixes of package fingerprint.
	suspectKeyPrefix = "suspect/"
	loadKeyPrefix    = "load/"
	downKeyPrefix    = "down/"
)

// members holds the node's view of the fleet and exchanges heartbeats and gossip with the other nodes. The view includes the
// history of the electors, the hosts that vote on which host may run a request with an idempotency key.
type members struct {
	n *Node

	mu             sync.Mutex
	view           *host.View
	table          *gossip.Table
	rotation       *gossip.PeerRotation
	random         *rand.Rand
	electorHistory claim.ElectorHistory
	leaving        bool
	// lastTick is the time of the last call of tick. It is long ago when the process resumes after a pause.
	lastTick time.Time
	// liveByRegion caches the live hosts of each region; it is cleared when the view changes.
	liveByRegion map[host.Region][]host.ID
	// peerRevisions holds the revision of the set in force at each peer, from its last message.
	peerRevisions map[host.ID]revision.Number
}

func newMembers(n *Node) *members {
	seed := uint64(time.Now().UnixNano())
	random := rand.New(rand.NewPCG(seed, seed))
	return &members{
		n: n,
		view: host.NewView(host.ViewConfig{
			Self: n.self, ElectorGrace: n.cfg.ElectorGrace, DirectContactGrace: directContactGrace,
		}),
		table:         gossip.NewTable(gossip.Config{MessageBytes: maxGossipBytes, Lifetime: rowLifetime}),
		rotation:      gossip.NewPeerRotation(random),
		random:        random,
		lastTick:      n.timers.Now(),
		peerRevisions: make(map[host.ID]revision.Number),
		liveByRegion:  make(map[host.Region][]host.ID),
	}
}

// update applies one event to the view. If hosts changed state it logs that and reassigns the endpoints.
func (m *members) update(now time.Time, e host.Event) {
	m.mu.Lock()
	changes := m.view.Update(now, e)
	retention := m.n.cfg.KeyLifetime + m.n.cfg.ClockSkew
	m.electorHistory.Observe(now, m.view.Electors(m.n.self.Region), retention)
	if _, isList := e.(host.ListReceived); isList || len(changes) > 0 {
		clear(m.liveByRegion)
	}
	m.mu.Unlock()
	for _, c := range changes {
		event.Log(m.n.log, zerolog.InfoLevel, event.HostChanged).Str("Peer", string(c.ID)).
			Str("From", c.From).Str("To", c.To).Msg(event.Text(event.HostChanged))
	}
	if len(changes) > 0 {
		m.n.keeper.updateAssignments()
	}
}

// recordContactFailure records that a peer did not answer and publishes it by gossip. heartbeat is true for an unanswered
// heartbeat, false for another call that failed.
func (m *members) recordContactFailure(id host.ID, heartbeat bool) {
	now := m.n.timers.Now()
	m.update(now, host.ContactFailed{ID: id, Heartbeat: heartbeat})
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.Merge([]gossip.Row{{
		Origin: m.n.self.ID, Key: suspectKeyPrefix + string(id), Version: uint64(now.UnixMilli()), At: now,
	}})
}

// tick updates the view and exchanges a heartbeat and gossip with the next peer.
func (m *members) tick(ctx context.Context, now time.Time) {
	m.update(now, host.Tick{})
	m.mu.Lock()
	m.lastTick = now
	id, ok := m.rotation.Next(m.view.Peers())
	m.mu.Unlock()
	if ok {
		m.n.work.Go(func() { m.exchange(ctx, id) })
	}
}

// exchange sends one message to a peer and processes the reply. It serves as a heartbeat.
func (m *members) exchange(ctx context.Context, id host.ID) {
	m.mu.Lock()
	record, ok := m.view.Record(id)
	message := m.messageLocked(m.n.timers.Now())
	m.mu.Unlock()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	reply, err := m.n.peers.controlClient(record.PeerAddress).Exchange(ctx, connect.NewRequest(message))
	if err != nil {
		m.recordContactFailure(id, true)
		return
	}
	m.receive(reply.Msg, true)
}

// broadcast exchanges messages with up to limit random peers at the same time and waits for the replies. It is for updates that
// can't wait for the next heartbeat.
func (m *members) broadcast(ctx context.Context, limit int) {
	m.mu.Lock()
	peers := m.view.Peers()
	m.random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	m.mu.Unlock()
	var wg sync.WaitGroup
	for _, id := range peers[:min(limit, len(peers))] {
		wg.Go(func() { m.exchange(ctx, id) })
	}
	wg.Wait()
}

// messageLocked returns the next message to a peer. It is called with mu held.
func (m *members) messageLocked(now time.Time) *wire.ExchangeMessage {
	message := &wire.ExchangeMessage{
		Host: string(m.n.self.ID), Incarnation: string(m.n.incarnation), Leaving: m.leaving,
		Documents: m.n.documents.documentMarks(),
	}
	for _, row := range append(m.table.NextBatch(now, len(m.view.Peers())+1), m.n.crashes.nextRows(now)...) {
		message.Rows = append(message.Rows, &wire.Row{
			Origin: string(row.Origin), Key: row.Key, Version: row.Version,
			AgeMs: uint32(max(0, now.Sub(row.At).Milliseconds())), A: row.A, B: row.B, C: row.C,
		})
	}
	return message
}

// receive processes a message from a peer: its gossip rows, its heartbeat and its document revisions. heartbeatReply is true
// when the message is the reply to one that this node sent.
func (m *members) receive(message *wire.ExchangeMessage, heartbeatReply bool) {
	now := m.n.timers.Now()
	rows := make([]gossip.Row, 0, len(message.GetRows()))
	for _, row := range message.GetRows() {
		rows = append(rows, gossip.Row{
			Origin: host.ID(row.GetOrigin()), Key: row.GetKey(), Version: row.GetVersion(),
			At: now.Add(-time.Duration(row.GetAgeMs()) * time.Millisecond), A: row.GetA(), B: row.GetB(), C: row.GetC(),
		})
	}
	from := host.ID(message.GetHost())
	m.mu.Lock()
	updated := m.table.Merge(rows)
	for _, mark := range message.GetDocuments() {
		if revision.DocumentName(mark.GetName()) == revision.DocumentSet {
			m.peerRevisions[from] = revision.Number(mark.GetRevision())
		}
	}
	m.mu.Unlock()
	m.update(now, host.MessageReceived{ID: from, Incarnation: host.Incarnation(message.GetIncarnation()), Leaving: message.GetLeaving(), HeartbeatReply: heartbeatReply})
	for _, row := range updated {
		m.applyRow(now, row)
	}
	// Of two crashes of one endpoint, the table keeps the later one.
	for _, row := range rows {
		m.n.crashes.recordRow(row)
	}
	m.n.documents.fetchNewer(from, message.GetDocuments())
}

// applyRow applies a gossip row that is new or updated. Load rows stay in the table, where gossipLoads reads them; rows about crashes
// are applied by receive.
func (m *members) applyRow(now time.Time, row gossip.Row) {
	switch {
	case strings.HasPrefix(row.Key, suspectKeyPrefix):
		m.update(now, host.UnreachableReported{ID: host.ID(strings.TrimPrefix(row.Key, suspectKeyPrefix))})
	case strings.HasPrefix(row.Key, downKeyPrefix):
		m.n.keeper.recordDown(engine.ID(strings.TrimPrefix(row.Key, downKeyPrefix)), row.At)
	}
}

// publish adds a row to the gossip of this node.
func (m *members) publish(row gossip.Row) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.Merge([]gossip.Row{row})
}

// row returns the gossip row of an origin and key, and false if there is none or it has expired.
func (m *members) row(now time.Time, origin host.ID, key string) (gossip.Row, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Get(now, origin, key)
}

// rows returns the unexpired gossip rows whose key begins with prefix.
func (m *members) rows(now time.Time, prefix string) []gossip.Row {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Select(now, prefix)
}

// announceLeaving notifies up to maxBroadcastPeers peers at once that this node is leaving, so that they send it no new
// requests. The others are notified by the next heartbeats.
func (m *members) announceLeaving() {
	m.mu.Lock()
	m.leaving = true
	m.mu.Unlock()
	m.update(m.n.timers.Now(), host.MessageReceived{ID: m.n.self.ID, Incarnation: m.n.incarnation, Leaving: true})
	m.broadcast(context.Background(), maxBroadcastPeers)
}

// maxBroadcastPeers is the largest number of peers that a node contacts at once; the others get the update by heartbeats or
// gossip.
const maxBroadcastPeers = 32

// live returns the live hosts of a region, or of all regions if region is empty. Callers must not modify the result.
func (m *members) live(region host.Region) []host.ID {
	m.mu.Lock()
	defer m.mu.Unlock()
	hosts, ok := m.liveByRegion[region]
	if !ok {
		hosts = m.view.Live(region)
		m.liveByRegion[region] = hosts
	}
	return hosts
}

func (m *members) liveInDataCentre() []host.ID {
	m.mu.Lock()
	defer m.mu.Unlock()
	var ids []host.ID
	for _, id := range m.view.Live("") {
		if record, _ := m.view.Record(id); record.DataCentre == m.n.self.DataCentre {
			ids = append(ids, id)
		}
	}
	return ids
}

func (m *members) peerIDs() []host.ID {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.Peers()
}

func (m *members) state(id host.ID) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.State(id)
}

func (m *members) record(id host.ID) (host.Record, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.Record(id)
}

func (m *members) electors(key claim.Key) []host.ID {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.electorHistory.Electors(key)
}

// electorSince returns since when this node has been an elector of a key. It returns the zero time, with which the node abstains,
// when it is no elector of the key, is not connected to the fleet, or resumed after a pause and holds an outdated view.
func (m *members) electorSince(key claim.Key) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.view.Connected() || m.n.timers.Now().Sub(m.lastTick) > pauseThreshold {
		return time.Time{}
	}
	return m.electorHistory.ElectorSince(key, m.n.self.ID)
}

func (m *members) peerRevision(id host.ID) revision.Number {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.peerRevisions[id]
}
