// Package rest records for how long endpoints want no requests from a host: one that turns a request away may ask the host that sent it for
// rest. It binds that host alone, whoever else the endpoint serves meanwhile.
package rest

import (
	"maps"
	"time"

	"balsamknot.org/fleet/endpoint"
)

// Table holds the rests that endpoints asked one host for. It is not safe for concurrent use.
type Table struct {
	until map[endpoint.Instance]time.Time
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{until: make(map[endpoint.Instance]time.Time)} }

// Ask records that an endpoint wants no requests before until. An earlier time does not shorten a rest.
func (t *Table) Ask(instance endpoint.Instance, until time.Time) {
	if until.After(t.until[instance]) {
		t.until[instance] = until
	}
}

// Left returns for how much longer an endpoint wants no requests; 0 if it takes them.
func (t *Table) Left(now time.Time, instance endpoint.Instance) time.Duration {
	until, ok := t.until[instance]
	if !ok {
		return 0
	}
	return max(until.Sub(now), 0)
}

// Len returns the number of rests that are recorded.
func (t *Table) Len() int { return len(t.until) }

// Expire removes the rests that are over.
func (t *Table) Expire(now time.Time) {
	maps.DeleteFunc(t.until, func(_ endpoint.Instance, until time.Time) bool { return !until.After(now) })
}
