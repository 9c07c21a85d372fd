package connection

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"balsamknot.org/fleet/endpoint"
	"balsamknot.org/fleet/timer"
	"balsamknot.org/platform/standin"
)

// registeredStart is the start time of the process that requests of these tests are bound to.
const registeredStart = 7

// reportingServer is an endpoint that answers calls for its report with report, and counts them and the requests that it ran.
type reportingServer struct {
	*httptest.Server
	report        atomic.Pointer[http.HandlerFunc]
	reports, runs atomic.Int64
}

func startReportingServer(t *testing.T, report http.HandlerFunc) *reportingServer {
	s := &reportingServer{}
	s.report.Store(&report)
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == standin.ReportPath {
			s.reports.Add(1)
			(*s.report.Load())(w, r)
			return
		}
		s.runs.Add(1)
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set(standin.RequestIDHeader, r.Header.Get(standin.RequestIDHeader))
		_, _ = io.WriteString(w, "answer")
	}))
	t.Cleanup(s.Close)
	return s
}

// startedAt returns a handler that reports a start time.
func startedAt(start int64) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(standin.Report(start)) }
}

// status returns a handler that answers with a status.
func status(code int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(code) }
}

// silent answers nothing until the other side gives up.
func silent(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

// doBound sends a request that is bound to the process of registeredStart; no connection is older than the registration.
func (s *reportingServer) doBound(p *Pool, id string) (*Exchange, error) {
	r := request(id)
	r.Process = Process{Instance: endpoint.Instance{ID: "i-1", StartedAt: registeredStart}}
	return p.Do(context.Background(), s.Listener.Addr().String(), r, time.Now().Add(10*time.Second))
}

// Guards against ORDER: a request that is bound to a process was sent to the one that took its place.
func TestBoundRequestIsNotSentToAnotherProcess(t *testing.T) {
	t.Parallel()
	for name, report := range map[string]http.HandlerFunc{
		"that started later": startedAt(registeredStart + 1),
		"of another ID":      status(http.StatusMisdirectedRequest),
		"that then hangs up": func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Connection", "close")
			startedAt(registeredStart+1)(w, r)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startReportingServer(t, report)
			p, before := newPool(), timer.BootClock()
			defer p.Close()
			_, err := s.doBound(p, "1")
			require.ErrorIs(t, err, ErrOtherProcess)
			require.ErrorIs(t, err, ErrNotSent)
			require.Zero(t, s.runs.Load())
			require.True(t, p.EndedSince(s.Listener.Addr().String(), before), "the registered process has ended")
			require.Empty(t, p.idle)
			require.Empty(t, p.inUse)
		})
	}
}

// Guards against LOST: endpoints that do not say which process they are, or not in time, got no request that is bound to one.
func TestBoundRequestIsSentWhereNoReportTells(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		report http.HandlerFunc
		want   ReportResult
	}{
		"without support": {status(http.StatusNotFound), ReportAbsent},
		"without a start": {func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, `{"stage":"both"}`) }, ReportAbsent},
		"silent":          {silent, ReportLost},
		"breaks off":      {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, ReportLost},
		"too long": {func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, strings.Repeat(" ", maxReportBytes))
		}, ReportLost},
		"of another request": {otherRequestsAnswer, ReportLost},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startReportingServer(t, c.report)
			p := newPool()
			defer p.Close()
			results := make(chan ReportResult, maxReports)
			p.cfg.OnReport = func(_ string, result ReportResult, _ error) { results <- result }
			x, err := s.doBound(p, "1")
			require.NoError(t, err)
			require.Equal(t, "answer", readBody(t, x))
			require.False(t, x.Confirmed())
			require.Equal(t, c.want, <-results)
			require.LessOrEqual(t, s.reports.Load(), int64(maxReports))
		})
	}
}

func otherRequestsAnswer(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(standin.RequestIDHeader, "0")
	startedAt(registeredStart)(w, r)
}

// Guards against cost: reports that nothing needs.
func TestReportIsAskedForOnceOverAConnectionAndOnlyIfNeeded(t *testing.T) {
	t.Parallel()
	s := startReportingServer(t, startedAt(registeredStart))
	p := newPool()
	defer p.Close()
	send := func(process Process) {
		r := request("1")
		r.Process = process
		x, err := p.Do(context.Background(), s.Listener.Addr().String(), r, time.Now().Add(10*time.Second))
		require.NoError(t, err)
		readBody(t, x)
	}
	registered := endpoint.Instance{ID: "i-1", StartedAt: registeredStart}
	send(Process{})
	send(Process{Instance: endpoint.Instance{ID: "i-1"}})
	require.Zero(t, s.reports.Load(), "not bound, or without a known start")
	send(Process{Instance: registered, KnownBefore: time.Now().Add(time.Hour)})
	require.Zero(t, s.reports.Load(), "over an old connection")
	send(Process{Instance: registered, IfEnded: true})
	require.Zero(t, s.reports.Load(), "over a young connection to an endpoint that has ended none")
	send(Process{Instance: registered})
	send(Process{Instance: registered})
	require.EqualValues(t, 1, s.reports.Load(), "once over a connection")
	require.EqualValues(t, 1, p.Dials())
}

// Guards against ORDER: what was learnt over a connection was not compared with the registration of a later request.
func TestConnectionToAProcessThatIsNoLongerTheRegisteredOneIsClosed(t *testing.T) {
	t.Parallel()
	s := startReportingServer(t, startedAt(registeredStart))
	p := newPool()
	defer p.Close()
	x, err := s.doBound(p, "1")
	require.NoError(t, err)
	readBody(t, x)
	require.True(t, x.Confirmed())
	r := request("2")
	r.Process = Process{Instance: endpoint.Instance{ID: "i-1", StartedAt: registeredStart + 1}, KnownBefore: time.Now().Add(time.Hour)}
	_, err = p.Do(context.Background(), s.Listener.Addr().String(), r, time.Now().Add(10*time.Second))
	require.ErrorIs(t, err, ErrOtherProcess)
}

// Guards against ORDER: connections from before another process was found were used again.
func TestConnectionsToAnAddressWithAnotherProcessAreNotUsedAgain(t *testing.T) {
	t.Parallel()
	s := startReportingServer(t, startedAt(registeredStart+1))
	p := newPool()
	defer p.Close()
	address := s.Listener.Addr().String()
	var exchanges []*Exchange
	for _, id := range []string{"1", "2", "3"} {
		x, err := p.Do(context.Background(), address, request(id), time.Now().Add(10*time.Second))
		require.NoError(t, err)
		exchanges = append(exchanges, x)
	}
	readBody(t, exchanges[0])
	readBody(t, exchanges[1])
	require.Len(t, p.idle[address], 2)
	_, err := s.doBound(p, "4")
	require.ErrorIs(t, err, ErrOtherProcess)
	require.Empty(t, p.idle)
	readBody(t, exchanges[2])
	require.Empty(t, p.idle, "the connection that was in use")
}
