package node

import (
	"errors"
	"net/http"

	"balsamknot.org/fleet/memory"
	"balsamknot.org/fleet/timer"
)

// errNoStreamMemory means that there is no memory for another streamed answer.
var errNoStreamMemory = errors.New("no memory for a streamed answer")

// takeStream takes the memory for an answer that is passed on as it arrives. If there is none, it refuses the request and returns false.
func (c *callerHandler) takeStream(q *request) bool {
	if !q.route.Streaming {
		return true
	}
	claim := memory.Claim{Kind: memory.Stream, Workspace: q.workspace, Bytes: streamBytes}
	if !c.n.memory.takeOrWait(q.r.Context(), claim, false, q.deadline) {
		c.refuseUnread(q, errNoStreamMemory, http.StatusServiceUnavailable, memoryRetryAfter)
		return false
	}
	q.stream = claim
	return true
}

// reserveEvent takes memory for a large event of a stream, until the end of the request. It returns false if there is none.
func (n *Node) reserveEvent(q *request, size memory.Bytes) bool {
	if !n.memory.take(timer.BootClock(), memory.Claim{Kind: memory.Stream, Workspace: q.workspace, Bytes: size}) {
		return false
	}
	q.stream.Bytes += size
	return true
}

// releaseMemory returns what the request has taken.
func (c *callerHandler) releaseMemory(q *request) {
	q.dropBody()
	if q.stream.Bytes > 0 {
		c.n.memory.release(q.stream)
	}
}
