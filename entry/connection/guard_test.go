package connection

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"balsamknot.org/fleet/timer"
)

// guardedAnswer is an answer without framing that has begun and is guarded. conns are the connections of its endpoint.
type guardedAnswer struct {
	pool  *Pool
	guard *Guard

	mu    sync.Mutex
	conns []net.Conn
}

func startGuardedAnswer(t *testing.T) *guardedAnswer {
	return startGuardedAnswerBeside(t, beginAnswer)
}

// startGuardedAnswerBeside is startGuardedAnswer at an endpoint that serves the sentinel with sentinel.
func startGuardedAnswerBeside(t *testing.T, sentinel func(s *scriptedServer, conn net.Conn, r *bufio.Reader)) *guardedAnswer {
	a := &guardedAnswer{pool: newPool()}
	t.Cleanup(a.pool.Close)
	keeping := func(serve func(*scriptedServer, net.Conn, *bufio.Reader)) func(*scriptedServer, net.Conn, *bufio.Reader) {
		return func(s *scriptedServer, conn net.Conn, r *bufio.Reader) {
			a.mu.Lock()
			a.conns = append(a.conns, conn)
			a.mu.Unlock()
			serve(s, conn, r)
		}
	}
	s := startScriptedServer(t, keeping(beginAnswer), keeping(sentinel))
	x, err := do(t, a.pool, s, "1")
	require.NoError(t, err)
	t.Cleanup(x.Finish)
	a.guard = x.Guard()
	require.Eventually(t, func() bool { return a.connCount() == 2 && a.guard.State() == GuardOpen }, time.Minute, time.Millisecond)
	return a
}

// beginAnswer reads a request and begins its answer.
func beginAnswer(s *scriptedServer, conn net.Conn, r *bufio.Reader) {
	s.read(r)
	_, _ = io.WriteString(conn, answerStart+"\r\nfirst part")
	_, _ = r.ReadByte()
}

func (a *guardedAnswer) connCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.conns)
}

// endProcess ends all connections in order.
func (a *guardedAnswer) endProcess() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, conn := range a.conns {
		_ = conn.Close()
	}
}

// Guards against ORDER: a sweep between the end of a process and the check of the answer that it cut took away what its guard had seen.
func TestGuardThatEndedWithItsAnswerHasEndedAfterASweep(t *testing.T) {
	t.Parallel()
	a := startGuardedAnswer(t)
	a.endProcess()
	require.Eventually(t, func() bool { return a.guard.State() == GuardEnded }, time.Minute, time.Millisecond)
	a.pool.Sweep()
	require.Equal(t, GuardEnded, a.guard.State())
}

// Guards against ORDER: an answer that came for longer than sentinels stay lost its guard, so that the end of its process made it look complete.
func TestGuardStaysWhileItsAnswerComes(t *testing.T) {
	t.Parallel()
	a := startGuardedAnswer(t)
	a.pool.mu.Lock()
	a.pool.sweepSentinels(timer.BootClock().Add(2 * sentinelLifetime))
	a.pool.mu.Unlock()
	require.Equal(t, GuardOpen, a.guard.State())
}

// Guards against ORDER: a connection to the process after the one that wrote the answer was taken for a sign that the latter goes on.
func TestOnlyConnectionsThatWereThereBeforeTheRequestShowThatItsProcessGoesOn(t *testing.T) {
	t.Parallel()
	begin := func(id string) func(s *scriptedServer, conn net.Conn, r *bufio.Reader) {
		return func(s *scriptedServer, conn net.Conn, r *bufio.Reader) {
			s.beginUnframed(conn, r, id)
			<-t.Context().Done()
		}
	}
	s := startScriptedServer(t, begin("1"), begin("2"))
	p := newPool()
	defer p.Close()
	first, err := do(t, p, s, "1")
	require.NoError(t, err)
	defer first.Abort()
	second, err := do(t, p, s, "2")
	require.NoError(t, err)
	defer second.Abort()
	require.Len(t, first.Witnesses(), 1)
	require.False(t, first.Witnesses()[0].Open())
	require.True(t, second.Witnesses()[0].Open())
}

// Guards against ORDER: for a second after a process was reset that had taken its sentinel, answers of the one after it had no guard.
func TestSentinelThatWasResetAfterAWhileIsReplacedAtOnce(t *testing.T) {
	t.Parallel()
	a := startGuardedAnswer(t)
	s := a.guard.s
	s.mu.Lock()
	s.triedAt = s.triedAt.Add(-sentinelRetryInterval)
	s.mu.Unlock()
	for _, conn := range a.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
	a.endProcess()
	require.Eventually(t, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.failed
	}, time.Minute, time.Millisecond)
	require.True(t, s.replaceable(s.endedAt))
}

// Guards against a leak and against ORDER: a sentinel that is replaced because another process is registered guards its answer until that ends.
func TestSentinelOfTheProcessBeforeStaysUntilItsAnswersHaveEnded(t *testing.T) {
	t.Parallel()
	a := startGuardedAnswer(t)
	address := a.guard.x.conn.address
	a.pool.noteProcess(address, 1)
	a.pool.noteProcess(address, 1)
	require.NotNil(t, a.pool.sentinels[address], "the same process")
	a.pool.noteProcess(address, 2)
	require.Nil(t, a.pool.sentinels[address])
	a.pool.noteProcess(address, 1)
	require.Equal(t, int64(2), a.pool.startedAt[address], "an older registration")
	require.Equal(t, GuardOpen, a.guard.State())
	a.guard.release()
	require.Equal(t, GuardAbsent, a.guard.State(), "closed")
	a.guard.x.guard = nil
}

// ask asks the guard and returns its state once that is no longer GuardOpen.
func (a *guardedAnswer) ask(t *testing.T) GuardState {
	t.Helper()
	a.guard.Ask()
	require.Eventually(t, func() bool { return a.guard.State() != GuardOpen }, time.Minute, time.Millisecond)
	return a.guard.State()
}

// startAnsweringGuard is startGuardedAnswer at an endpoint that answers each question over the sentinel with reply; one that is empty stands for an endpoint
// that does not read them.
func startAnsweringGuard(t *testing.T, reply string) *guardedAnswer {
	return startGuardedAnswerBeside(t, func(_ *scriptedServer, conn net.Conn, r *bufio.Reader) {
		for reply != "" {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			_, _ = io.WriteString(conn, reply)
		}
		<-t.Context().Done()
	})
}

func TestGuardIsAliveOnceItHasAnsweredWhateverItSays(t *testing.T) {
	t.Parallel()
	for _, reply := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 404 Not Found\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
	} {
		require.Equal(t, GuardAlive, startAnsweringGuard(t, reply).ask(t), reply)
	}
}

func TestGuardOfAnEndedProcessHasEndedThoughItIsAsked(t *testing.T) {
	t.Parallel()
	a := startAnsweringGuard(t, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
	a.endProcess()
	require.Equal(t, GuardEnded, a.ask(t))
}

// Guards against MIXED: the kernel resets a connection whose process ended with a question unread, which was taken for an endpoint that takes no further
// connections.
func TestGuardHasEndedIfItIsResetWithAQuestionUnread(t *testing.T) {
	t.Parallel()
	a := startAnsweringGuard(t, "")
	time.Sleep(2 * refusalTime)
	a.guard.Ask()
	time.Sleep(sentinelSettleTime)
	a.endProcess()
	require.Equal(t, GuardEnded, a.ask(t))
}

// Guards against LOST: a sentinel that had gone silent before an answer began guarded it, and all that followed.
func TestSentinelThatIsSilentAtTheBeginOfAnAnswerIsReplaced(t *testing.T) {
	t.Parallel()
	a := startAnsweringGuard(t, "")
	silent := a.guard.s
	go a.pool.testSentinel(a.guard.x.conn.address, silent)
	require.Eventually(t, func() bool {
		a.guard.mu.Lock()
		defer a.guard.mu.Unlock()
		return a.guard.s != silent
	}, time.Minute, time.Millisecond)
	require.NotEqual(t, GuardAlive, a.guard.State())
}

// Guards against LOST: an idle connection that its endpoint had closed counted as one that ended together with the answer, so that sound answers of endpoints
// that keep idle connections for a short time were cut.
func TestIdleConnectionThatItsEndpointClosedInTimeIsNoSignOfItsEnd(t *testing.T) {
	t.Parallel()
	const limit = 60 * time.Millisecond
	p := newPool()
	defer p.Close()
	closeIdle := make(chan struct{})
	over := make(chan struct{})
	defer close(over)
	s := startScriptedServer(t,
		func(s *scriptedServer, conn net.Conn, r *bufio.Reader) {
			s.beginUnframed(conn, r, "id-1")
			<-over
		},
		func(*scriptedServer, net.Conn, *bufio.Reader) { <-closeIdle })
	x, err := do(t, p, s, "id-1")
	require.NoError(t, err)
	defer x.Abort()
	idle, err := x.Connect(t.Context())
	require.NoError(t, err)
	idle.Release()
	ended := func() bool { return x.Witnesses()[0].Ended() }
	close(closeIdle)
	require.Eventually(t, ended, time.Minute, time.Millisecond, "the idle time of the endpoint is not known")
	p.mu.Lock()
	p.sentinels[s.address()] = (*sentinel)(nil).next(time.Time{}, "i-1")
	p.sentinels[s.address()].idleTime.Store(int64(limit))
	p.mu.Unlock()
	time.Sleep(limit)
	require.False(t, ended())
}

// Guards against MIXED: the answer to a question ended the sentinel where the endpoint closes its connections after each answer, so that other answers that still
// came had no guard any more.
func TestAnswerKeepsAGuardThoughTheEndpointClosesTheSentinelAfterAQuestion(t *testing.T) {
	t.Parallel()
	a := startAnsweringGuard(t, "HTTP/1.1 404 Not Found\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
	time.Sleep(minSentinelLife)
	a.guard.mu.Lock()
	first := a.guard.s
	a.guard.mu.Unlock()
	first.ask()
	require.Eventually(t, func() bool {
		first.mu.Lock()
		defer first.mu.Unlock()
		return !first.question.answeredAt.IsZero()
	}, time.Minute, time.Millisecond)
	a.mu.Lock()
	_ = a.conns[1].Close()
	a.mu.Unlock()
	require.Eventually(t, func() bool {
		a.guard.mu.Lock()
		defer a.guard.mu.Unlock()
		return a.guard.s != first
	}, time.Minute, time.Millisecond)
}
