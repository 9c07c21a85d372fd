// Package node runs an entry host: it connects the state machines that make the decisions (packages pool, attempt, catalogue,
// roster and fingerprint of fleet) to HTTP, UDP datagrams, timers and logs. A node is one process on one host. It forwards
// callers' requests to endpoints, is the keeper of some services, which is the host that decides which endpoint each request
// gets, and holds a local copy of the platform's store. It reads the store itself or from a reader, a host that reads the store
// and serves what it read to others.
package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"balsamknot.org/balsamknot/event"
	"balsamknot.org/entry/connection"
	"balsamknot.org/entry/peer"
	"balsamknot.org/entry/settings"
	"balsamknot.org/fleet/drain"
	"balsamknot.org/fleet/stream"
	"balsamknot.org/fleet/timer"
	"balsamknot.org/platform"
)

// Config holds the settings and dependencies of a node. Settings and Timers are required; the zero Log discards all lines.
type Config struct {
	Settings settings.Host
	Log      zerolog.Logger
	Timers   *timer.Scheduler
	// Release is the release of the program, for the log.
	Release string
	// EndpointDialer connects to endpoints; nil means over TCP.
	EndpointDialer connection.Dialer
	// FinalSteps are run at the end of a stop, after the node's own steps.
	FinalSteps []drain.Step
}

// Node is an entry host. New creates it, and Run must be called once.
type Node struct {
	// cfg holds the settings at startup, settings those in force, which Reload replaces.
	cfg      settings.Host
	settings atomic.Pointer[settings.Host]
	log      zerolog.Logger
	timers   *timer.Scheduler
	release  string

	store         *platform.Store
	engines       *platform.EngineClient
	storeView     *storeView
	past          *pastReader
	membership    *membership
	slots         *slotManager
	endpointConns *connection.Pool
	callers       *callerHandler
	meter         *meter
	crashes       *crashTracker
	paths         *pathTracker
	// relayDialer connects to other hosts that serve as relays.
	relayDialer *connection.TCPDialer
	streams     *streamTracker
	memory      *memoryBudget
	draining    atomic.Bool
	stopping    *stopState
	finalSteps  []drain.Step

	servers []*http.Server
	wg      sync.WaitGroup
	// endBackground ends the timers and the goroutines that Run started, without waiting for them.
	endBackground func()
}

const (
	// tickInterval is the time between the ticks that let the store view and the keeper enforce time-outs.
	tickInterval = 100 * time.Millisecond
	// sweepInterval is the time between checks for idle connections that have expired.
	sweepInterval = time.Second
	// dialTimeout is the time limit for establishing a connection to an endpoint.
	dialTimeout = 300 * time.Millisecond
	// connDeadAfter is how long an endpoint may leave data or keep-alive probes unacknowledged before its connection is closed.
	connDeadAfter = 3 * time.Second
	// connIdleTimeout is how long an idle connection is kept if the endpoint's Keep-Alive header gives no time.
	connIdleTimeout = 900 * time.Millisecond
	// maxIdleConnsPerEndpoint is the maximum number of idle connections to one endpoint.
	maxIdleConnsPerEndpoint = 8
	// headerTimeout limits the time for reading a request's headers, and maxHeaderBytes the size of a caller's headers.
	headerTimeout  = 5 * time.Second
	maxHeaderBytes = 16 << 10
)

// New returns a node; Run opens its sockets and starts its goroutines.
func New(cfg Config) *Node {
	if cfg.EndpointDialer == nil {
		cfg.EndpointDialer = connection.NewTCPDialer(connection.TCPConfig{DialTimeout: dialTimeout, DeadPeerTimeout: connDeadAfter})
	}
	n := &Node{
		cfg: cfg.Settings, log: cfg.Log, timers: cfg.Timers, release: cfg.Release, store: platform.NewStore(cfg.Settings.StoreAddress),
		stopping: newStopState(), finalSteps: cfg.FinalSteps,
	}
	n.settings.Store(&cfg.Settings)
	n.memory = newMemoryBudget(cfg.Settings.RequestMemory())
	n.paths = newPathTracker(n, cfg.EndpointDialer)
	n.relayDialer = connection.NewTCPDialer(connection.TCPConfig{DialTimeout: peerDialTimeout, DeadPeerTimeout: connDeadAfter})
	n.engines = platform.NewEngineClient(n.paths.Dial)
	n.endpointConns = connection.New(connection.Config{
		Dialer: n.paths, IdleTimeout: connIdleTimeout, MaxIdlePerEndpoint: maxIdleConnsPerEndpoint, OnReport: n.noteReport,
	})
	n.membership = newMembership(n)
	n.slots = newSlotManager(n)
	n.storeView = newStoreView(n)
	n.past = &pastReader{n: n}
	n.callers = newCallerHandler(n)
	n.meter = newMeter(n)
	n.crashes = newCrashTracker(n)
	n.streams = newStreamTracker(n)
	return n
}

// Run serves until ctx ends, then stops the node as shutDown says and returns nil. The error is non-nil only if the node can't listen on its addresses.
func (n *Node) Run(ctx context.Context) error {
	workCtx, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	n.slots.runCtx = workCtx
	if err := n.listen(ctx); err != nil {
		return err
	}
	event.LogText(n.log, zerolog.InfoLevel, event.NodeStarted).Str("Callers", n.cfg.CallerAddress).Str("Release", n.release).Send()
	n.wg.Go(n.membership.serve)
	n.wg.Go(func() { n.membership.runStartupRounds(workCtx) })
	n.wg.Go(func() { n.storeView.refreshLoop(workCtx) })
	n.wg.Go(func() { n.storeView.followSets(workCtx) })
	cancels := []func(){
		n.timers.Every(tickInterval, func(time.Time, time.Duration) { n.tick() }),
		n.timers.Every(heartbeatInterval, func(time.Time, time.Duration) { n.membership.tick(timer.BootClock()) }),
		n.timers.Every(crashGossipInterval, func(time.Time, time.Duration) { n.crashes.gossip(timer.BootClock()) }),
		n.timers.Every(slotRenewalInterval, func(time.Time, time.Duration) { n.slots.renewSlots(timer.BootClock()) }),
		n.timers.Every(sweepInterval, func(time.Time, time.Duration) { n.sweep() }),
	}
	n.endBackground = func() {
		for _, cancel := range cancels {
			cancel()
		}
		stopWork()
	}
	<-ctx.Done()
	n.shutDown()
	return nil
}

func (n *Node) tick() {
	now := timer.BootClock()
	n.storeView.tick(now)
	n.slots.tick(now)
	n.crashes.tick(now)
	n.paths.tick(now)
}

func (n *Node) sweep() {
	n.endpointConns.Sweep()
	n.callers.sweep(timer.BootClock())
	n.slots.sweepLimits(timer.BootClock())
	n.slots.sweepStatements(timer.BootClock())
	n.slots.sweepAbilities(timer.BootClock())
	n.streams.update(timer.BootClock(), stream.Tick{})
	n.stopping.forgetRoutes(timer.BootClock())
}

// Ready reports whether the load balancer should send callers to the node: it is not draining, and its configuration set was
// confirmed recently enough.
func (n *Node) Ready() bool {
	return !n.draining.Load() && n.storeView.valid(timer.BootClock())
}

func (n *Node) listen(ctx context.Context) error {
	if err := n.membership.listen(ctx); err != nil {
		return err
	}
	for _, l := range []struct {
		address string
		server  *http.Server
	}{
		{n.cfg.ReadyAddress, &http.Server{Handler: n.readyHandler(), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes}},
		{n.cfg.MetricsAddress, &http.Server{Handler: n.metricsHandler(), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes}},
		{n.readerAddress(n.cfg.Address), &http.Server{Handler: n.peerHandler(), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes}},
		{n.cfg.CallerAddress, n.callers.httpServer()},
	} {
		if l.address == "" {
			continue
		}
		listener, err := new(net.ListenConfig).Listen(ctx, "tcp", l.address)
		if err != nil {
			return eris.Wrapf(err, "listen: address %s", l.address)
		}
		n.servers = append(n.servers, l.server)
		n.wg.Go(func() { _ = l.server.Serve(listener) })
	}
	return nil
}

// MetricsPath is the URL path of the metrics, in the Prometheus text format, on MetricsAddress.
const MetricsPath = "/metrics"

// peerHandler serves other hosts: the copy of the store, the newest set, and tunnels to endpoints.
func (n *Node) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+peer.StoreUpdatePath, peer.StoreUpdateHandler(newCopyServer(n.storeView)))
	mux.Handle("GET "+peer.SetPath, peer.SetHandler(n.storeView.newestSet))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodConnect {
			n.paths.serveTunnel(w, r)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

func (n *Node) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+MetricsPath, func(w http.ResponseWriter, _ *http.Request) { n.meter.write(w) })
	return mux
}

func (n *Node) readyHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !n.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}
