package node

import (
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"balsamknot.org/platform/standin"
)

// silentLink is a TCP proxy in front of an endpoint, whose open connections can go silent: nothing comes over them any more, their ends included.
type silentLink struct {
	listener net.Listener

	mu    sync.Mutex
	conns []*silentConn
}

// silentConn is one connection through a silentLink.
type silentConn struct{ silent atomic.Bool }

func newSilentLink(t *testing.T, target string) *silentLink {
	l := &silentLink{}
	l.listener = listenThrough(t, target, func(caller, server net.Conn) {
		t.Cleanup(func() { _, _ = caller.Close(), server.Close() })
		c := &silentConn{}
		l.mu.Lock()
		l.conns = append(l.conns, c)
		l.mu.Unlock()
		go c.copy(server, caller)
		go c.copy(caller, server)
	})
	return l
}

// copy passes on what comes from one side, and its end.
func (c *silentConn) copy(to, from net.Conn) {
	_, _ = io.Copy(writerFunc(func(p []byte) (int, error) {
		if c.silent.Load() {
			return len(p), nil
		}
		return to.Write(p)
	}), from)
	if !c.silent.Load() {
		_ = to.Close()
	}
}

type writerFunc func(p []byte) (int, error)

func (f writerFunc) Write(p []byte) (int, error) { return f(p) }

// silence lets the open connections go silent.
func (l *silentLink) silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		c.silent.Store(true)
	}
}

// newSilentSite returns a site of an endpoint behind a link, which has answered a request over connections that went silent then.
func newSilentSite(t *testing.T, subnet int, kind answerKind) (*unframedSite, *silentLink) {
	s := newUnframedSite(t, 1, kind.service)
	e := s.endpoints[0]
	link := newSilentLink(t, e.Listener.Addr().String())
	e.RegisterAt(link.listener.Addr().String())
	s.startNodes(1, subnet)
	whole, _ := s.send(kind.path, 1)
	require.Equal(t, 1, whole)
	link.silence()
	s.awaitHalfwayAgain()
	return s, link
}

// idleSilence is a time after which no idle connection from before a silence is used any more.
const idleSilence = 1050 * time.Millisecond

// Guards against MIXED: an answer that the end of its process cut looked complete while the connections that were open before had gone silent.
func TestCutAnswerDoesNotLookCompleteWhileEarlierConnectionsAreSilent(t *testing.T) {
	t.Parallel()
	subnet := 200
	for name, kind := range answerKinds {
		for _, silence := range []time.Duration{0, idleSilence} {
			subnet++
			ownSubnet := subnet
			t.Run(fmt.Sprintf("%s, %s", name, silence), func(t *testing.T) {
				t.Parallel()
				s, link := newSilentSite(t, ownSubnet, kind)
				time.Sleep(silence)
				go func() {
					e := <-s.halfway
					_ = link.listener.Close()
					e.end()
				}()
				_, truncated := s.send(kind.path, 1)
				require.Zero(t, truncated)
			})
		}
	}
}

// Guards against LOST: while earlier connections are silent, answers of sound endpoints are still complete, long ones and short ones.
func TestSoundAnswersAreCompleteWhileEarlierConnectionsAreSilent(t *testing.T) {
	t.Parallel()
	for i, events := range []int{1, 20} {
		t.Run(fmt.Sprintf("%d events", events), func(t *testing.T) {
			t.Parallel()
			s, _ := newSilentSite(t, 213+i, answerKinds["non-idempotent answer"])
			s.events = events
			time.Sleep(idleSilence)
			whole, _ := s.send("/once/x", standin.Slots)
			require.Equal(t, standin.Slots, whole)
		})
	}
}

// Guards against MIXED: the same, where the next process listens at the address at once. A sentinel that is silent at the begin of an answer is replaced while
// the answer comes.
func TestCutAnswerDoesNotLookCompleteWhileEarlierConnectionsAreSilentAndItsAddressListensOn(t *testing.T) {
	t.Parallel()
	s, _ := newSilentSite(t, 219, answerKinds["non-idempotent answer"])
	s.events, s.interval = 40, 50*time.Millisecond
	time.Sleep(idleSilence)
	go func() { (<-s.halfway).replaceAtOnce() }()
	_, truncated := s.send("/once/x", 1)
	require.Zero(t, truncated)
}
