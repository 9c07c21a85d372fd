// Package node connects the fleet's decision logic to HTTP, connect-go, timers and logs. One node is one process on one host.
//
// Each node has several roles. As an entry it accepts requests from callers and forwards them to endpoints: chats to engines,
// other requests to runners. As the keeper of an endpoint it is the host through which all requests to that endpoint pass, and
// decides which of them run there. As an elector it votes on which host may run a request with an idempotency key. As the home
// of a key it requests these votes, which is called a claim, and runs the request. The platform is the service that publishes
// the documents: the hosts, the endpoints and the set of objects (workspaces, services, engine pools, policies).
//
// A call (wire.Call) is a caller's request in the form in which nodes send it to each other. A try is one attempt to run a call
// on one endpoint.
package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"balsamknot.org/balsamknot/event"
	"balsamknot.org/balsamknot/settings"
	"balsamknot.org/fleet/burn"
	"balsamknot.org/fleet/host"
	"balsamknot.org/fleet/timer"
)

// Config holds the arguments of New. Timers is required; the zero value of Log discards all messages.
type Config struct {
	Settings settings.Node
	Log      zerolog.Logger
	Timers   *timer.Scheduler
}

// Node is one node of the fleet; New creates it and Run serves it.
type Node struct {
	cfg         settings.Node
	self        host.Record
	incarnation host.Incarnation
	log         zerolog.Logger
	timers      *timer.Scheduler

	peers     *peerClients
	members   *members
	documents *documents
	keeper    *keeperController
	claims    *claims
	crashes   *crashTracker
	retries   *retries
	meter     *meter
	baselines *baselines

	ready    atomic.Bool
	draining atomic.Bool
	// inFlight counts the work that a planned stop waits for: requests of callers, tries that this node runs as keeper, and
	// calls with an idempotency key that it runs as home.
	inFlight atomic.Int64

	listeners listeners
	// work tracks the goroutines that Run waits for before it returns.
	work sync.WaitGroup
}

// listeners holds the node's listeners. Callers, peers, operators and metrics have separate ports, so that access to each can be
// restricted on its own.
type listeners struct {
	caller, peer, operator, metrics net.Listener
	servers                         []*http.Server
}

const (
	exchangeInterval     = time.Second
	keeperTickInterval   = 100 * time.Millisecond
	loadGossipInterval   = time.Second
	claimCleanupInterval = time.Second
	// pauseThreshold is the time between two exchange ticks above which the process is taken to have been paused.
	pauseThreshold = 3 * time.Second
	// drainPollInterval is how often a draining node checks whether requests are still in flight.
	drainPollInterval = 20 * time.Millisecond
)

// New returns a node that does not listen yet. It returns an error if Config.Timers is nil.
func New(cfg Config) (*Node, error) {
	s := cfg.Settings
	if cfg.Timers == nil {
		return nil, errors.New("node: Timers is missing")
	}
	n := &Node{
		cfg: s,
		self: host.Record{
			ID: s.Host, DataCentre: s.DataCentre, Region: s.Region, PeerAddress: s.PeerAddress,
		},
		incarnation: host.Incarnation(uuid.NewString()),
		log:         cfg.Log.With().Str("Host", string(s.Host)).Logger(),
		timers:      cfg.Timers,
	}
	n.meter = newMeter()
	n.peers = newPeerClients(s, n.meter)
	n.members = newMembers(n)
	n.crashes = newCrashTracker(n)
	n.retries = newRetries()
	n.keeper = newKeeperController(n)
	n.claims = newClaims(n)
	n.baselines = &baselines{n: n}
	n.documents = newDocuments(n)
	return n, nil
}

// Run serves until ctx ends, then drains the node and stops it. It returns an error if an address can't be listened on.
func (n *Node) Run(ctx context.Context) error {
	workCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	if err := n.listen(ctx); err != nil {
		return err
	}
	event.Log(n.log, zerolog.InfoLevel, event.NodeStarted).Str("Callers", n.CallerAddress()).Msg(event.Text(event.NodeStarted))
	n.work.Go(func() { n.documents.run(workCtx) })
	cancels := n.startTimers(workCtx)
	<-ctx.Done()
	n.drain()
	for _, cancel := range cancels {
		cancel()
	}
	stop()
	n.close()
	n.work.Wait()
	event.Log(n.log, zerolog.InfoLevel, event.NodeStopped).Int64("InFlight", n.inFlight.Load()).Msg(event.Text(event.NodeStopped))
	return nil
}

// startTimers starts the periodic tasks and returns the functions that cancel them.
func (n *Node) startTimers(ctx context.Context) []func() {
	return []func(){
		n.timers.Every(exchangeInterval, func(now time.Time, elapsed time.Duration) {
			if elapsed > pauseThreshold {
				n.refreshAfterPause(ctx, elapsed)
			}
			n.members.tick(ctx, now)
		}),
		n.timers.Every(keeperTickInterval, func(now time.Time, _ time.Duration) { n.keeper.tick(now) }),
		n.timers.Every(loadGossipInterval, func(now time.Time, _ time.Duration) { n.keeper.gossipLoads(now) }),
		n.timers.Every(claimCleanupInterval, func(now time.Time, _ time.Duration) { n.claims.removeExpired(now) }),
		n.timers.Every(burn.SampleInterval, func(now time.Time, _ time.Duration) { n.meter.observeBurn(now) }),
		n.timers.Every(probeInterval, func(now time.Time, _ time.Duration) { n.baselines.pollEndpoints(now) }),
	}
}

// refreshAfterPause reads the documents and exchanges messages with peers, because the process was paused and its view of the
// fleet is outdated.
func (n *Node) refreshAfterPause(ctx context.Context, elapsed time.Duration) {
	event.Log(n.log, zerolog.WarnLevel, event.NodePaused).Dur("Elapsed", elapsed).Msg(event.Text(event.NodePaused))
	n.documents.refresh(ctx)
	n.members.broadcast(ctx, syncFanout)
}

// drain prepares a planned stop. It makes the node not ready, notifies the peers, waits DrainGrace for the load balancer to
// stop sending requests, and then waits at most DrainLimit for the requests in flight.
func (n *Node) drain() {
	n.draining.Store(true)
	event.Log(n.log, zerolog.InfoLevel, event.NodeDraining).Int64("InFlight", n.inFlight.Load()).Msg(event.Text(event.NodeDraining))
	n.members.announceLeaving()
	time.Sleep(n.cfg.DrainGrace)
	deadline := n.timers.Now().Add(n.cfg.DrainLimit)
	for n.inFlight.Load() > 0 && n.timers.Now().Before(deadline) {
		time.Sleep(drainPollInterval)
	}
}

// trackInFlight adds a request to those in flight; the returned function removes it.
func (n *Node) trackInFlight() func() {
	n.inFlight.Add(1)
	return func() { n.inFlight.Add(-1) }
}

// Ready reports whether load balancers should send requests to the node: its documents are in force and it is not draining.
func (n *Node) Ready() bool { return n.ready.Load() && !n.draining.Load() }

// CallerAddress returns the ip:port of the listener for callers. It panics before Run has opened the listeners.
func (n *Node) CallerAddress() string { return n.listeners.caller.Addr().String() }

// OperatorAddress returns the ip:port of the listener for operators. It panics before Run has opened the listeners.
func (n *Node) OperatorAddress() string { return n.listeners.operator.Addr().String() }

func (n *Node) listen(ctx context.Context) error {
	handlers := []struct {
		address  string
		listener *net.Listener
		handler  http.Handler
	}{
		{n.cfg.PeerAddress, &n.listeners.peer, n.peerHandler()},
		{n.cfg.OperatorAddress, &n.listeners.operator, n.operatorHandler()},
		{n.cfg.MetricsAddress, &n.listeners.metrics, n.meter.handler()},
		{n.cfg.CallerAddress, &n.listeners.caller, n.callerHandler()},
	}
	for _, h := range handlers {
		listener, err := new(net.ListenConfig).Listen(ctx, "tcp", h.address)
		if err != nil {
			return eris.Wrapf(err, "listen: address %s", h.address)
		}
		*h.listener = listener
		server := newServer(h.handler)
		n.listeners.servers = append(n.listeners.servers, server)
		n.work.Go(func() { _ = server.Serve(listener) })
	}
	return nil
}

const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 64 << 10
)

func newServer(handler http.Handler) *http.Server {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		Protocols: &protocols,
		HTTP2:     &http.HTTP2Config{MaxConcurrentStreams: maxPeerStreams},
	}
}

// shutdownTimeout is how long the servers may take together to send the last answers before their connections are closed.
const shutdownTimeout = 2 * time.Second

func (n *Node) close() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	for _, server := range n.listeners.servers {
		if err := server.Shutdown(ctx); err != nil {
			_ = server.Close()
		}
	}
	n.peers.close()
	n.keeper.close()
}
