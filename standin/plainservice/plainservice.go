// Package plainservice simulates a plain HTTP service behind the fleet, such as an application that books returned goods.
// It counts how often each action ran, so that a test finds actions that ran twice.
package plainservice

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// RunCounter counts runs by idempotency key, over all runners of a service. It is safe for concurrent use.
type RunCounter struct {
	mu     sync.Mutex
	counts map[string]int
}

// NewRunCounter returns an empty counter. The zero value of RunCounter panics when a run is counted.
func NewRunCounter() *RunCounter { return &RunCounter{counts: make(map[string]int)} }

// Count returns how often an action with this idempotency key has started; 0 for an unknown key.
func (c *RunCounter) Count(key string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts[key]
}

// Counts returns a copy of the counts by idempotency key.
func (c *RunCounter) Counts() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := make(map[string]int, len(c.counts))
	for key, n := range c.counts {
		counts[key] = n
	}
	return counts
}

func (c *RunCounter) increment(key string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[key]++
	return c.counts[key]
}

// Runner simulates one endpoint of the service, a process that runs its actions. Several runners share a RunCounter.
type Runner struct {
	// Name is sent in the Runner header of each answer.
	Name    string
	Counter *RunCounter
	// Delay is the time that an action takes.
	Delay   time.Duration
	running atomic.Int64
	leaving atomic.Bool
}

// SetLeaving sets whether load reports announce that the runner is leaving and should get no new requests. The runner still
// runs those that it gets.
func (runner *Runner) SetLeaving(leaving bool) { runner.leaving.Store(leaving) }

const maxBodyBytes = 1 << 20

// Handler returns the runner's HTTP interface: GET /v1/load reports its load, GET /counts returns the runs by idempotency
// key, and every other request is an action.
func (runner *Runner) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/load", runner.reportLoad)
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(runner.Counter.Counts())
	})
	mux.HandleFunc("/", runner.handleAction)
	return mux
}

func (runner *Runner) reportLoad(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(map[string]any{
		"Running": runner.running.Load(), "Capacity": 256, "AgeMs": 1, "Leaving": runner.leaving.Load(),
	})
}

// handleAction counts an action, if it has an idempotency key, waits for Delay and describes the request in the answer.
func (runner *Runner) handleAction(w http.ResponseWriter, r *http.Request) {
	runner.running.Add(1)
	defer runner.running.Add(-1)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, "body too large", http.StatusRequestEntityTooLarge)
		return
	}
	runs := 0
	if key := r.Header.Get("Idempotency-Key"); key != "" {
		runs = runner.Counter.increment(key)
	}
	time.Sleep(runner.Delay)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Runner", runner.Name)
	_ = json.NewEncoder(w).Encode(map[string]any{
		"Method": r.Method, "Path": r.URL.RequestURI(), "Bytes": len(body), "Runs": runs,
	})
}
