// Package claim lets a non-idempotent request run at most once, without shared storage:
// a home runs a key only when a quorum of electors vouches for it and for nobody else.
package claim

import (
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"
)

// Key is an idempotency key, a UUIDv7: its mint time tells what a restarted elector can't remember.
type Key string

// ErrNotUUIDv7 says that a key carries no mint time.
var ErrNotUUIDv7 = errors.New("Idempotency-Key must be a UUIDv7 (RFC 9562), whose first 48 bits are its time of minting")

// ParseKey checks a key and returns it in its canonical form with its mint time.
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

// Limits bound a key's life. All nodes of a fleet use the same.
type Limits struct {
	// Lifetime is how long after its minting a key may run.
	Lifetime time.Duration
	// Skew bounds the difference between any two clocks of callers and hosts.
	Skew time.Duration
	// Keys bounds how many keys an elector or a home remembers; 0 is no bound.
	Keys int
}

// Full reports whether no further key can be remembered.
func (l Limits) Full(keys int) bool {
	return l.Keys > 0 && keys >= l.Keys
}

// Expired reports whether the key may no longer be run, because electors may have forgotten it.
func (l Limits) Expired(now, minted time.Time) bool {
	return now.Sub(minted) > l.Lifetime
}

// FromFuture reports whether the key's mint time lies further ahead than clocks may differ.
func (l Limits) FromFuture(now, minted time.Time) bool {
	return minted.Sub(now) > l.Skew
}
