// Package fingerprint finds requests that crash the endpoints that run them, and stops them after the second.
package fingerprint

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"balsamknot.org/fleet/engine"
)

// Print is the hash of what makes a request crash an endpoint: service, method, path and body.
type Print uint64

// Of returns the fingerprint of a request.
func Of(service, method, path string, body []byte) Print {
	var digest xxhash.Digest
	digest.Reset()
	for _, part := range []string{service, method, path} {
		_, _ = digest.WriteString(strconv.Itoa(len(part)))
		_, _ = digest.WriteString(part)
	}
	_, _ = digest.Write(body)
	return Print(digest.Sum64())
}

// Verdict says how a request may run.
type Verdict int

// Verdicts on a fingerprint.
const (
	// Clear runs as any other.
	Clear Verdict = iota
	// Alone runs without neighbours, one copy at a time.
	Alone
	// Condemned is refused.
	Condemned
)

const (
	// lifetime is how long a suspicion lasts after the last crash.
	lifetime = 10 * time.Minute
	// condemnedAt is how many losses condemn a request when it ran alone in one of them.
	condemnedAt = 2
	// condemnedBeside is how many do when it never ran alone: many requests of a popular kind may run beside a culprit.
	condemnedBeside = 3
)

// Key is the gossip key prefix of crash reports.
const Key = "crash/"

// Registry holds the suspicions of a node. It is not safe for concurrent use.
type Registry struct {
	gap      time.Duration
	suspects map[Print]*suspect
}

type suspect struct {
	// crashes holds when each was heard of.
	crashes map[Crash]time.Time
}

// Crash is one loss of an endpoint.
type Crash struct {
	Engine engine.ID
	// At is when it was lost, in milliseconds of Unix time; it keeps two losses of one endpoint apart.
	At int64
	// Alone is true when nothing else ran on it.
	Alone bool
}

// NewRegistry returns a registry without suspicions. gap is the least time between two losses that count for one print:
// endpoints that fall at the same moment fall of something else. With 0 all count.
func NewRegistry(gap time.Duration) *Registry {
	return &Registry{gap: gap, suspects: make(map[Print]*suspect)}
}

// Lost notes that an endpoint was lost while the print ran on it, and reports whether that was news and counts.
func (r *Registry) Lost(now time.Time, p Print, c Crash) bool {
	s := r.suspects[p]
	if s == nil {
		s = &suspect{crashes: make(map[Crash]time.Time)}
		r.suspects[p] = s
	}
	if _, known := s.crashes[c]; known {
		return false
	}
	for _, at := range s.crashes {
		if now.Sub(at) < r.gap {
			return false
		}
	}
	s.crashes[c] = now
	return true
}

// Crashes returns what is known of a print, in order of time. It travels with the request, so that whoever decides on
// it next knows no less.
func (r *Registry) Crashes(p Print) []Crash {
	s := r.suspects[p]
	if s == nil {
		return nil
	}
	crashes := slices.Collect(maps.Keys(s.crashes))
	slices.SortFunc(crashes, func(a, b Crash) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Engine, b.Engine))
	})
	return crashes
}

// Survived clears a print: it ran to its end.
func (r *Registry) Survived(p Print) {
	if s := r.suspects[p]; s != nil && !s.condemned() {
		delete(r.suspects, p)
	}
}

// Verdict says how a request may run now.
func (r *Registry) Verdict(now time.Time, p Print) Verdict {
	s := r.suspects[p]
	if s == nil {
		return Clear
	}
	for c, at := range s.crashes {
		if now.Sub(at) > lifetime {
			delete(s.crashes, c)
		}
	}
	switch {
	case len(s.crashes) == 0:
		delete(r.suspects, p)
		return Clear
	case s.condemned():
		return Condemned
	}
	return Alone
}

func (s *suspect) condemned() bool {
	if len(s.crashes) >= condemnedBeside {
		return true
	}
	for c := range s.crashes {
		if c.Alone && len(s.crashes) >= condemnedAt {
			return true
		}
	}
	return false
}

// Len returns how many prints are suspected or condemned.
func (r *Registry) Len() int { return len(r.suspects) }

// RowKey returns the gossip key under which a crash is told.
func RowKey(p Print, id engine.ID) string {
	return fmt.Sprintf("%s%016x/%s", Key, uint64(p), id)
}

// ParseRowKey reads a gossip key made by RowKey.
func ParseRowKey(key string) (Print, engine.ID, bool) {
	hex, id, ok := strings.Cut(strings.TrimPrefix(key, Key), "/")
	n, err := strconv.ParseUint(hex, 16, 64)
	return Print(n), engine.ID(id), ok && err == nil
}
