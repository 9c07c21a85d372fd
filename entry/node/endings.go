package node

import (
	"github.com/rs/zerolog"

	"balsamknot.org/balsamknot/event"
	"balsamknot.org/entry/connection"
	"balsamknot.org/fleet/answer"
)

// recordUnmarkedEnd logs and counts an answer that only the end of its connection ended, with what the other connections to the endpoint
// show at that time.
func (n *Node) recordUnmarkedEnd(q *request, x *connection.Exchange) {
	if answer.EndMarked(x.Response) {
		return
	}
	open, ended := x.Witnesses().Count()
	q.logEvent(n.log, zerolog.InfoLevel, event.EndChecked).Str("Endpoint", string(q.endpoint)).Int("Open", open).Int("Ended", ended).
		Str("Verdict", "complete").Send()
	n.meter.recordUnmarkedEnd()
}
