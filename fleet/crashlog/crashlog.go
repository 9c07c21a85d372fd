// Package crashlog decides which of the crashes that a host records get a log line of their own.
//
// An engine that ends under load ends some thirty requests with several shared parts of prompts each, and every host records all of them. The
// first lines of an endpoint and second are written, the rest is counted in a summary, so that the log of other events is not dropped.
package crashlog

import (
	"time"

	"balsamknot.org/fleet/endpoint"
	"balsamknot.org/fleet/fingerprint"
)

// Config holds the limits of a Log.
type Config struct {
	// Window is the time for which lines are counted, and after which those left out are summarised.
	Window time.Duration
	// LinesPerEndpoint is how many lines one run of an endpoint gets in a window, and Lines how many all get together.
	LinesPerEndpoint, Lines int
}

// Summary counts the crashes of one run of an endpoint that got no line of their own.
type Summary struct {
	Endpoint endpoint.Instance
	// Requests and Parts are how many fingerprints of requests and of parts of prompts were left out.
	Requests, Parts int
}

// Log counts the lines of the current window. It is not safe for concurrent use.
type Log struct {
	cfg Config
	// startedAt is when the window began; zero if nothing was recorded since the last one.
	startedAt time.Time
	lines     int
	endpoints map[endpoint.Instance]*tally
	// order holds the endpoints in the order of their first crash.
	order []endpoint.Instance
}

// tally counts the lines of one endpoint, and in summary what was left out.
type tally struct {
	lines   int
	summary Summary
}

// New returns an empty log.
func New(cfg Config) *Log { return &Log{cfg: cfg, endpoints: make(map[endpoint.Instance]*tally)} }

// Record notes that a crash of an endpoint was recorded for a fingerprint at time now, and reports whether it gets a line of its own.
func (l *Log) Record(now time.Time, e endpoint.Instance, fp fingerprint.Fingerprint) bool {
	if l.startedAt.IsZero() {
		l.startedAt = now
	}
	t := l.endpoints[e]
	if t == nil {
		t = &tally{summary: Summary{Endpoint: e}}
		l.endpoints[e] = t
		l.order = append(l.order, e)
	}
	if t.lines < l.cfg.LinesPerEndpoint && l.lines < l.cfg.Lines {
		t.lines++
		l.lines++
		return true
	}
	if fp.IsPart() {
		t.summary.Parts++
	} else {
		t.summary.Requests++
	}
	return false
}

// Tick ends the window if it is over, and returns a summary for each endpoint of which crashes were left out.
func (l *Log) Tick(now time.Time) []Summary {
	if l.startedAt.IsZero() || now.Sub(l.startedAt) < l.cfg.Window {
		return nil
	}
	var summaries []Summary
	for _, e := range l.order {
		if s := l.endpoints[e].summary; s.Requests+s.Parts > 0 {
			summaries = append(summaries, s)
		}
	}
	l.startedAt, l.lines, l.order = time.Time{}, 0, nil
	clear(l.endpoints)
	return summaries
}
