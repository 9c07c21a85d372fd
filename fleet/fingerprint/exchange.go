package fingerprint

import (
	"cmp"
	"slices"
	"time"
)

// Row is a crash or completion as hosts tell it each other, with its age in place of its time, since their clocks differ.
type Row struct {
	Fingerprint Fingerprint
	// Crash is zero for a completion.
	Crash Crash
	Age   time.Duration
}

// IsCompletion reports whether the row says that the request ran to its end.
func (row Row) IsCompletion() bool { return row.Crash.Engine == "" }

// recentRowAge is the age up to which rows are repeated to hosts that should have them already.
const recentRowAge = 30 * time.Second

// Rows returns all crashes and completions at time now, those of the fingerprints with the most crashes first. With recentOnly it
// leaves out fingerprints with at most one crash whose last change is older than recentRowAge.
func (r *Registry) Rows(now time.Time, recentOnly bool) []Row {
	r.judge(now)
	fps := make([]Fingerprint, 0, len(r.histories))
	for fp, h := range r.histories {
		if recentOnly && len(h.crashes) < 2 && now.Sub(h.lastChange()) > recentRowAge {
			continue
		}
		fps = append(fps, fp)
	}
	slices.SortFunc(fps, func(a, b Fingerprint) int {
		return cmp.Or(cmp.Compare(len(r.histories[b].crashes), len(r.histories[a].crashes)), cmp.Compare(a, b))
	})
	var rows []Row
	for _, fp := range fps {
		rows = append(rows, r.histories[fp].rows(now, fp)...)
	}
	return rows
}

func (h *history) rows(now time.Time, fp Fingerprint) []Row {
	var rows []Row
	if !h.completedAt.IsZero() {
		rows = append(rows, Row{Fingerprint: fp, Age: now.Sub(h.completedAt)})
	}
	for _, rec := range h.crashes {
		rows = append(rows, Row{Fingerprint: fp, Crash: rec.crash, Age: now.Sub(rec.at)})
	}
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Crash.Engine, b.Crash.Engine), cmp.Compare(a.Crash.Incarnation, b.Crash.Incarnation))
	})
	return rows
}

// Merge records a row of another host that arrived at time now. It returns true if a crash was recorded.
func (r *Registry) Merge(now time.Time, row Row) bool {
	at := now.Add(-row.Age)
	if row.Age > lifetime(row.Fingerprint) {
		return false
	}
	if row.IsCompletion() {
		r.history(row.Fingerprint)
		r.RecordCompletion(at, row.Fingerprint)
		return false
	}
	return r.RecordCrash(at, row.Fingerprint, row.Crash)
}
