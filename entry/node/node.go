// Package node wires the decisions of an entry host to HTTP, datagrams, timers and logs. One node is one process on one
// host: it serves callers, keeps the places of some services, and reads the platform.
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
	"balsamknot.org/fleet/timer"
	"balsamknot.org/platform"
)

// Config is what a node is built from.
type Config struct {
	Settings settings.Host
	Log      zerolog.Logger
	Timers   *timer.Scheduler
}

// Node is one running entry host.
type Node struct {
	// cfg are the settings at the start, settings those in force.
	cfg      settings.Host
	settings atomic.Pointer[settings.Host]
	log      zerolog.Logger
	timers   *timer.Scheduler

	store    *platform.Store
	engines  *platform.EngineClient
	beliefs  *beliefs
	members  *members
	places   *places
	links    *connection.Pool
	callers  *callers
	meter    *meter
	crashes  *crashes
	draining atomic.Bool
	// stops is when a draining process ends, in nanoseconds of the boot clock; 0 before.
	stops atomic.Int64

	servers []*http.Server
	work    sync.WaitGroup
}

const (
	// tickInterval is how often decisions hear that time has passed.
	tickInterval = 100 * time.Millisecond
	// sweepInterval is how often idle connections are looked at.
	sweepInterval = time.Second
	// dialLimit bounds a new connection to an endpoint.
	dialLimit = 300 * time.Millisecond
	// linkSilence is after how long a silent connection to an endpoint is taken to be dead.
	linkSilence = 3 * time.Second
	// linkIdle is how long an idle connection is kept whose endpoint says nothing of it.
	linkIdle = 900 * time.Millisecond
	// linksPerEndpoint bounds the idle connections to an endpoint.
	linksPerEndpoint = 8
	// headerLimit bounds the time and headerBytes the size of a caller's headers.
	headerLimit = 5 * time.Second
	headerBytes = 16 << 10
	// stopMargin is how long before its end by force a draining process ends by itself.
	stopMargin = 700 * time.Millisecond
	// drainLeast is how long a draining host serves at least, until the balancer has noticed.
	drainLeast = 2600 * time.Millisecond
	// drainStep is how often a draining host looks whether requests are in flight.
	drainStep = 50 * time.Millisecond
)

// New builds a node; Run starts it.
func New(cfg Config) *Node {
	n := &Node{cfg: cfg.Settings, log: cfg.Log, timers: cfg.Timers, store: platform.NewStore(cfg.Settings.StoreAddress), engines: platform.NewEngineClient()}
	n.settings.Store(&cfg.Settings)
	n.links = connection.New(connection.Config{
		DialTimeout: dialLimit, DeadPeerTimeout: linkSilence, IdleTimeout: linkIdle, MaxIdlePerEndpoint: linksPerEndpoint,
	})
	n.members = newMembers(n)
	n.places = newPlaces(n)
	n.beliefs = newBeliefs(n)
	n.callers = newCallers(n)
	n.meter = newMeter(n)
	n.crashes = newCrashes(n)
	return n
}

// Run serves until ctx ends, then drains and returns.
func (n *Node) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	n.places.life = work
	if err := n.listen(ctx); err != nil {
		return err
	}
	event.LogText(n.log, zerolog.InfoLevel, event.NodeStarted).Str("Callers", n.cfg.CallerAddress).Send()
	n.work.Go(n.members.serve)
	n.work.Go(func() { n.members.greet(work) })
	n.work.Go(func() { n.beliefs.follow(work) })
	cancels := []func(){
		n.timers.Every(tickInterval, func(time.Time, time.Duration) { n.tick() }),
		n.timers.Every(beatInterval, func(time.Time, time.Duration) { n.members.tick(timer.BootClock()) }),
		n.timers.Every(holdInterval, func(time.Time, time.Duration) { n.places.remind(timer.BootClock()) }),
		n.timers.Every(sweepInterval, func(time.Time, time.Duration) { n.sweep() }),
	}
	<-ctx.Done()
	n.drain()
	for _, cancel := range cancels {
		cancel()
	}
	stop()
	for _, server := range n.servers {
		_ = server.Close()
	}
	_ = n.members.socket.Close()
	n.links.Close()
	n.work.Wait()
	event.LogText(n.log, zerolog.InfoLevel, event.NodeStopped).Int64("InFlight", n.callers.flying.Load()).Send()
	return nil
}

func (n *Node) tick() {
	now := timer.BootClock()
	n.beliefs.tick(now)
	n.places.tick(now)
}

func (n *Node) sweep() {
	n.links.Sweep()
	n.callers.sweep(timer.BootClock())
}

// drain ends a node as planned: the balancer hears it, what still comes is served, and what runs finishes.
func (n *Node) drain() {
	start := timer.BootClock()
	n.stops.Store(start.Add(n.settings.Load().DrainLimit - stopMargin).UnixNano())
	n.draining.Store(true)
	n.members.leave()
	event.LogText(n.log, zerolog.InfoLevel, event.NodeDraining).Int64("InFlight", n.callers.flying.Load()).Send()
	for {
		time.Sleep(drainStep)
		now := timer.BootClock()
		spent := now.Sub(start)
		if spent >= drainLeast {
			n.callers.closeIdle(now)
		}
		if spent >= n.settings.Load().DrainLimit-stopMargin || (spent >= drainLeast && n.callers.flying.Load() == 0) {
			return
		}
	}
}

// stopsWithin reports whether the process ends within d of now.
func (n *Node) stopsWithin(now time.Time, d time.Duration) bool {
	stops := n.stops.Load()
	return stops != 0 && now.Add(d).UnixNano() > stops
}

// Ready reports whether the node takes callers.
func (n *Node) Ready() bool {
	return !n.draining.Load() && n.beliefs.valid(timer.BootClock())
}

func (n *Node) listen(ctx context.Context) error {
	if err := n.members.listen(ctx); err != nil {
		return err
	}
	for _, l := range []struct {
		address string
		server  *http.Server
	}{
		{n.cfg.ReadyAddress, &http.Server{Handler: n.readyHandler(), ReadHeaderTimeout: headerLimit}},
		{n.cfg.MetricsAddress, &http.Server{Handler: n.metricsHandler(), ReadHeaderTimeout: headerLimit}},
		{n.knowledgeAddress(n.cfg.Address), &http.Server{Handler: n.knowledgeHandler(), ReadHeaderTimeout: headerLimit}},
		{n.cfg.CallerAddress, n.callers.server()},
	} {
		if l.address == "" {
			continue
		}
		listener, err := new(net.ListenConfig).Listen(ctx, "tcp", l.address)
		if err != nil {
			return eris.Wrapf(err, "listen: address %s", l.address)
		}
		n.servers = append(n.servers, l.server)
		n.work.Go(func() { _ = l.server.Serve(listener) })
	}
	return nil
}

// MetricsPath is where the counters are served.
const MetricsPath = "/metrics"

func (n *Node) knowledgeHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+peer.StoreUpdatePath, peer.StoreUpdateHandler(n.beliefs.load))
	return mux
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
