// Package plainservice stands in for a plain service behind the fleet, such as the returns application:
// it counts how often each action ran.
package plainservice

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Ledger counts actions over all runners of a service.
type Ledger struct {
	mu     sync.Mutex
	counts map[string]int
}

// NewLedger returns a ledger without actions.
func NewLedger() *Ledger { return &Ledger{counts: make(map[string]int)} }

// Count returns how often the action named by the idempotency key ran.
func (l *Ledger) Count(key string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts[key]
}

// Counts returns all counts.
func (l *Ledger) Counts() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := make(map[string]int, len(l.counts))
	for key, n := range l.counts {
		counts[key] = n
	}
	return counts
}

func (l *Ledger) add(key string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[key]++
	return l.counts[key]
}

// Runner is one endpoint of the service.
type Runner struct {
	Name   string
	Ledger *Ledger
	// Delay is how long an action takes.
	Delay   time.Duration
	running atomic.Int64
	leaving atomic.Bool
}

// SetLeaving makes the runner say that it takes no new work.
func (s *Runner) SetLeaving(leaving bool) { s.leaving.Store(leaving) }

const maxBody = 1 << 20

// Handler returns the runner's HTTP interface.
func (s *Runner) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/load", s.load)
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(s.Ledger.Counts())
	})
	mux.HandleFunc("/", s.act)
	return mux
}

func (s *Runner) load(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(map[string]any{
		"Running": s.running.Load(), "Capacity": 256, "AgeMs": 1, "Leaving": s.leaving.Load(),
	})
}

func (s *Runner) act(w http.ResponseWriter, r *http.Request) {
	s.running.Add(1)
	defer s.running.Add(-1)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		http.Error(w, "body too large", http.StatusRequestEntityTooLarge)
		return
	}
	runs := 0
	if key := r.Header.Get("Idempotency-Key"); key != "" {
		runs = s.Ledger.add(key)
	}
	time.Sleep(s.Delay)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Runner", s.Name)
	_ = json.NewEncoder(w).Encode(map[string]any{
		"Method": r.Method, "Path": r.URL.RequestURI(), "Bytes": len(body), "Runs": runs,
	})
}
