package node

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"balsamknot.org/balsamknot/event"
	"balsamknot.org/fleet/budget"
	"balsamknot.org/fleet/engine"
	"balsamknot.org/fleet/fingerprint"
	"balsamknot.org/fleet/gossip"
	"balsamknot.org/fleet/wire"
)

const crashKey = fingerprint.KeyPrefix

// suspects is the controller of requests that crash endpoints.
type suspects struct {
	n        *Node
	mu       sync.Mutex
	registry *fingerprint.Registry
}

func newSuspects(n *Node) *suspects {
	return &suspects{n: n, registry: fingerprint.NewRegistry(0)}
}

func (s *suspects) verdict(now time.Time, p fingerprint.Fingerprint) fingerprint.Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registry.Verdict(now, p)
}

// lost notes that an endpoint was lost with these prints on it.
func (s *suspects) lost(now time.Time, id engine.ID, prints []fingerprint.Fingerprint) {
	c := fingerprint.Crash{Engine: id, AtMs: now.UnixMilli(), Alone: len(prints) == 1}
	for _, p := range prints {
		s.learn(now, p, c)
		row := gossip.Row{Origin: s.n.self.ID, Key: fingerprint.RowKey(p, id), Version: uint64(c.AtMs), At: now, A: c.AtMs}
		if c.Alone {
			row.B = 1
		}
		s.n.members.publish(row)
	}
}

// spread tells the peers at once.
func (s *suspects) spread() {
	s.n.members.broadcast(context.Background(), maxBroadcastPeers)
}

// heard takes in a peer's report of a crash.
func (s *suspects) heard(now time.Time, row gossip.Row) {
	if p, id, ok := fingerprint.ParseRowKey(row.Key); ok {
		s.learn(now, p, fingerprint.Crash{Engine: id, AtMs: row.A, Alone: row.B == 1})
	}
}

func (s *suspects) learn(now time.Time, p fingerprint.Fingerprint, c fingerprint.Crash) {
	s.mu.Lock()
	news := s.registry.RecordCrash(now, p, c)
	s.mu.Unlock()
	if !news {
		return
	}
	number := event.RequestSuspected
	if s.verdict(now, p) == fingerprint.Blocked {
		number = event.RequestBlocked
	}
	event.Log(s.n.log, zerolog.WarnLevel, number).Uint64("Fingerprint", uint64(p)).Str("Endpoint", string(c.Engine)).Msg(event.Text(number))
}

// learnWire takes in what travelled with a request.
func (s *suspects) learnWire(p fingerprint.Fingerprint, crashes []*wire.Crash) {
	now := s.n.timers.Now()
	for _, c := range crashes {
		s.learn(now, p, fingerprint.Crash{Engine: engine.ID(c.GetEngine()), AtMs: c.GetAtMs(), Alone: c.GetAlone()})
	}
}

// crashesWire returns what travels with a request.
func (s *suspects) crashesWire(p fingerprint.Fingerprint) []*wire.Crash {
	s.mu.Lock()
	defer s.mu.Unlock()
	var crashes []*wire.Crash
	for _, c := range s.registry.Crashes(p) {
		crashes = append(crashes, &wire.Crash{Engine: string(c.Engine), AtMs: c.AtMs, Alone: c.Alone})
	}
	return crashes
}

func (s *suspects) survived(p fingerprint.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.registry.RecordCompletion(p)
}

// retries is the controller of the workspaces' retry budgets.
type retries struct {
	mu     sync.Mutex
	budget *budget.Retries
}

func newRetries() *retries { return &retries{budget: budget.NewRetries()} }

func (r *retries) deposit(workspace string, share float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget.Deposit(workspace, share)
}

func (r *retries) spend(workspace string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget.Spend(workspace)
}
