// Package claim lets a non-idempotent request run at most once, without shared storage.
//
// The caller gives the request an idempotency key. The home of the key is the host that runs the request. Before it does, it
// claims the key: it requests votes of the key's electors, a few hosts that each grant it to at most one claimant at a time, and
// sends the request only when a quorum of them has granted it the key. Two quorums have an elector in common if the homes' lists
// of electors differ by at most two hosts. Electors abstain if a list differs more from their own.
//
// A claimant is one process of a home. It sends the request to the endpoint's keeper, the host through which all requests to
// that endpoint pass.
package claim

import (
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"
)

// Key is an idempotency key, a UUIDv7. Its creation time lets an elector that restarted abstain on keys that it may have
// granted before. Hosts put the workspace and a slash before the UUID, so that workspaces do not share keys.
type Key string

// ErrNotUUIDv7 is returned by ParseKey for a text that is not a UUID or is a UUID of another version. Some other versions
// contain a creation time too, but ParseKey does not read it.
var ErrNotUUIDv7 = errors.New("Idempotency-Key must be a UUIDv7 (RFC 9562), whose first 48 bits are its time of minting")

// ParseKey returns a UUIDv7 in its canonical form, and its creation time. The error wraps ErrNotUUIDv7.
func ParseKey(text string) (Key, time.Time, error) {
	id, err := uuid.Parse(text)
	if err != nil {
		return "", time.Time{}, fmt.Errorf("%w: %w", ErrNotUUIDv7, err)
	}
	if id.Version() != 7 {
		return "", time.Time{}, fmt.Errorf("%w: version is %d", ErrNotUUIDv7, id.Version())
	}
	seconds, nanos := id.Time().UnixTime()
	return Key(id.String()), time.Unix(seconds, nanos), nil
}

// Limits bound how many keys hosts remember, and for how long. All hosts must use the same ClockSkew and Lifetime.
type Limits struct {
	// Lifetime is how long after the creation of its key a request may be started.
	Lifetime time.Duration
	// ClockSkew is the largest difference allowed between any two clocks of callers and hosts.
	ClockSkew time.Duration
	// MaxKeys is how many keys an elector or a home may remember; 0 means no limit.
	MaxKeys int
}

// Full reports whether a host that remembers this many keys must not accept another.
func (l Limits) Full(keys int) bool {
	return l.MaxKeys > 0 && keys >= l.MaxKeys
}

// Expired reports whether a request with the key may no longer be started, because electors may have deleted their grants of it.
func (l Limits) Expired(now, createdAt time.Time) bool {
	return now.Sub(createdAt) > l.Lifetime
}

// FromFuture reports whether the key's creation time is further in the future than ClockSkew allows.
func (l Limits) FromFuture(now, createdAt time.Time) bool {
	return createdAt.Sub(now) > l.ClockSkew
}
