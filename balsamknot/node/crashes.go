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
	"balsamknot.org/fleet/host"
	"balsamknot.org/fleet/wire"
)

// crashTracker records, by fingerprint, the requests during which endpoints crashed, and shares these crashes with peers.
type crashTracker struct {
	n        *Node
	mu       sync.Mutex
	registry *fingerprint.Registry
	// nextRow is the index of the first row that the next message repeats.
	nextRow int
}

// maxRepeatedCrashes limits the crashes and completions that a message to a peer repeats.
const maxRepeatedCrashes = 8

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
		t.n.members.publish(crashRow(t.n.self.ID, fp, c, now))
	}
}

// broadcast exchanges gossip, and with it the recorded crashes, with up to maxBroadcastPeers peers without waiting for the next
// heartbeat.
func (t *crashTracker) broadcast() {
	t.n.members.broadcast(context.Background(), maxBroadcastPeers)
}

// recordRow records a crash, or the completion of a request, that a peer reported. It ignores other rows and malformed keys.
func (t *crashTracker) recordRow(row gossip.Row) {
	if fp, id, ok := fingerprint.ParseRowKey(row.Key); ok {
		t.recordCrash(row.At, fp, fingerprint.Crash{Engine: id, Incarnation: row.A, Alone: row.B == 1})
		return
	}
	if fp, ok := fingerprint.ParseCompletionKey(row.Key); ok {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.registry.Merge(row.At, fingerprint.Row{Fingerprint: fp})
	}
}

// nextRows returns up to maxRepeatedCrashes of the recorded crashes and completions, others at each call. Each message to a peer
// repeats some, so that peers that started after a crash, or missed its row, get it too.
func (t *crashTracker) nextRows(now time.Time) []gossip.Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	recorded := t.registry.Rows(now, false)
	var rows []gossip.Row
	for range min(len(recorded), maxRepeatedCrashes) {
		rows = append(rows, t.toGossip(now, recorded[t.nextRow%len(recorded)]))
		t.nextRow++
	}
	return rows
}

func (t *crashTracker) toGossip(now time.Time, row fingerprint.Row) gossip.Row {
	at := now.Add(-row.Age)
	if row.IsCompletion() {
		return gossip.Row{Origin: t.n.self.ID, Key: fingerprint.CompletionKey(row.Fingerprint), Version: uint64(at.UnixMilli()), At: at}
	}
	return crashRow(t.n.self.ID, row.Fingerprint, row.Crash, at)
}

// crashRow returns the gossip row about a crash that occurred at time at.
func crashRow(origin host.ID, fp fingerprint.Fingerprint, c fingerprint.Crash, at time.Time) gossip.Row {
	row := gossip.Row{Origin: origin, Key: fingerprint.RowKey(fp, c.Engine), Version: uint64(c.Incarnation), At: at, A: c.Incarnation}
	if c.Alone {
		row.B = 1
	}
	return row
}

// recordCrash records a crash that occurred at time at, and logs it if it was not known yet.
func (t *crashTracker) recordCrash(at time.Time, fp fingerprint.Fingerprint, c fingerprint.Crash) {
	t.mu.Lock()
	isNew := t.registry.RecordCrash(at, fp, c)
	t.mu.Unlock()
	if !isNew {
		return
	}
	number := event.RequestSuspected
	if t.verdict(t.n.timers.Now(), fp) == fingerprint.Blocked {
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

// recordCompletion deletes the crashes of a request that ran to its end. The messages to peers then contain the completion.
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
