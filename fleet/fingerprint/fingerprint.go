// Package fingerprint finds requests that crash the endpoints that run them, and blocks them after two or three crashes.
//
// Requests are recognised by a fingerprint, so that copies sent by other callers or through other hosts are found as well. Hosts
// send each other the crashes that they record, by gossip or broadcast, and balsamknot also with the requests themselves.
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

// Fingerprint is a hash of the parts of a request that can make it crash an endpoint: service, method, path and body. Headers
// are left out.
type Fingerprint uint64

// Of returns the fingerprint of a request. The length of each part but the body is hashed before the part, so that the same bytes
// split differently give another fingerprint.
func Of(service, method, path string, body []byte) Fingerprint {
	var digest xxhash.Digest
	digest.Reset()
	for _, part := range []string{service, method, path} {
		_, _ = digest.WriteString(strconv.Itoa(len(part)))
		_, _ = digest.WriteString(part)
	}
	_, _ = digest.Write(body)
	return Fingerprint(digest.Sum64())
}

// Verdict says whether and how a request may run.
type Verdict int

// Verdicts on a fingerprint, in order of severity.
const (
	// Allowed means that the request runs as usual.
	Allowed Verdict = iota
	// Isolated means that the request runs with no other request at its endpoint, one copy at a time.
	Isolated
	// Blocked means that the request is refused.
	Blocked
)

const (
	// crashLifetime is how long a crash is remembered after it was recorded.
	crashLifetime = 10 * time.Minute
	// blockAfterIsolated is how many crashes block a request that ran alone in at least one of them.
	blockAfterIsolated = 2
	// blockAfterShared is how many crashes block a request that never ran alone. It is higher, because a request that callers
	// send often may by chance run beside the one that causes the crashes.
	blockAfterShared = 3
)

// KeyPrefix is the prefix of the gossip keys of crashes; see RowKey.
const KeyPrefix = "crash/"

// Registry holds the crashes that a host knows of, by fingerprint. It is not safe for concurrent use.
type Registry struct {
	minInterval time.Duration
	histories   map[Fingerprint]*history
}

type history struct {
	// crashes holds when each crash was recorded here.
	crashes map[Crash]time.Time
}

// Crash is one crash of an endpoint while a request ran on it.
type Crash struct {
	Engine engine.ID
	// AtMs is when the endpoint was lost, in milliseconds of Unix time (balsamknot) or since the start of the machine (entry) of
	// the host that saw it. It tells two crashes of one endpoint apart, and is not compared with local clocks.
	AtMs int64
	// Alone is true when no other request ran on the endpoint.
	Alone bool
}

// NewRegistry returns an empty registry. Of two crashes of one fingerprint that are recorded less than minInterval apart only
// the first is kept: endpoints that fail at the same moment have another cause than the request. 0 keeps all.
func NewRegistry(minInterval time.Duration) *Registry {
	return &Registry{minInterval: minInterval, histories: make(map[Fingerprint]*history)}
}

// RecordCrash records that an endpoint crashed while the request with this fingerprint ran on it. It returns false if the
// crash is already known or lies within minInterval of another.
func (r *Registry) RecordCrash(now time.Time, fp Fingerprint, c Crash) bool {
	h := r.histories[fp]
	if h == nil {
		h = &history{crashes: make(map[Crash]time.Time)}
		r.histories[fp] = h
	}
	if _, recorded := h.crashes[c]; recorded {
		return false
	}
	for _, recordedAt := range h.crashes {
		if now.Sub(recordedAt) < r.minInterval {
			return false
		}
	}
	h.crashes[c] = now
	return true
}

// Crashes returns the crashes recorded for a fingerprint, in order of time. Callers send them with the request, so that the host
// that handles it next knows them too, even if gossip has not reached it.
func (r *Registry) Crashes(fp Fingerprint) []Crash {
	h := r.histories[fp]
	if h == nil {
		return nil
	}
	crashes := slices.Collect(maps.Keys(h.crashes))
	slices.SortFunc(crashes, func(a, b Crash) int {
		return cmp.Or(cmp.Compare(a.AtMs, b.AtMs), cmp.Compare(a.Engine, b.Engine))
	})
	return crashes
}

// RecordCompletion deletes the crashes of a fingerprint whose request ran to its end. A blocked fingerprint stays blocked,
// since the copy that completed may have started before.
func (r *Registry) RecordCompletion(fp Fingerprint) {
	if h := r.histories[fp]; h != nil && !h.blocked() {
		delete(r.histories, fp)
	}
}

// Verdict says whether and how a request with this fingerprint may run at time now. It deletes crashes that are too old.
func (r *Registry) Verdict(now time.Time, fp Fingerprint) Verdict {
	h := r.histories[fp]
	if h == nil {
		return Allowed
	}
	for c, recordedAt := range h.crashes {
		if now.Sub(recordedAt) > crashLifetime {
			delete(h.crashes, c)
		}
	}
	switch {
	case len(h.crashes) == 0:
		delete(r.histories, fp)
		return Allowed
	case h.blocked():
		return Blocked
	}
	return Isolated
}

func (h *history) blocked() bool {
	if len(h.crashes) >= blockAfterShared {
		return true
	}
	for c := range h.crashes {
		if c.Alone && len(h.crashes) >= blockAfterIsolated {
			return true
		}
	}
	return false
}

// Len returns how many fingerprints have crashes recorded. Those that are too old are included until Verdict deletes them.
func (r *Registry) Len() int { return len(r.histories) }

// RowKey returns the gossip key under which a host publishes a crash of endpoint id: the prefix, 16 hex digits and the ID.
func RowKey(fp Fingerprint, id engine.ID) string {
	return fmt.Sprintf("%s%016x/%s", KeyPrefix, uint64(fp), id)
}

// ParseRowKey returns the parts of a key made by RowKey, and false if the key is malformed.
func ParseRowKey(key string) (Fingerprint, engine.ID, bool) {
	hex, id, ok := strings.Cut(strings.TrimPrefix(key, KeyPrefix), "/")
	n, err := strconv.ParseUint(hex, 16, 64)
	return Fingerprint(n), engine.ID(id), ok && err == nil
}
