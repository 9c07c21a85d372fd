package fingerprint

import (
	"cmp"
	"slices"
	"time"

	"balsamknot.org/fleet/engine"
)

const (
	// crashLifetime is how long a crash is remembered, and how long the last crash blocks a part of a prompt.
	crashLifetime = 10 * time.Minute
	// partCrashLifetime is how long a crash is remembered for a part of a prompt. After the block requests with the part run one after
	// another, and the next crash blocks it again.
	partCrashLifetime = 70 * time.Minute
	// unconfirmedLifetime is how long an unconfirmed crash is remembered. The registration of an endpoint that ended is removed
	// well within it.
	unconfirmedLifetime = 15 * time.Second
	// blockAfterIsolated is how many crashes block a request that ran alone in at least one of them.
	blockAfterIsolated = 2
	// minBlockAfter is how many crashes block any fingerprint at least.
	minBlockAfter = blockAfterIsolated
	// blockAfterShared is how many crashes block a request that never ran alone. It is higher, because a request that callers
	// send often may by chance run beside the one that causes the crashes.
	blockAfterShared = 3
	// blockPartAfter is how many crashes block a part of a prompt. It is higher, because many requests share a part.
	blockPartAfter = 5
	// maxFingerprints limits the fingerprints that are remembered; one with the fewest crashes is deleted.
	maxFingerprints = 1024
)

// Crash is one crash of an endpoint while a request ran on it.
type Crash struct {
	Engine engine.ID
	// Incarnation distinguishes two crashes of one endpoint: when its keeper observed the crash, in milliseconds of Unix time
	// (balsamknot), or the start time of the incarnation that crashed (entry). It is not compared with local clocks.
	Incarnation int64
	// Alone is true for a request if no other one ran on the endpoint, as its keeper knows in balsamknot, and for a part of a prompt if
	// the run was a trial of it, see Decision.
	Alone bool
	// Ran is how long the request had run, as its host observed it; 0 when unknown. Requests with as many crashes are ordered
	// by it, since a request that crashes endpoints does so soon after its start.
	Ran time.Duration
	// Unconfirmed is true if the endpoint only fell silent. Such a crash does not block the request, but runs its copies one after
	// another until it is confirmed, withdrawn by a completion or older than unconfirmedLifetime.
	Unconfirmed bool
}

// Registry holds the crashes that a host knows of, by fingerprint. It is not safe for concurrent use.
type Registry struct {
	minInterval time.Duration
	histories   map[Fingerprint]*history
	completions completionMemory
	// repeated holds the histories with minBlockAfter crashes or more, and may still hold others.
	repeated map[Fingerprint]*history
	// judged is false when crashes changed after judge found what is blocked, and expiry when the oldest of the crashes that
	// count expires.
	judged bool
	expiry time.Time
	// explained holds the crashes for which what is blocked accounts.
	explained explanations
}

// history is what is known of one fingerprint.
type history struct {
	crashes map[incident]record
	// completedAt is when a request with this fingerprint last ran to its end. Earlier crashes do not count.
	completedAt time.Time
	// blocked is true if the verdict is Blocked.
	blocked bool
}

// incident identifies a crash: an incarnation of an endpoint crashes once.
type incident struct {
	engine      engine.ID
	incarnation int64
}

// record is a crash with its time by the local clock.
type record struct {
	crash Crash
	at    time.Time
}

// expiresAt returns when the crash no longer counts against a fingerprint.
func (rec record) expiresAt(fp Fingerprint) time.Time {
	if rec.crash.Unconfirmed {
		return rec.at.Add(unconfirmedLifetime)
	}
	return rec.at.Add(lifetime(fp))
}

// lifetime returns how long crashes are remembered for a fingerprint.
func lifetime(fp Fingerprint) time.Duration {
	if fp.IsPart() {
		return partCrashLifetime
	}
	return crashLifetime
}

// NewRegistry returns an empty registry. Crashes of one fingerprint block it only if they span minInterval: endpoints that fail at
// the same moment may have another cause than the request, see Limited. 0 makes no such condition.
func NewRegistry(minInterval time.Duration) *Registry {
	return &Registry{minInterval: minInterval, histories: make(map[Fingerprint]*history), repeated: make(map[Fingerprint]*history), completions: newCompletionMemory()}
}

// RecordCrash records that an endpoint crashed at time at while the request with this fingerprint ran on it. It returns false if
// the crash is already known, or if the request ran to its end after it. An unconfirmed crash is not recorded for a request that ran
// to its end here before: that one is slow.
func (r *Registry) RecordCrash(at time.Time, fp Fingerprint, c Crash) bool {
	completedAt := r.completions.last(fp)
	if c.Unconfirmed && !completedAt.IsZero() || !at.After(completedAt) {
		return false
	}
	h := r.history(fp)
	if !at.After(h.completedAt) {
		return false
	}
	key := incident{c.Engine, c.Incarnation}
	known, recorded := h.crashes[key]
	if recorded && (!known.crash.Unconfirmed || c.Unconfirmed) {
		// The earliest report is closest to the crash.
		if at.Before(known.at) {
			known.at = at
			h.crashes[key] = known
		}
		return false
	}
	rec := record{c, at}
	h.crashes[key] = rec
	if len(h.crashes) >= minBlockAfter {
		r.repeated[fp] = h
	}
	r.judgeAgainAfter(at, fp, rec)
	r.judged = false
	return true
}

func (r *Registry) history(fp Fingerprint) *history {
	h := r.histories[fp]
	if h == nil {
		if len(r.histories) >= maxFingerprints {
			r.deleteOldest()
		}
		h = &history{crashes: make(map[incident]record)}
		r.histories[fp] = h
	}
	return h
}

// deleteOldest deletes the fingerprint that changed longest ago, of those with the fewest crashes.
func (r *Registry) deleteOldest() {
	first := true
	var oldest Fingerprint
	var fewest int
	var oldestAt time.Time
	for fp, h := range r.histories {
		crashes, at := len(h.crashes), h.lastChange()
		if first || crashes < fewest || (crashes == fewest && at.Before(oldestAt)) {
			first, oldest, fewest, oldestAt = false, fp, crashes, at
		}
	}
	delete(r.histories, oldest)
	r.judged = false
}

// lastChange returns the time of the last crash or completion.
func (h *history) lastChange() time.Time {
	last := h.completedAt
	for _, rec := range h.crashes {
		if rec.at.After(last) {
			last = rec.at
		}
	}
	return last
}

// RecordCompletion records that a request with this fingerprint ran to its end at time at, so that earlier crashes no longer
// count, and returns how many it deleted. A blocked request stays blocked if it ran alone during one of its crashes: the copy that
// completed may have started before. A part of a prompt that crashes endpoints has no such copies, since none of them completes.
func (r *Registry) RecordCompletion(at time.Time, fp Fingerprint) int {
	r.completions.note(at, fp)
	h := r.histories[fp]
	if h == nil || !at.After(h.completedAt) {
		return 0
	}
	r.judge(at)
	if h.blocked && h.ranAlone() && !fp.IsPart() {
		return 0
	}
	h.completedAt = at
	deleted := 0
	for key, rec := range h.crashes {
		if !rec.at.After(at) {
			delete(h.crashes, key)
			deleted++
		}
	}
	if deleted > 0 {
		r.judged = false
	}
	return deleted
}

// ranAlone reports whether the request ran alone during one of its crashes.
func (h *history) ranAlone() bool {
	for _, rec := range h.crashes {
		if rec.crash.Alone {
			return true
		}
	}
	return false
}

// Crashes returns the crashes recorded for a fingerprint, ordered by incarnation. balsamknot's hosts send them with the request, so
// that the host that handles it next has them too, even if gossip has not reached it.
func (r *Registry) Crashes(fp Fingerprint) []Crash {
	h := r.histories[fp]
	if h == nil {
		return nil
	}
	var crashes []Crash
	for _, rec := range h.crashes {
		crashes = append(crashes, rec.crash)
	}
	slices.SortFunc(crashes, func(a, b Crash) int {
		return cmp.Or(cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Engine, b.Engine))
	})
	return crashes
}

// Verdict returns whether and how a request with this fingerprint may run at time now. It deletes crashes that are too old.
func (r *Registry) Verdict(now time.Time, fp Fingerprint) Verdict {
	if len(r.histories) == 0 {
		return Allowed
	}
	r.judge(now)
	if h := r.histories[fp]; h != nil {
		return r.verdict(fp, h)
	}
	return Allowed
}

// Limited reports whether a fingerprint has enough crashes to be blocked, but all came at one moment, some are unconfirmed, or, for a part
// of a prompt, the block is over: it may have caused them, or ran by chance where several endpoints failed together.
func (r *Registry) Limited(now time.Time, fp Fingerprint) bool {
	if len(r.histories) == 0 {
		return false
	}
	r.judge(now)
	h := r.histories[fp]
	return h != nil && r.limited(fp, h)
}

// BlockedFor returns how long a fingerprint stays blocked unless more is recorded for it; 0 if it is not blocked.
func (r *Registry) BlockedFor(now time.Time, fp Fingerprint) time.Duration {
	if r.Verdict(now, fp) != Blocked {
		return 0
	}
	h := r.histories[fp]
	needed := blockAfter(fp, h.ranAlone())
	if fp.IsPart() {
		needed = 1
	}
	times := h.crashTimes()
	return times[max(len(times)-needed, 0)].Add(crashLifetime).Sub(now)
}

// Len returns how many fingerprints have crashes or completions recorded. Those that are too old are included until Verdict
// deletes them.
func (r *Registry) Len() int { return len(r.histories) }
