// Package modelengine stands in for a model engine: it batches requests over its seats, caches prompt prefixes
// in limited memory, reports load late, publishes cache events late and with gaps, resumes and cancels streams,
// and crashes on demand.
package modelengine

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Config sizes an engine.
type Config struct {
	Name    string
	Address string
	// Seats is how many requests run at once; more wait.
	Seats int
	// TokenTime is the time between tokens, PrefillTime the time for a thousand prompt tokens that are not cached.
	TokenTime, PrefillTime time.Duration
	// CacheTokens bounds the prompt tokens held.
	CacheTokens int
	// ReportLag is how old a load report is.
	ReportLag time.Duration
	// EventGap drops every n-th cache event; 0 drops none.
	EventGap int
	// CrashMarker ends the engine when a request's body holds it; empty for never.
	CrashMarker string
	// RestartAfter is how long a crashed engine stays away.
	RestartAfter time.Duration
}

// Stats counts what an engine did.
type Stats struct {
	Requests, PromptTokens, CachedTokens, Crashes int64
	// Running and MostRunning are the requests held now and at most.
	Running, MostRunning int64
}

// Engine is one stand-in. Start serves it, Close ends it.
type Engine struct {
	cfg     Config
	mu      sync.Mutex
	jobs    map[string]*job
	cache   *prefixCache
	seats   chan struct{}
	server  *http.Server
	closed  bool
	history []loadSample

	running      atomic.Int64
	leaving      atomic.Bool
	requests     atomic.Int64
	promptTokens atomic.Int64
	cachedTokens atomic.Int64
	crashes      atomic.Int64
	mostRunning  atomic.Int64
}

type loadSample struct {
	at      time.Time
	running int64
}

// New returns an engine that is not serving yet.
func New(cfg Config) *Engine {
	e := &Engine{cfg: cfg}
	e.reset()
	return e
}

func (e *Engine) reset() {
	e.jobs = make(map[string]*job)
	e.cache = newPrefixCache(e.cfg.CacheTokens, e.cfg.EventGap)
	e.seats = make(chan struct{}, e.cfg.Seats)
	e.history = nil
}

// Start listens and serves until Close. The address used is returned, for a Config with port 0.
func (e *Engine) Start() (string, error) {
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", e.cfg.Address)
	if err != nil {
		return "", err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cfg.Address = listener.Addr().String()
	e.server = &http.Server{Handler: e.handler(), ReadHeaderTimeout: time.Minute}
	server := e.server
	go func() { _ = server.Serve(listener) }()
	return e.cfg.Address, nil
}

// Close ends the engine and every connection to it.
func (e *Engine) Close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
	_ = e.server.Close()
}

// SetLeaving makes the engine say that it takes no new work.
func (e *Engine) SetLeaving(leaving bool) { e.leaving.Store(leaving) }

// Crash ends the engine as a process crash would: connections, running requests and cache are gone.
func (e *Engine) Crash() {
	e.crashes.Add(1)
	e.mu.Lock()
	server := e.server
	e.reset()
	e.running.Store(0)
	e.mu.Unlock()
	_ = server.Close()
	time.AfterFunc(e.cfg.RestartAfter, func() {
		e.mu.Lock()
		closed := e.closed
		e.mu.Unlock()
		if !closed {
			_, _ = e.Start()
		}
	})
}

// Stats returns the counts so far.
func (e *Engine) Stats() Stats {
	return Stats{
		Requests: e.requests.Load(), PromptTokens: e.promptTokens.Load(), CachedTokens: e.cachedTokens.Load(),
		Crashes: e.crashes.Load(), Running: e.running.Load(), MostRunning: e.mostRunning.Load(),
	}
}

// Running returns how many requests the engine holds.
func (e *Engine) Running() int64 { return e.running.Load() }

func (e *Engine) enter() {
	n := e.running.Add(1)
	for most := e.mostRunning.Load(); n > most && !e.mostRunning.CompareAndSwap(most, n); {
		most = e.mostRunning.Load()
	}
	e.sample(n)
}

func (e *Engine) leave() {
	e.sample(e.running.Add(-1))
}

const historyWindow = 10 * time.Second

func (e *Engine) sample(n int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.history = append(e.history, loadSample{now, n})
	first := 0
	for first < len(e.history)-1 && now.Sub(e.history[first].at) > historyWindow {
		first++
	}
	e.history = e.history[first:]
}

// reported returns the load as it was ReportLag ago.
func (e *Engine) reported() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	at := time.Now().Add(-e.cfg.ReportLag)
	var running int64
	for _, s := range e.history {
		if s.at.After(at) {
			break
		}
		running = s.running
	}
	return running
}
