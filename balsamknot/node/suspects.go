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
)

const crashKey = fingerprint.Key

// suspects is the controller of requests that crash endpoints.
type suspects struct {
	n        *Node
	mu       sync.Mutex
	registry *fingerprint.Registry
}

func newSuspects(n *Node) *suspects {
	return &suspects{n: n, registry: fingerprint.NewRegistry()}
}

func (s *suspects) verdict(now time.Time, p fingerprint.Print) fingerprint.Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registry.Verdict(now, p)
}

// lost notes that an endpoint was lost with these prints on it, and tells the peers before anyone tries again.
func (s *suspects) lost(now time.Time, id engine.ID, prints []fingerprint.Print) {
	s.mu.Lock()
	s.registry.Lost(now, id, now, prints...)
	s.mu.Unlock()
	for _, p := range prints {
		s.log(now, id, p)
		s.n.members.tell(gossip.Row{
			Origin: s.n.self.ID, Key: fingerprint.RowKey(p, id), Version: uint64(now.UnixMilli()), At: now, A: now.UnixMilli(),
		})
	}
	s.n.members.broadcast(context.Background(), min(len(s.n.members.peerIDs())+1, mostTold))
}

// heard takes in a peer's report of a crash.
func (s *suspects) heard(now time.Time, row gossip.Row) {
	p, id, ok := fingerprint.ParseRowKey(row.Key)
	if !ok {
		return
	}
	s.mu.Lock()
	s.registry.Lost(now, id, time.UnixMilli(row.A), p)
	s.mu.Unlock()
	s.log(now, id, p)
}

func (s *suspects) log(now time.Time, id engine.ID, p fingerprint.Print) {
	number := event.RequestSuspected
	if s.verdict(now, p) == fingerprint.Condemned {
		number = event.RequestCondemned
	}
	event.Log(s.n.log, zerolog.WarnLevel, number).Uint64("Fingerprint", uint64(p)).Str("Endpoint", string(id)).Msg(event.Text(number))
}

func (s *suspects) survived(p fingerprint.Print) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.registry.Survived(p)
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
