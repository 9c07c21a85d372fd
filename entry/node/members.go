package node

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"balsamknot.org/balsamknot/event"
	"balsamknot.org/entry/peer"
	"balsamknot.org/fleet/host"
	"balsamknot.org/fleet/placement"
	"balsamknot.org/fleet/pool"
	"balsamknot.org/fleet/roster"
	"balsamknot.org/fleet/site"
	"balsamknot.org/fleet/timer"
)

// members finds the other hosts and exchanges datagrams with them.
type members struct {
	n      *Node
	socket *peer.Socket

	mu     sync.Mutex
	roster *roster.Roster
	// avoided holds hosts that did not answer, with the time until which they are not asked again.
	avoided map[host.ID]avoidance
	live    []host.ID
	// strong are those of them that keep places and read the platform for others.
	strong []host.ID
}

type avoidance struct {
	until time.Time
	times int
}

const (
	// beatInterval is the time between rounds of heartbeats.
	beatInterval = 300 * time.Millisecond
	// firstBeats is how many rounds a new process makes at firstInterval, so that hosts that start together know each other soon.
	firstBeats    = 8
	firstInterval = 60 * time.Millisecond
	// beatFanout is how many hosts get each round, and beatRows how many heartbeats each message holds.
	beatFanout = 3
	beatRows   = 24
	// suspectAfter, suspectPerHost and forgetAfter say when a silent host counts as lost, and when it is forgotten.
	suspectAfter   = 1500 * time.Millisecond
	suspectPerHost = 40 * time.Millisecond
	forgetAfter    = time.Minute
	// firstAvoidance is how long a host is not asked that did not answer; it doubles up to longestAvoidance.
	firstAvoidance   = time.Second
	longestAvoidance = 8 * time.Second
)

const (
	// settleLimit bounds the wait of a new process for others, settleStep is how often it looks, and settleMore how long it
	// goes on listening once it knows one.
	settleLimit = 60 * time.Millisecond
	settleStep  = 5 * time.Millisecond
	settleMore  = 20 * time.Millisecond
)

func newMembers(n *Node) *members {
	return &members{
		n: n, avoided: make(map[host.ID]avoidance),
		roster: roster.New(roster.Config{
			Self: roster.Heartbeat{
				Host: n.cfg.Host, Address: n.peerAddress(cmp.Or(n.cfg.PublishedAddress, n.cfg.Address)), DataCentre: n.cfg.DataCentre, Cores: n.cfg.Cores,
				StartedAt: time.Now().UnixMilli(),
			},
			Seeds: n.seedAddresses(n.cfg.Seeds), Fanout: beatFanout, MaxHeartbeats: beatRows,
			SuspectAfter: suspectAfter, SuspectAfterPerHost: suspectPerHost, ForgetAfter: forgetAfter,
			Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		}),
		live: []host.ID{n.cfg.Host}, strong: []host.ID{n.cfg.Host},
	}
}

func (n *Node) peerAddress(ip string) string {
	return net.JoinHostPort(ip, strconv.Itoa(int(n.cfg.FirstPort)))
}

// seedAddresses turns the seeds into addresses for datagrams: the hosts are the same, the port is the hosts' own.
func (n *Node) seedAddresses(seeds []string) []string {
	var addresses []string
	for _, seed := range seeds {
		if ip, _, err := net.SplitHostPort(seed); err == nil {
			addresses = append(addresses, n.peerAddress(ip))
		}
	}
	return addresses
}

func (m *members) setSeeds(addresses []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.roster.SetSeeds(addresses)
}

func (m *members) listen(ctx context.Context) error {
	socket, err := peer.Listen(ctx, m.n.peerAddress(m.n.cfg.Address))
	m.socket = socket
	return err
}

func (m *members) serve() {
	m.socket.Serve(m.handle, func(from netip.AddrPort, err error) {
		event.LogText(m.n.log, zerolog.WarnLevel, event.DatagramUnreadable).Stringer("From", from).Err(err).Send()
	})
}

func (m *members) handle(_ netip.AddrPort, d peer.Datagram) {
	now := timer.BootClock()
	if len(d.Heartbeats) > 0 {
		m.mu.Lock()
		changes := m.roster.Receive(now, d.From, d.Heartbeats)
		m.note(changes)
		m.mu.Unlock()
		m.act(now, changes)
		m.welcome(d.From, changes)
	}
	m.n.places.handle(now, d)
	m.n.beliefs.handle(now, d)
	m.n.crashes.handle(d)
}

// welcome tells a host that has just come what is known of the others.
func (m *members) welcome(from host.ID, changes []roster.Change) {
	for _, c := range changes {
		if c.Host == from && c.Live {
			m.mu.Lock()
			message, known := m.roster.JoinMessage(from)
			m.mu.Unlock()
			if known {
				m.tell([]roster.Message{message})
			}
			return
		}
	}
}

// settle waits until other hosts are known and have told of more, or until this one seems to be alone.
func (m *members) settle(ctx context.Context) {
	for waited := time.Duration(0); waited < settleLimit; waited += settleStep {
		if m.hosts() > 1 {
			timer.Sleep(ctx, settleMore)
			return
		}
		if !timer.Sleep(ctx, settleStep) {
			return
		}
	}
}

// greet makes the first rounds of heartbeats of a new process.
func (m *members) greet(ctx context.Context) {
	for range firstBeats {
		m.tick(timer.BootClock())
		if !timer.Sleep(ctx, firstInterval) {
			return
		}
	}
}

// note keeps the list of live hosts at hand; mu is held.
func (m *members) note(changes []roster.Change) {
	if len(changes) > 0 {
		m.relist()
	}
}

// relist lists the live hosts anew; mu is held.
func (m *members) relist() { m.live, m.strong = m.roster.Live(), m.roster.HighCapacity() }

func (m *members) act(now time.Time, changes []roster.Change) {
	for _, c := range changes {
		event.LogText(m.n.log, zerolog.InfoLevel, event.HostChanged).Str("Peer", string(c.Host)).Bool("Live", c.Live).Send()
		if !c.Live {
			m.n.places.update(now, pool.HostRemoved{Host: c.Host})
		}
	}
}

func (m *members) tick(now time.Time) {
	m.mu.Lock()
	messages, changes := m.roster.Tick(now)
	m.note(changes)
	m.mu.Unlock()
	m.act(now, changes)
	m.tell(messages)
}

func (m *members) tell(messages []roster.Message) {
	for _, message := range messages {
		m.sendTo(message.To, peer.Datagram{Heartbeats: message.Heartbeats})
	}
}

// leave tells the others that this host stops.
func (m *members) leave() {
	m.mu.Lock()
	messages := m.roster.Leave()
	m.relist()
	m.mu.Unlock()
	m.tell(messages)
}

// send sends a datagram to a host; a host that is not known gets none.
func (m *members) send(to host.ID, d peer.Datagram) {
	m.mu.Lock()
	address, known := m.roster.Address(to)
	m.mu.Unlock()
	if known {
		m.sendTo(address, d)
	}
}

// broadcast sends a datagram to all other live hosts.
func (m *members) broadcast(d peer.Datagram) {
	m.mu.Lock()
	live := slices.Clone(m.live)
	m.mu.Unlock()
	for _, id := range live {
		if id != m.n.cfg.Host {
			m.send(id, d)
		}
	}
}

func (m *members) sendTo(address string, d peer.Datagram) {
	d.From = m.n.cfg.Host
	size, err := m.socket.Send(address, d)
	m.n.meter.datagram(size)
	if err != nil {
		event.LogText(m.n.log, zerolog.DebugLevel, event.DatagramSendFailed).Str("To", address).Err(err).Send()
	}
}

// keeper returns the host that keeps a service: the first live one in the service's order that answers.
func (m *members) keeper(now time.Time, service site.ServiceName) host.ID {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, id := range m.ranked(service) {
		if id == m.n.cfg.Host || !now.Before(m.avoided[id].until) {
			return id
		}
	}
	return m.n.cfg.Host
}

// ranked returns the hosts that would keep a service, the first one first; mu is held. A host that has just started
// comes after those that had time to learn what the service's endpoints hold.
func (m *members) ranked(service site.ServiceName) []host.ID {
	ids := placement.Rank(string(service), m.strong, keeperCandidates)
	slices.SortStableFunc(ids, func(a, b host.ID) int {
		return cmp.Compare(m.youth(a), m.youth(b))
	})
	return ids
}

// youth is 1 for hosts that have just started; mu is held.
func (m *members) youth(id host.ID) int {
	if m.roster.HasSentHeartbeats(id, seasonedBeats) {
		return 0
	}
	return 1
}

// keepers returns the host that keeps a service and its deputies.
func (m *members) keepers(service site.ServiceName) []host.ID {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ranked(service)
}

const (
	// keeperCandidates bounds the hosts that keep a service in turn.
	keeperCandidates = 10
	// seasonedBeats is how many heartbeats a host sends before it keeps places: its first ones, and then longer than a keeper
	// takes to tell its deputies all that it knows.
	seasonedBeats = firstBeats + 30
)

// unanswered notes that a host did not answer, and answered that it did.
func (m *members) unanswered(now time.Time, id host.ID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	a := m.avoided[id]
	if now.Before(a.until) {
		return
	}
	a.until = now.Add(min(firstAvoidance<<min(a.times, 8), longestAvoidance))
	a.times++
	m.avoided[id] = a
}

func (m *members) answered(id host.ID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.avoided, id)
}

// hosts returns how many hosts live, this one included.
func (m *members) hosts() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(len(m.live), 1)
}

// readersPerRegion is how many hosts of a region read the platform for the others, or would next.
const readersPerRegion = 8

// readers returns the hosts to learn from, in order.
func (m *members) readers() []host.ID {
	m.mu.Lock()
	defer m.mu.Unlock()
	return placement.Rank("store/"+string(m.n.cfg.Region), m.strong, readersPerRegion)
}

// knowledgeAddress returns where a host serves what it knows of the platform.
func (m *members) knowledgeAddress(id host.ID) (string, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	address, known := m.roster.Address(id)
	if !known {
		return "", false
	}
	ip, _, err := net.SplitHostPort(address)
	return m.n.knowledgeAddress(ip), err == nil
}

// knowledgeAddress is the second of the hosts' own ports.
func (n *Node) knowledgeAddress(ip string) string {
	return net.JoinHostPort(ip, strconv.Itoa(int(n.cfg.FirstPort)+1))
}

// peerDialLimit bounds a new connection to another host.
const peerDialLimit = 400 * time.Millisecond

func (n *Node) dialPeer(ctx context.Context, network, address string) (net.Conn, error) {
	return (&net.Dialer{Timeout: peerDialLimit}).DialContext(ctx, network, address)
}
