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
	"balsamknot.org/entry/connection"
	"balsamknot.org/entry/peer"
	"balsamknot.org/fleet/catalogue"
	"balsamknot.org/fleet/host"
	"balsamknot.org/fleet/pool"
	"balsamknot.org/fleet/relay"
	"balsamknot.org/fleet/roster"
	"balsamknot.org/fleet/timer"
)

// membership tracks the live hosts of the fleet by heartbeats, sends and receives the datagrams between hosts, and ranks the
// hosts for each service and for reading the platform. It is safe for concurrent use.
type membership struct {
	n      *Node
	socket *peer.Socket

	mu     sync.Mutex
	roster *roster.Roster
	// senders holds the hosts that are not in the roster yet and sent this one a message, such as a slot request: they get their reply at the
	// address from which it came.
	senders map[host.ID]sender
	// backoffs holds the hosts that did not reply to a slot request in time and have sent no reply since.
	backoffs map[host.ID]hostBackoff
	live     []host.ID
	// highCapacity lists the live hosts that may be keepers, and readers of the platform for other hosts.
	highCapacity []host.ID
}

// sender is where a message came from, and when.
type sender struct {
	address string
	at      time.Time
}

const (
	// heartbeatInterval is the time between rounds of heartbeats.
	heartbeatInterval = 300 * time.Millisecond
	// startupRounds is how many additional rounds a new process makes, one every startupRoundInterval, so that hosts that start
	// together discover each other quickly.
	startupRounds        = 8
	startupRoundInterval = 60 * time.Millisecond
	// heartbeatFanout is how many live hosts receive each round, and maxHeartbeats the largest number of heartbeats per message, maxUpdates that
	// of updates.
	heartbeatFanout = 3
	maxHeartbeats   = 24
	maxUpdates      = 40
	// newsPeriod is how long the start or the leaving of a host is told in complete heartbeats, also to hosts that understand updates: a few
	// times as long as news takes to reach all hosts.
	newsPeriod = 5 * time.Second
	// suspectAfter, plus suspectAfterPerHost for each known host, is the time without a newer heartbeat after which a host is
	// treated as unreachable. After forgetAfter it is removed from the roster.
	suspectAfter        = 1500 * time.Millisecond
	suspectAfterPerHost = 40 * time.Millisecond
	forgetAfter         = time.Minute
)

const (
	// senderLifetime is how long the address of a sender that is not in the roster is kept, and maxSenders how many are.
	senderLifetime = 5 * time.Second
	maxSenders     = 4096
)

const (
	// discoveryTimeout limits how long a new process waits to discover other hosts, and discoveryPollInterval is the time between
	// its checks. discoveryExtraWait is how long it waits for further hosts once it has discovered one.
	discoveryTimeout      = 60 * time.Millisecond
	discoveryPollInterval = 5 * time.Millisecond
	discoveryExtraWait    = 20 * time.Millisecond
)

func newMembership(n *Node) *membership {
	return &membership{
		n: n, backoffs: make(map[host.ID]hostBackoff), senders: make(map[host.ID]sender),
		roster: roster.New(roster.Config{
			Self: roster.Heartbeat{
				Host: n.cfg.Host, Address: n.peerAddress(cmp.Or(n.cfg.PublishedAddress, n.cfg.Address)), DataCentre: n.cfg.DataCentre, Cores: n.cfg.Cores,
				StartedAt: time.Now().UnixMilli(),
			},
			Seeds: n.seedAddresses(n.cfg.Seeds), Fanout: heartbeatFanout, MaxHeartbeats: maxHeartbeats, MaxUpdates: maxUpdates,
			SuspectAfter: suspectAfter, SuspectAfterPerHost: suspectAfterPerHost, ForgetAfter: forgetAfter, NewsPeriod: newsPeriod,
			Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		}),
		live: []host.ID{n.cfg.Host}, highCapacity: []host.ID{n.cfg.Host},
	}
}

// peerAddress returns the ip:port of a host's socket for datagrams. The port is the same on all hosts.
func (n *Node) peerAddress(ip string) string {
	return net.JoinHostPort(ip, strconv.Itoa(int(n.cfg.FirstPort)))
}

// seedAddresses returns the datagram addresses of the seed hosts: the port given with a seed is replaced by that for datagrams.
// Seeds that are not of the form ip:port are ignored.
func (n *Node) seedAddresses(seeds []string) []string {
	var addresses []string
	for _, seed := range seeds {
		if ip, _, err := net.SplitHostPort(seed); err == nil {
			addresses = append(addresses, n.peerAddress(ip))
		}
	}
	return addresses
}

func (m *membership) setSeeds(addresses []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.roster.SetSeeds(addresses)
}

func (m *membership) listen(ctx context.Context) error {
	socket, err := peer.Listen(ctx, m.n.peerAddress(m.n.cfg.Address))
	m.socket = socket
	return err
}

// serve processes datagrams until the socket is closed.
func (m *membership) serve() {
	m.socket.Serve(m.handle, func(from netip.AddrPort, err error) {
		event.LogText(m.n.log, zerolog.WarnLevel, event.DatagramUnreadable).Stringer("From", from).Err(err).Send()
	})
}

// handle processes the heartbeats of a datagram and passes the other messages on to the node's other parts.
func (m *membership) handle(from netip.AddrPort, d peer.Datagram) {
	now := timer.BootClock()
	m.recordSender(now, d.From, from)
	if gossip, ok := d.ToRoster(); ok {
		m.mu.Lock()
		changes, answer := m.roster.Receive(now, d.From, gossip)
		m.refreshIfChanged(changes)
		m.mu.Unlock()
		m.sendHeartbeats(answer)
		m.handleChanges(now, changes)
		m.sendJoinMessage(now, d.From, changes)
	}
	m.n.slots.handle(now, d)
	m.n.storeView.handle(now, d)
	m.n.crashes.handle(now, d)
	m.n.streams.handle(now, d)
}

// recordSender records where a message came from if its sender is not in the roster: when many hosts start together, some know this one
// before it knows them.
func (m *membership) recordSender(now time.Time, id host.ID, from netip.AddrPort) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, known := m.roster.Address(id); !known && id != m.n.cfg.Host && from.IsValid() && len(m.senders) < maxSenders {
		m.senders[id] = sender{address: netip.AddrPortFrom(from.Addr().Unmap(), from.Port()).String(), at: now}
	}
}

// dropOldSenders removes the senders that have not sent anything for senderLifetime. mu must be held.
func (m *membership) dropOldSenders(now time.Time) {
	for id, s := range m.senders {
		if now.Sub(s.at) > senderLifetime {
			delete(m.senders, id)
		}
	}
}

// address returns where a host gets messages; false for an unknown host and for this one.
func (m *membership) address(id host.ID) (string, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if address, known := m.roster.Address(id); known {
		return address, true
	}
	s, known := m.senders[id]
	return s.address, known
}

// sendJoinMessage sends known heartbeats and crashes to the sender of a message if changes say that it became live, by its start or
// after it was unreachable, so that it need not wait for the next round.
func (m *membership) sendJoinMessage(now time.Time, from host.ID, changes []roster.Change) {
	for _, c := range changes {
		if c.Host == from && c.Live {
			m.mu.Lock()
			message, known := m.roster.JoinMessage(now, from)
			m.mu.Unlock()
			if known {
				m.sendHeartbeats([]roster.Message{message})
				m.n.crashes.sendTo(from)
				m.n.slots.sendLimitsTo(from)
				m.n.slots.sendStatementsTo(from)
			}
			return
		}
	}
}

// awaitDiscovery waits until another host is live, and discoveryExtraWait longer. It gives up after discoveryTimeout, since this
// may be the only host, or when ctx ends.
func (m *membership) awaitDiscovery(ctx context.Context) {
	for waited := time.Duration(0); waited < discoveryTimeout; waited += discoveryPollInterval {
		if m.liveCount() > 1 {
			timer.Sleep(ctx, discoveryExtraWait)
			return
		}
		if !timer.Sleep(ctx, discoveryPollInterval) {
			return
		}
	}
}

// runStartupRounds sends the additional heartbeats of a new process.
func (m *membership) runStartupRounds(ctx context.Context) {
	for range startupRounds {
		m.tick(timer.BootClock())
		if !timer.Sleep(ctx, startupRoundInterval) {
			return
		}
	}
}

// refreshIfChanged updates the lists of live hosts if the roster changed. mu must be held.
func (m *membership) refreshIfChanged(changes []roster.Change) {
	if len(changes) > 0 {
		m.refreshLists()
	}
}

// refreshLists copies the lists of live hosts from the roster. mu must be held.
func (m *membership) refreshLists() {
	m.live, m.highCapacity = m.roster.Live(), m.roster.HighCapacity()
}

// handleChanges logs changes of the roster, and releases the slots of hosts that left, are unreachable or were restarted, at the
// local keeper.
func (m *membership) handleChanges(now time.Time, changes []roster.Change) {
	for _, c := range changes {
		event.LogText(m.n.log, zerolog.InfoLevel, event.HostChanged).Str("Peer", string(c.Host)).Bool("Live", c.Live).Send()
		if !c.Live {
			m.n.slots.update(now, pool.HostRemoved{Host: c.Host})
			m.n.endpointConns.DropThrough(c.Host)
		}
	}
}

// tick makes a round: it sends heartbeats and detects unreachable hosts.
func (m *membership) tick(now time.Time) {
	m.mu.Lock()
	messages, changes := m.roster.Tick(now)
	m.refreshIfChanged(changes)
	m.dropOldSenders(now)
	m.mu.Unlock()
	m.handleChanges(now, changes)
	m.n.slots.update(now, pool.FleetCounted{ReachableShare: m.reachableShare()})
	m.sendHeartbeats(messages)
}

func (m *membership) sendHeartbeats(messages []roster.Message) {
	state := peer.FromSetState(m.n.storeView.setState())
	for _, message := range messages {
		d := peer.GossipMessage(message)
		d.Extensions.SetState = state
		m.sendTo(message.To, d)
	}
}

// leave announces to all live hosts that this one is leaving, and removes it from the lists of live hosts.
func (m *membership) leave() {
	m.mu.Lock()
	messages := m.roster.Leave()
	m.refreshLists()
	m.mu.Unlock()
	m.sendHeartbeats(messages)
}

// send sends a datagram to a host; it does nothing for an unknown host and for this one. Delivery is not confirmed.
func (m *membership) send(to host.ID, d peer.Datagram) {
	if address, known := m.address(to); known {
		m.sendTo(address, d)
	}
}

// broadcast sends a datagram to all other live hosts.
func (m *membership) broadcast(d peer.Datagram) {
	m.mu.Lock()
	live := slices.Clone(m.live)
	m.mu.Unlock()
	for _, id := range live {
		if id != m.n.cfg.Host {
			m.send(id, d)
		}
	}
}

// sendToRandomHost sends a datagram to another live host, if there is one.
func (m *membership) sendToRandomHost(d peer.Datagram) {
	m.mu.Lock()
	others := slices.DeleteFunc(slices.Clone(m.live), func(id host.ID) bool { return id == m.n.cfg.Host })
	m.mu.Unlock()
	if len(others) > 0 {
		m.send(others[rand.IntN(len(others))], d)
	}
}

// sendTo sends a datagram to ip:port and counts it.
func (m *membership) sendTo(address string, d peer.Datagram) {
	d.From = m.n.cfg.Host
	size, err := m.socket.Send(address, d)
	m.n.meter.recordDatagram(d.Kind(), size)
	if err != nil {
		event.LogText(m.n.log, zerolog.DebugLevel, event.DatagramSendFailed).Str("To", address).Err(err).Send()
	}
}

// relayCandidates returns the other live hosts that may serve as relays in ctx.
func (m *membership) relayCandidates(ctx context.Context) []relay.Candidate {
	candidates := m.others()
	return slices.DeleteFunc(candidates, func(c relay.Candidate) bool { return !connection.MayRelay(ctx, c.Host) })
}

// others returns the other live hosts.
func (m *membership) others() []relay.Candidate {
	m.mu.Lock()
	defer m.mu.Unlock()
	others := make([]relay.Candidate, 0, len(m.live))
	for _, id := range m.live {
		if id != m.n.cfg.Host {
			others = append(others, relay.Candidate{Host: id, DataCentre: m.roster.DataCentre(id)})
		}
	}
	return others
}

// surroundings returns what a host whose process has this age knows of the others.
func (m *membership) surroundings(age time.Duration) catalogue.Surroundings {
	m.mu.Lock()
	defer m.mu.Unlock()
	return catalogue.Surroundings{Age: age, Others: max(len(m.live), 1) - 1, Seeds: m.roster.Seeds()}
}

// liveCount returns the number of live hosts, this one included; it is at least 1.
func (m *membership) liveCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(len(m.live), 1)
}

// knownCount returns the number of live hosts and of those that became unreachable within forgetAfter; it is at least 1.
func (m *membership) knownCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(len(m.live)+m.roster.UnreachableCount(), 1)
}

// earlierReleaseCount returns roster.Roster.EarlierReleaseCount.
func (m *membership) earlierReleaseCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.EarlierReleaseCount()
}

// reachableShare returns pool.FleetCounted.ReachableShare.
func (m *membership) reachableShare() float64 {
	return float64(m.liveCount()) / float64(m.knownCount())
}

// readerAddress returns the ip:port at which a host serves its copy of the store; false for an unknown host.
func (m *membership) readerAddress(id host.ID) (string, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	address, known := m.roster.Address(id)
	if !known {
		return "", false
	}
	ip, _, err := net.SplitHostPort(address)
	return m.n.readerAddress(ip), err == nil
}

// readerAddress returns the ip:port at which a host serves its copy of the store. The port is one above that for
// datagrams.
func (n *Node) readerAddress(ip string) string {
	return net.JoinHostPort(ip, strconv.Itoa(int(n.cfg.FirstPort)+1))
}

// peerDialTimeout limits the time to connect to another host.
const peerDialTimeout = 400 * time.Millisecond

func (n *Node) dialPeer(ctx context.Context, network, address string) (net.Conn, error) {
	return (&net.Dialer{Timeout: peerDialTimeout}).DialContext(ctx, network, address)
}
