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
	hearsayImmunity = 2 * time.Second
	// gossipBytes bounds the rows of one message between nodes.
	gossipBytes = 1100
	rowLifetime = 5 * time.Second
	suspectKey  = "suspect/"
	loadKey     = "load/"
	downKey     = "down/"
)

// members is the controller of the node's view of the fleet: heartbeats, gossip and the elector view.
type members struct {
	n *Node

	mu         sync.Mutex
	view       *host.View
	store      *gossip.Table
	round      *gossip.PeerRotation
	random     *rand.Rand
	electorate claim.ElectorHistory
	leaving    bool
	// ticked is when the view was last brought up to date: long ago when the process has just woken from a pause.
	ticked time.Time
	// routing caches the hosts that get new work, by region; it is made anew when the view changes.
	routing map[host.Region][]host.ID
	// marks holds the revision of the set that each peer had in force when last heard.
	marks map[host.ID]revision.Number
}

func newMembers(n *Node) *members {
	seed := uint64(time.Now().UnixNano())
	random := rand.New(rand.NewPCG(seed, seed))
	return &members{
		n: n,
		view: host.NewView(host.ViewConfig{
			Self: n.self, ElectorGrace: n.cfg.ElectorGrace, DirectContactGrace: hearsayImmunity,
		}),
		store:   gossip.NewTable(gossip.Config{MessageBytes: gossipBytes, Lifetime: rowLifetime}),
		round:   gossip.NewPeerRotation(random),
		random:  random,
		ticked:  n.timers.Now(),
		marks:   make(map[host.ID]revision.Number),
		routing: make(map[host.Region][]host.ID),
	}
}

// update applies one event to the view and acts on the moves that follow.
func (m *members) update(now time.Time, e host.Event) {
	m.mu.Lock()
	changes := m.view.Update(now, e)
	keep := m.n.cfg.KeyLifetime + m.n.cfg.ClockSkew
	m.electorate.Observe(now, m.view.Electors(m.n.self.Region), keep)
	if _, listed := e.(host.ListReceived); listed || len(changes) > 0 {
		clear(m.routing)
	}
	m.mu.Unlock()
	for _, c := range changes {
		event.Log(m.n.log, zerolog.InfoLevel, event.HostChanged).Str("Peer", string(c.ID)).
			Str("From", c.From).Str("To", c.To).Msg(event.Text(event.HostChanged))
	}
	if len(changes) > 0 {
		m.n.keeping.reassign()
	}
}

// missed notes that a peer did not answer, and tells the others. asked is set for a heartbeat.
func (m *members) missed(id host.ID, asked bool) {
	now := m.n.timers.Now()
	m.update(now, host.ContactFailed{ID: id, Heartbeat: asked})
	m.mu.Lock()
	defer m.mu.Unlock()
	m.store.Merge([]gossip.Row{{
		Origin: m.n.self.ID, Key: suspectKey + string(id), Version: uint64(now.UnixMilli()), At: now,
	}})
}

// tick exchanges heartbeat and gossip with the next peer.
func (m *members) tick(ctx context.Context, now time.Time) {
	m.update(now, host.Tick{})
	m.mu.Lock()
	m.ticked = now
	id, ok := m.round.Next(m.view.Peers())
	m.mu.Unlock()
	if ok {
		m.n.work.Go(func() { m.exchange(ctx, id) })
	}
}

// exchange sends one message to a peer and takes in its answer.
func (m *members) exchange(ctx context.Context, id host.ID) {
	m.mu.Lock()
	record, ok := m.view.Record(id)
	message := m.message(m.n.timers.Now())
	m.mu.Unlock()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	reply, err := m.n.peers.controlClient(record.PeerAddress).Exchange(ctx, connect.NewRequest(message))
	if err != nil {
		m.missed(id, true)
		return
	}
	m.receive(reply.Msg, true)
}

// broadcast exchanges at once with up to n peers, each once, for news that must not wait for the next heartbeat.
func (m *members) broadcast(ctx context.Context, n int) {
	m.mu.Lock()
	peers := m.view.Peers()
	m.random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	m.mu.Unlock()
	var wg sync.WaitGroup
	for _, id := range peers[:min(n, len(peers))] {
		wg.Go(func() { m.exchange(ctx, id) })
	}
	wg.Wait()
}

// message is called with mu held.
func (m *members) message(now time.Time) *wire.ExchangeMessage {
	message := &wire.ExchangeMessage{
		Host: string(m.n.self.ID), Incarnation: string(m.n.incarnation), Leaving: m.leaving,
		Documents: m.n.documents.documentMarks(),
	}
	for _, row := range m.store.NextBatch(now, len(m.view.Peers())+1) {
		message.Rows = append(message.Rows, &wire.Row{
			Origin: string(row.Origin), Key: row.Key, Version: row.Version,
			AgeMs: uint32(max(0, now.Sub(row.At).Milliseconds())), A: row.A, B: row.B, C: row.C,
		})
	}
	return message
}

// receive takes in a peer's message; asked is set when it answers one of ours.
func (m *members) receive(message *wire.ExchangeMessage, asked bool) {
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
	news := m.store.Merge(rows)
	for _, mark := range message.GetDocuments() {
		if revision.DocumentName(mark.GetName()) == revision.DocumentSet {
			m.marks[from] = revision.Number(mark.GetRevision())
		}
	}
	m.mu.Unlock()
	m.update(now, host.MessageReceived{ID: from, Incarnation: host.Incarnation(message.GetIncarnation()), Leaving: message.GetLeaving(), HeartbeatReply: asked})
	for _, row := range news {
		m.act(now, row)
	}
	m.n.documents.fetchNewer(from, message.GetDocuments())
}

// act applies a fact that was news.
func (m *members) act(now time.Time, row gossip.Row) {
	switch {
	case strings.HasPrefix(row.Key, suspectKey):
		m.update(now, host.UnreachableReported{ID: host.ID(strings.TrimPrefix(row.Key, suspectKey))})
	case strings.HasPrefix(row.Key, downKey):
		m.n.keeping.noteDown(engine.ID(strings.TrimPrefix(row.Key, downKey)), row.At)
	case strings.HasPrefix(row.Key, crashKeyPrefix):
		m.n.suspects.recordRow(now, row)
	}
}

// tell puts a fact into gossip.
func (m *members) tell(row gossip.Row) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.store.Merge([]gossip.Row{row})
}

// row returns one fact if it still counts.
func (m *members) row(now time.Time, origin host.ID, key string) (gossip.Row, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.store.Get(now, origin, key)
}

// rows returns the facts of a kind that still count.
func (m *members) rows(now time.Time, prefix string) []gossip.Row {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.store.Select(now, prefix)
}

// leave tells every peer at once that this node takes no new work.
func (m *members) leave() {
	m.mu.Lock()
	m.leaving = true
	m.mu.Unlock()
	m.update(m.n.timers.Now(), host.MessageReceived{ID: m.n.self.ID, Incarnation: m.n.incarnation, Leaving: true})
	m.broadcast(context.Background(), mostTold)
}

// mostTold bounds how many peers a node tells at once; the rest hear it by gossip.
const mostTold = 32

// live returns the hosts of a region that get new work. The result must not be changed.
func (m *members) live(region host.Region) []host.ID {
	m.mu.Lock()
	defer m.mu.Unlock()
	hosts, ok := m.routing[region]
	if !ok {
		hosts = m.view.Live(region)
		m.routing[region] = hosts
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
	return m.electorate.Electors(key)
}

// electorSince returns since when this node may vouch for a key, zero while it may not.
func (m *members) electorSince(key claim.Key) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.view.Connected() || m.n.timers.Now().Sub(m.ticked) > pausedAfter {
		return time.Time{}
	}
	return m.electorate.ElectorSince(key, m.n.self.ID)
}

func (m *members) mark(id host.ID) revision.Number {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.marks[id]
}
