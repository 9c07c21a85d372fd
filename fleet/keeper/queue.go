package keeper

import (
	"cmp"
	"slices"
	"time"
)

// fairQueue orders waiting requests by priority and, within one, by weighted fair sharing between workspaces.
//
// Source: Goyal, Vin and Cheng, "Start-time Fair Queueing", 1996, with every request of cost 1.
type fairQueue struct {
	items   []queued
	virtual float64
	finish  map[string]float64
	arrived uint64
}

type queued struct {
	request RequestArrived
	start   float64
	order   uint64
	since   time.Time
}

func newFairQueue() *fairQueue {
	return &fairQueue{finish: make(map[string]float64)}
}

func (q *fairQueue) len() int { return len(q.items) }

func (q *fairQueue) push(now time.Time, e RequestArrived) {
	start := max(q.virtual, q.finish[e.Workspace])
	q.finish[e.Workspace] = start + 1/max(1, e.Weight)
	q.arrived++
	item := queued{request: e, start: start, order: q.arrived, since: now}
	at, _ := slices.BinarySearchFunc(q.items, item, earlier)
	q.items = slices.Insert(q.items, at, item)
}

func (q *fairQueue) first() RequestArrived { return q.items[0].request }

func (q *fairQueue) pop() RequestArrived {
	item := q.items[0]
	q.items = q.items[1:]
	q.virtual = max(q.virtual, item.start)
	if len(q.items) == 0 {
		q.virtual = 0
		clear(q.finish)
	}
	return item.request
}

func (q *fairQueue) remove(ticket Ticket) {
	q.items = slices.DeleteFunc(q.items, func(item queued) bool { return item.request.Ticket == ticket })
}

// dropLargest removes the last request of the workspace that has most waiting for its weight,
// among those of the lowest priority.
func (q *fairQueue) dropLargest() RequestArrived {
	lowest := q.items[len(q.items)-1].request.Priority
	waiting := make(map[string]float64)
	for _, item := range q.items {
		waiting[item.request.Workspace] += 1 / max(1, item.request.Weight)
	}
	drop := len(q.items) - 1
	for i := len(q.items) - 1; i >= 0 && q.items[i].request.Priority == lowest; i-- {
		if waiting[q.items[i].request.Workspace] > waiting[q.items[drop].request.Workspace] {
			drop = i
		}
	}
	request := q.items[drop].request
	q.items = slices.Delete(q.items, drop, drop+1)
	return request
}

// expired removes and returns the requests that waited too long.
func (q *fairQueue) expired(now time.Time, wait time.Duration) []RequestArrived {
	var gone []RequestArrived
	q.items = slices.DeleteFunc(q.items, func(item queued) bool {
		limit := wait
		if item.request.patience > 0 {
			limit = item.request.patience
		}
		impatient := now.Sub(item.since) > limit && !item.request.Alone
		late := impatient || !now.Before(item.request.Deadline)
		if late {
			gone = append(gone, item.request)
		}
		return late
	})
	return gone
}

func earlier(a, b queued) int {
	return cmp.Or(
		cmp.Compare(b.request.Priority, a.request.Priority),
		cmp.Compare(a.start, b.start),
		cmp.Compare(a.order, b.order),
	)
}
