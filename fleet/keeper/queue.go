package keeper

import (
	"cmp"
	"slices"
	"time"
)

// fairQueue orders queued requests by priority, and requests of the same priority by weighted fair queueing between
// workspaces.
//
// Source: Goyal, Vin and Cheng, "Start-time Fair Queueing", 1996, with a cost of 1 for every request.
type fairQueue struct {
	items []queuedRequest
	// virtualTime is the highest start tag of the requests that pop returned. It restarts at 0 when pop empties the queue.
	virtualTime float64
	// finishTags holds the finish tag of each workspace's last request.
	finishTags map[string]float64
	// pushes numbers the requests, so that requests with equal priority and start tag stay in order of arrival.
	pushes uint64
}

// queuedRequest is a request with its position in the queue.
type queuedRequest struct {
	request  RequestArrived
	startTag float64
	sequence uint64
	queuedAt time.Time
}

func newFairQueue() *fairQueue {
	return &fairQueue{finishTags: make(map[string]float64)}
}

func (q *fairQueue) len() int { return len(q.items) }

func (q *fairQueue) push(now time.Time, e RequestArrived) {
	startTag := max(q.virtualTime, q.finishTags[e.Workspace])
	q.finishTags[e.Workspace] = startTag + 1/max(1, e.Weight)
	q.pushes++
	item := queuedRequest{request: e, startTag: startTag, sequence: q.pushes, queuedAt: now}
	index, _ := slices.BinarySearchFunc(q.items, item, compareQueued)
	q.items = slices.Insert(q.items, index, item)
}

func (q *fairQueue) first() RequestArrived { return q.items[0].request }

func (q *fairQueue) pop() RequestArrived {
	item := q.items[0]
	q.items = q.items[1:]
	q.virtualTime = max(q.virtualTime, item.startTag)
	if len(q.items) == 0 {
		q.virtualTime = 0
		clear(q.finishTags)
	}
	return item.request
}

func (q *fairQueue) remove(ticket Ticket) {
	q.items = slices.DeleteFunc(q.items, func(item queuedRequest) bool { return item.request.Ticket == ticket })
}

// dropFromLargest removes and returns the last queued request of the workspace with the most queued requests relative to its
// weight. Only requests of the lowest priority in the queue are candidates.
func (q *fairQueue) dropFromLargest() RequestArrived {
	lowestPriority := q.items[len(q.items)-1].request.Priority
	waiting := make(map[string]float64)
	for _, item := range q.items {
		waiting[item.request.Workspace] += 1 / max(1, item.request.Weight)
	}
	drop := len(q.items) - 1
	for i := len(q.items) - 1; i >= 0 && q.items[i].request.Priority == lowestPriority; i-- {
		if waiting[q.items[i].request.Workspace] > waiting[q.items[drop].request.Workspace] {
			drop = i
		}
	}
	request := q.items[drop].request
	q.items = slices.Delete(q.items, drop, drop+1)
	return request
}

// removeExpired removes and returns the requests whose deadline has passed or which have been queued for longer than maxWait
// or their own reuseWait. Exclusive requests are removed at their deadline only.
func (q *fairQueue) removeExpired(now time.Time, maxWait time.Duration) []RequestArrived {
	var removed []RequestArrived
	q.items = slices.DeleteFunc(q.items, func(item queuedRequest) bool {
		limit := maxWait
		if item.request.reuseWait > 0 {
			limit = item.request.reuseWait
		}
		waitExceeded := now.Sub(item.queuedAt) > limit && !item.request.Exclusive
		expired := waitExceeded || !now.Before(item.request.Deadline)
		if expired {
			removed = append(removed, item.request)
		}
		return expired
	})
	return removed
}

// compareQueued orders by descending priority, then by start tag, then by arrival.
func compareQueued(a, b queuedRequest) int {
	return cmp.Or(
		cmp.Compare(b.request.Priority, a.request.Priority),
		cmp.Compare(a.startTag, b.startTag),
		cmp.Compare(a.sequence, b.sequence),
	)
}
