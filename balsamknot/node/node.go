// Package node wires the fleet's decisions to HTTP, connect-go, timers and logs. One node is one process on one host.
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

// Config is what a node is built from.
type Config struct {
	Settings settings.Node
	Log      zerolog.Logger
	Timers   *timer.Service
}

// Node is one running node of the fleet.
type Node struct {
	cfg         settings.Node
	self        host.Record
	incarnation host.Incarnation
	log         zerolog.Logger
	timers      *timer.Service

	peers     *peers
	members   *members
	documents *documents
	keeping   *keeping
	claims    *claims
	suspects  *suspects
	retries   *retries
	meter     *meter
	baselines *baselines

	ready    atomic.Bool
	draining atomic.Bool
	// flying counts what a planned stop waits for: callers' requests, tries kept here, and keyed calls.
	flying atomic.Int64

	listeners listeners
	work      sync.WaitGroup
}

// listeners holds the four apart: callers, peers, operators and metrics reach different ports.
type listeners struct {
	caller, peer, operator, metrics net.Listener
	servers                         []*http.Server
}

const (
	exchangeInterval = time.Second
	keeperInterval   = 100 * time.Millisecond
	loadRowInterval  = time.Second
	forgetInterval   = time.Second
	// pausedAfter is the gap between two exchange ticks that shows that the process did not run.
	pausedAfter = 3 * time.Second
	// drainInterval is how often a stopping node looks whether anything is in flight.
	drainInterval = 20 * time.Millisecond
)

// New builds a node; Run starts it.
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
	n.peers = newPeers(s, n.meter)
	n.members = newMembers(n)
	n.suspects = newSuspects(n)
	n.retries = newRetries()
	n.keeping = newKeeping(n)
	n.claims = newClaims(n)
	n.baselines = &baselines{n: n}
	n.documents = newDocuments(n)
	return n, nil
}

// Run serves until ctx ends, then drains and returns.
func (n *Node) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	if err := n.listen(ctx); err != nil {
		return err
	}
	event.Log(n.log, zerolog.InfoLevel, event.NodeStarted).Str("Callers", n.CallerAddress()).Msg(event.Text(event.NodeStarted))
	n.work.Go(func() { n.documents.run(work) })
	cancels := n.subscribe(work)
	<-ctx.Done()
	n.drain()
	for _, cancel := range cancels {
		cancel()
	}
	stop()
	n.close()
	n.work.Wait()
	event.Log(n.log, zerolog.InfoLevel, event.NodeStopped).Int64("InFlight", n.flying.Load()).Msg(event.Text(event.NodeStopped))
	return nil
}

// subscribe starts everything that happens at intervals.
func (n *Node) subscribe(ctx context.Context) []func() {
	return []func(){
		n.timers.Every(exchangeInterval, func(now time.Time, elapsed time.Duration) {
			if elapsed > pausedAfter {
				n.resumeAfterPause(ctx, elapsed)
			}
			n.members.tick(ctx, now)
		}),
		n.timers.Every(keeperInterval, func(now time.Time, _ time.Duration) { n.keeping.tick(now) }),
		n.timers.Every(loadRowInterval, func(now time.Time, _ time.Duration) { n.keeping.exchangeLoads(now) }),
		n.timers.Every(forgetInterval, func(now time.Time, _ time.Duration) { n.claims.removeExpired(now) }),
		n.timers.Every(burn.Step, func(now time.Time, _ time.Duration) { n.meter.observe(now) }),
		n.timers.Every(probeInterval, func(now time.Time, _ time.Duration) { n.baselines.pollEndpoints(now) }),
	}
}

// resumeAfterPause refreshes the view before the node acts on an old one.
func (n *Node) resumeAfterPause(ctx context.Context, elapsed time.Duration) {
	event.Log(n.log, zerolog.WarnLevel, event.NodePaused).Dur("Elapsed", elapsed).Msg(event.Text(event.NodePaused))
	n.documents.refresh(ctx)
	n.members.broadcast(ctx, syncFanout)
}

// drain ends a node as planned: peers hear it first, callers are turned away by the balancer,
// and what runs here finishes.
func (n *Node) drain() {
	n.draining.Store(true)
	event.Log(n.log, zerolog.InfoLevel, event.NodeDraining).Int64("InFlight", n.flying.Load()).Msg(event.Text(event.NodeDraining))
	n.members.leave()
	time.Sleep(n.cfg.DrainGrace)
	limit := n.timers.Now().Add(n.cfg.DrainLimit)
	for n.flying.Load() > 0 && n.timers.Now().Before(limit) {
		time.Sleep(drainInterval)
	}
}

// enter counts a request in flight; the function returned ends it.
func (n *Node) enter() func() {
	n.flying.Add(1)
	return func() { n.flying.Add(-1) }
}

// Ready reports whether the node takes requests.
func (n *Node) Ready() bool { return n.ready.Load() && !n.draining.Load() }

// CallerAddress returns where callers reach the node.
func (n *Node) CallerAddress() string { return n.listeners.caller.Addr().String() }

// OperatorAddress returns where operators reach the node.
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
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	maxHeader     = 64 << 10
)

func newServer(handler http.Handler) *http.Server {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader,
		Protocols: &protocols,
		HTTP2:     &http.HTTP2Config{MaxConcurrentStreams: maxPeerStreams},
	}
}

// closeGrace lets the last answers leave the sockets.
const closeGrace = 2 * time.Second

func (n *Node) close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeGrace)
	defer cancel()
	for _, server := range n.listeners.servers {
		if err := server.Shutdown(ctx); err != nil {
			_ = server.Close()
		}
	}
	n.peers.close()
	n.keeping.close()
}
