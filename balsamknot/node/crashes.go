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

// crashKeyPrefix is the prefix of the keys of gossip rows about crashes.
const crashKeyPrefix = fingerprint.KeyPrefix

// crashTracker records, by fingerprint, the requests during which endpoints crashed, and shares these crashes with peers.
type crashTracker struct {
	n        *Node
	mu       sync.Mutex
	registry *fingerprint.Registry
}

func newCrashTracker(n *Node) *crashTracker {
	return &crashTracker{n: n, registry: fingerprint.NewRegistry(0)}
}

func (t *crashTracker) verdict(now time.Time, fp fingerprint.Fingerprint) fingerprint.Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.registry.Verdict(now, fp)
}

// recordEndpointLost records that an endpoint crashed while it ran the requests with these fingerprints, and adds the crashes
// to gossip.
func (t *crashTracker) recordEndpointLost(now time.Time, id engine.ID, fingerprints []fingerprint.Fingerprint) {
	c := fingerprint.Crash{Engine: id, Incarnation: now.UnixMilli(), Alone: len(fingerprints) == 1}
	for _, fp := range fingerprints {
		t.recordCrash(now, fp, c)
		row := gossip.Row{Origin: t.n.self.ID, Key: fingerprint.RowKey(fp, id), Version: uint64(c.Incarnation), At: now, A: c.Incarnation}
		if c.Alone {
			row.B = 1
		}
		t.n.members.publish(row)
	}
}

// broadcast exchanges gossip, and with it the recorded crashes, with up to maxBroadcastPeers peers without waiting for the next
// heartbeat.
func (t *crashTracker) broadcast() {
	t.n.members.broadcast(context.Background(), maxBroadcastPeers)
}

// recordRow records a crash that a peer reported by gossip. A row with a malformed key is ignored.
func (t *crashTracker) recordRow(now time.Time, row gossip.Row) {
	if fp, id, ok := fingerprint.ParseRowKey(row.Key); ok {
		t.recordCrash(now, fp, fingerprint.Crash{Engine: id, Incarnation: row.A, Alone: row.B == 1})
	}
}

// recordCrash records a crash, and logs it if it was not known yet.
func (t *crashTracker) recordCrash(now time.Time, fp fingerprint.Fingerprint, c fingerprint.Crash) {
	t.mu.Lock()
	isNew := t.registry.RecordCrash(now, fp, c)
	t.mu.Unlock()
	if !isNew {
		return
	}
	number := event.RequestSuspected
	if t.verdict(now, fp) == fingerprint.Blocked {
		number = event.RequestBlocked
	}
	event.Log(t.n.log, zerolog.WarnLevel, number).Uint64("Fingerprint", uint64(fp)).Str("Endpoint", string(c.Engine)).Msg(event.Text(number))
}

// recordCrashes records the crashes that a peer sent with a request or its answer.
func (t *crashTracker) recordCrashes(fp fingerprint.Fingerprint, crashes []*wire.Crash) {
	now := t.n.timers.Now()
	for _, c := range crashes {
		t.recordCrash(now, fp, fingerprint.Crash{Engine: engine.ID(c.GetEngine()), Incarnation: c.GetAtMs(), Alone: c.GetAlone()})
	}
}

// crashesToWire returns the known crashes of a fingerprint, to be sent with the request or its answer.
func (t *crashTracker) crashesToWire(fp fingerprint.Fingerprint) []*wire.Crash {
	t.mu.Lock()
	defer t.mu.Unlock()
	var crashes []*wire.Crash
	for _, c := range t.registry.Crashes(fp) {
		crashes = append(crashes, &wire.Crash{Engine: string(c.Engine), AtMs: c.Incarnation, Alone: c.Alone})
	}
	return crashes
}

// recordCompletion deletes the crashes of a request that ran to its end, unless it is blocked.
func (t *crashTracker) recordCompletion(fp fingerprint.Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.registry.RecordCompletion(t.n.timers.Now(), fp)
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
