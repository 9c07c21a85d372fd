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

const crashKeyPrefix = fingerprint.KeyPrefix

// suspects holds the requests that are suspected of crashing endpoints, by fingerprint, and shares the crashes with peers.
type suspects struct {
	n        *Node
	mu       sync.Mutex
	registry *fingerprint.Registry
}

func newSuspects(n *Node) *suspects {
	return &suspects{n: n, registry: fingerprint.NewRegistry(0)}
}

func (s *suspects) verdict(now time.Time, fp fingerprint.Fingerprint) fingerprint.Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registry.Verdict(now, fp)
}

// recordEndpointLost records that an endpoint crashed while it ran the requests with these fingerprints, and adds the crashes
// to gossip.
func (s *suspects) recordEndpointLost(now time.Time, id engine.ID, fingerprints []fingerprint.Fingerprint) {
	c := fingerprint.Crash{Engine: id, AtMs: now.UnixMilli(), Alone: len(fingerprints) == 1}
	for _, fp := range fingerprints {
		s.recordCrash(now, fp, c)
		row := gossip.Row{Origin: s.n.self.ID, Key: fingerprint.RowKey(fp, id), Version: uint64(c.AtMs), At: now, A: c.AtMs}
		if c.Alone {
			row.B = 1
		}
		s.n.members.publish(row)
	}
}

// broadcast sends recorded crashes to a limited number of peers without waiting for the next heartbeat.
func (s *suspects) broadcast() {
	s.n.members.broadcast(context.Background(), maxBroadcastPeers)
}

// recordRow records a crash that a peer reported by gossip. A row with a malformed key is ignored.
func (s *suspects) recordRow(now time.Time, row gossip.Row) {
	if fp, id, ok := fingerprint.ParseRowKey(row.Key); ok {
		s.recordCrash(now, fp, fingerprint.Crash{Engine: id, AtMs: row.A, Alone: row.B == 1})
	}
}

// recordCrash records a crash, and logs it if it was not known yet.
func (s *suspects) recordCrash(now time.Time, fp fingerprint.Fingerprint, c fingerprint.Crash) {
	s.mu.Lock()
	isNew := s.registry.RecordCrash(now, fp, c)
	s.mu.Unlock()
	if !isNew {
		return
	}
	number := event.RequestSuspected
	if s.verdict(now, fp) == fingerprint.Blocked {
		number = event.RequestBlocked
	}
	event.Log(s.n.log, zerolog.WarnLevel, number).Uint64("Fingerprint", uint64(fp)).Str("Endpoint", string(c.Engine)).Msg(event.Text(number))
}

// recordCrashes records the crashes that a peer sent with a request or its answer.
func (s *suspects) recordCrashes(fp fingerprint.Fingerprint, crashes []*wire.Crash) {
	now := s.n.timers.Now()
	for _, c := range crashes {
		s.recordCrash(now, fp, fingerprint.Crash{Engine: engine.ID(c.GetEngine()), AtMs: c.GetAtMs(), Alone: c.GetAlone()})
	}
}

// crashesToWire returns the known crashes of a fingerprint, to be sent with the request or its answer.
func (s *suspects) crashesToWire(fp fingerprint.Fingerprint) []*wire.Crash {
	s.mu.Lock()
	defer s.mu.Unlock()
	var crashes []*wire.Crash
	for _, c := range s.registry.Crashes(fp) {
		crashes = append(crashes, &wire.Crash{Engine: string(c.Engine), AtMs: c.AtMs, Alone: c.Alone})
	}
	return crashes
}

// recordCompletion deletes the crashes of a request that ran to its end, unless it is blocked.
func (s *suspects) recordCompletion(fp fingerprint.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.registry.RecordCompletion(fp)
}

// retries holds the retry budgets of the workspaces. It is safe for concurrent use.
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
