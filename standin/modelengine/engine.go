// Package modelengine simulates an engine, a server that runs a language model. It runs requests in a limited number of
// slots, caches prompt prefixes in limited memory, reports its load with a delay, publishes cache events with gaps, resumes
// and cancels streams, and crashes on demand.
package modelengine

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Config holds the parameters of a simulated engine.
type Config struct {
	Name string
	// Address is the host:port to listen on; port 0 picks a free one.
	Address string
	// Slots is the number of requests that run at once; further ones queue without limit.
	Slots int
	// TokenTime is the time to generate a token, PrefillTime the time to process 1,000 prompt tokens that are not cached.
	TokenTime, PrefillTime time.Duration
	// CacheTokens is the largest number of prompt tokens in the prefix cache.
	CacheTokens int
	// ReportLag is the age of the load that a report shows; at most loadHistoryWindow is remembered.
	ReportLag time.Duration
	// EventDropInterval leaves out every n-th cache event; 0 leaves out none.
	EventDropInterval int
	// CrashMarker is a text that crashes the engine when a request's body contains it; empty disables this.
	CrashMarker string
	// RestartDelay is the time from a crash until the engine listens again.
	RestartDelay time.Duration
}

// Stats holds the counters of an engine since New, as GET /v1/stats returns them in JSON. A crash does not reset them,
// except Running.
type Stats struct {
	Requests, PromptTokens, CachedTokens, Crashes int64
	// Running is the number of requests in the engine now, queued ones included, and MostRunning its highest value so far.
	Running, MostRunning int64
}

// Engine is a simulated engine with an HTTP interface. It serves between Start and Close.
type Engine struct {
	cfg         Config
	mu          sync.Mutex
	jobs        map[string]*job
	cache       *prefixCache
	process     *process
	server      *http.Server
	closed      bool
	loadHistory []loadSample

	leaving      atomic.Bool
	requests     atomic.Int64
	promptTokens atomic.Int64
	cachedTokens atomic.Int64
	crashes      atomic.Int64
	peakRunning  atomic.Int64
}

// process is what ends with the engine's process.
type process struct {
	// slots holds an element for each request that runs, and running is the number of requests, queued ones included.
	slots   chan struct{}
	running atomic.Int64
}

// loadSample is the number of requests in the engine from a point in time on.
type loadSample struct {
	at      time.Time
	running int64
}

// New returns an engine that does not listen yet.
func New(cfg Config) *Engine {
	e := &Engine{cfg: cfg}
	e.reset()
	return e
}

// reset drops all requests, the cache and the load history, as a new process has none.
func (e *Engine) reset() {
	e.jobs = make(map[string]*job)
	e.cache = newPrefixCache(e.cfg.CacheTokens, e.cfg.EventDropInterval)
	e.process = &process{slots: make(chan struct{}, e.cfg.Slots)}
	e.loadHistory = nil
}

// Start listens and serves in the background until Close. It returns the host:port address that it listens on, which
// differs from Config.Address if that has port 0, or an error if it can't listen.
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

// Close stops the engine, which must have been started, and closes every connection to it. It also prevents the restart
// that would follow a crash.
func (e *Engine) Close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
	_ = e.server.Close()
}

// SetLeaving sets whether load reports announce that the engine is leaving and should get no new requests. The engine still
// runs those that it gets.
func (e *Engine) SetLeaving(leaving bool) { e.leaving.Store(leaving) }

// Crash simulates the crash of an engine process: it closes every connection, drops the requests and the cache, and
// listens again on the same address after RestartDelay.
func (e *Engine) Crash() {
	e.crashes.Add(1)
	e.mu.Lock()
	server := e.server
	for _, j := range e.jobs {
		j.cancel()
	}
	e.reset()
	e.mu.Unlock()
	_ = server.Close()
	time.AfterFunc(e.cfg.RestartDelay, func() {
		e.mu.Lock()
		closed := e.closed
		e.mu.Unlock()
		if !closed {
			_, _ = e.Start()
		}
	})
}

// Stats returns the current counters. They are read one by one, so they may differ by requests that are in progress.
func (e *Engine) Stats() Stats {
	return Stats{
		Requests: e.requests.Load(), PromptTokens: e.promptTokens.Load(), CachedTokens: e.cachedTokens.Load(),
		Crashes: e.crashes.Load(), Running: e.Running(), MostRunning: e.peakRunning.Load(),
	}
}

// Running returns the number of requests in the engine, queued ones included.
func (e *Engine) Running() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.process.running.Load()
}

func (e *Engine) requestStarted(p *process) {
	running := p.running.Add(1)
	for peak := e.peakRunning.Load(); running > peak && !e.peakRunning.CompareAndSwap(peak, running); {
		peak = e.peakRunning.Load()
	}
	e.recordLoad(p, running)
}

func (e *Engine) requestFinished(p *process) { e.recordLoad(p, p.running.Add(-1)) }

// loadHistoryWindow is the time for which load samples are kept, and so the longest ReportLag that works.
const loadHistoryWindow = 10 * time.Second

// recordLoad records the number of requests in a process, unless it has ended. The newest sample from before the window stays: it says how
// many there were until the next one.
func (e *Engine) recordLoad(p *process, running int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if p != e.process {
		return
	}
	now := time.Now()
	e.loadHistory = append(e.loadHistory, loadSample{now, running})
	first := 0
	for first < len(e.loadHistory)-1 && now.Sub(e.loadHistory[first+1].at) > loadHistoryWindow {
		first++
	}
	e.loadHistory = e.loadHistory[first:]
}

// laggedRunning returns the number of requests that were in the engine ReportLag ago, as load reports of real engines lag.
func (e *Engine) laggedRunning() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	asOf := time.Now().Add(-e.cfg.ReportLag)
	var running int64
	for _, s := range e.loadHistory {
		if s.at.After(asOf) {
			break
		}
		running = s.running
	}
	return running
}
