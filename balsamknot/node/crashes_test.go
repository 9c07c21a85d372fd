package node

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"balsamknot.org/fleet/fingerprint"
	"balsamknot.org/fleet/wire"
)

// nextMessage returns the node's next message to a peer.
func (n *Node) nextMessage() *wire.ExchangeMessage {
	n.members.mu.Lock()
	defer n.members.mu.Unlock()
	return n.members.messageLocked(n.timers.Now())
}

// A peer that starts long after a request was blocked learns of it, also if all its crashes were of one engine, and so does one that
// missed that another request ran to its end.
func TestPeerThatStartsLaterLearnsOfCrashesAndCompletions(t *testing.T) {
	t.Parallel()
	n, later := newTestNode(t), newTestNode(t)
	const blocked, innocent = fingerprint.Fingerprint(7), fingerprint.Fingerprint(8)
	longAgo := n.timers.Now().Add(-time.Minute)
	for i := range int64(3) {
		n.crashes.recordCrash(longAgo, blocked, fingerprint.Crash{Engine: "e1", Incarnation: i})
		later.crashes.recordCrash(longAgo, innocent, fingerprint.Crash{Engine: "e2", Incarnation: i})
	}
	n.crashes.recordCrash(longAgo, innocent, fingerprint.Crash{Engine: "e2", Incarnation: 1})
	n.crashes.recordCompletion(innocent)
	require.Equal(t, fingerprint.Blocked, later.crashes.verdict(n.timers.Now(), innocent))
	later.members.receive(n.nextMessage(), true)
	require.Equal(t, fingerprint.Blocked, later.crashes.verdict(n.timers.Now(), blocked))
	require.NotEqual(t, fingerprint.Blocked, later.crashes.verdict(n.timers.Now(), innocent))
}

func TestOnlyASuccessThatMarksItsEndIsACompletion(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		response http.Response
		want     bool
	}{
		"success with a length":    {http.Response{StatusCode: http.StatusOK, ContentLength: 0}, true},
		"success in chunks":        {http.Response{StatusCode: http.StatusOK, ContentLength: -1, TransferEncoding: []string{"chunked"}}, true},
		"success without an end":   {http.Response{StatusCode: http.StatusOK, ContentLength: -1}, false},
		"success of a HEAD":        {http.Response{StatusCode: http.StatusOK, ContentLength: -1, Request: &http.Request{Method: http.MethodHead}}, true},
		"failure of the endpoint":  {http.Response{StatusCode: http.StatusInternalServerError, ContentLength: 0}, false},
		"rejection by an endpoint": {http.Response{StatusCode: http.StatusTooManyRequests, ContentLength: 0}, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			frames := frameWriter{send: func(*wire.Frame) error { return nil }}
			require.NoError(t, frames.writeHead(&c.response))
			require.Equal(t, c.want, frames.succeeded)
		})
	}
}
