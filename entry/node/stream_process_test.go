package node

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"balsamknot.org/entry/connection"
	"balsamknot.org/fleet/endpoint"
	"balsamknot.org/fleet/pool"
	"balsamknot.org/fleet/site"
	"balsamknot.org/fleet/timer"
	"balsamknot.org/platform/standin"
)

// takenUpWhereReports begins streams at a site of two versions whose engines answer calls for their reports with report, and takes the streams
// up again. It returns the site and how many began and went on.
func takenUpWhereReports(t *testing.T, subnet int, report http.HandlerFunc) (s *versionSite, began, wentOn int) {
	const streams = 30
	s = newSessionSite(t, standin.DefaultVersion, secondVersion)
	for _, e := range s.engines {
		e.AnswerReports(report)
	}
	s.startNodes(3, subnet)
	names := s.beginStreams(streams)
	require.LessOrEqual(t, s.reportCount(), s.dials(), "asked more than once over a connection")
	return s, len(names), s.takeUpStreams(names)
}

// reportCount returns how many reports the engines of a site were asked for.
func (s *versionSite) reportCount() int {
	count := 0
	for _, e := range s.engines {
		count += e.ReportCount()
	}
	return count
}

// dials returns how many connections the nodes of a site opened to endpoints.
func (s *testSite) dials() int {
	dials := int64(0)
	for _, n := range s.nodes {
		dials += n.endpointConns.Dials()
	}
	return int(dials)
}

// Guards against LOST: streams did not go on at engines that do not support reports.
func TestStreamsGoOnAtEnginesWithoutReports(t *testing.T) {
	t.Parallel()
	s, began, wentOn := takenUpWhereReports(t, 157, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotFound) })
	require.Equal(t, began, wentOn)
	require.LessOrEqual(t, s.mixed(), allowedMixed)
}

// Guards against LATE and LOST: a request waited for a silent engine's report until its caller had given up.
func TestStreamsGoOnThoughReportsDoNotCome(t *testing.T) {
	t.Parallel()
	s, began, wentOn := takenUpWhereReports(t, 158, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	require.Equal(t, began, wentOn)
	require.LessOrEqual(t, s.mixed(), allowedMixed)
}

// Guards against cost: an engine was asked more than once over a connection.
func TestOneReportAConnectionIsAskedFor(t *testing.T) {
	t.Parallel()
	s, began, wentOn := takenUpWhereReports(t, 159, nil)
	require.Equal(t, began, wentOn)
	require.NotZero(t, s.reportCount())
	require.LessOrEqual(t, s.reportCount(), s.dials())
}

// Guards against cost: engines that run something were asked for new streams, which are not bound there.
func TestNewStreamsAtBusyEnginesAskForNoReport(t *testing.T) {
	t.Parallel()
	const streams = 30
	s := newSessionSite(t, standin.DefaultVersion, secondVersion)
	s.startNodes(3, 169)
	for i := range len(s.engines) {
		_, leave := s.open(s.nodes[0], fmt.Sprint("held-", i))
		defer leave()
	}
	s.mu.Lock()
	require.NotEqual(t, s.began["held-0"], s.began["held-1"], "each engine runs one")
	s.mu.Unlock()
	asked := s.reportCount()
	require.Len(t, s.beginStreams(streams), streams)
	require.Equal(t, asked, s.reportCount())
}

// Guards against cost: plain services, which have no reports, and requests that are not bound were asked for.
func TestOnlyRequestsThatGoOnWithAStreamOfAnEngineAreBoundToAProcess(t *testing.T) {
	t.Parallel()
	s := newVersionSite(t, false, standin.DefaultVersion)
	s.startNodes(1, 160)
	set := &site.Set{Services: map[site.ServiceName]site.Service{"engines": {Engine: &site.Engine{}}, "plain": {}}}
	now, record := timer.BootClock(), endpoint.Record{Instance: endpoint.Instance{ID: "i-1", StartedAt: 1}}
	grant := pool.Grant{Endpoint: record, Decision: pool.Decision{Running: 1}}
	bound := func(q *request) connection.Process {
		q.set, q.route = set, &site.Route{RetryMode: site.Resumable}
		return s.nodes[0].boundProcess(now, q, grant)
	}
	require.True(t, bound(&request{service: "engines"}).IfEnded, "a new stream")
	require.Equal(t, connection.Process{}, bound(&request{service: "plain", version: standin.DefaultVersion}))
	process := bound(&request{service: "engines", version: standin.DefaultVersion})
	require.Equal(t, record.Instance, process.Instance)
	require.False(t, process.IfEnded)
	require.False(t, process.KnownBefore.After(now.Add(-registrationDelay)))
	grant.Decision.Suspect = true
	require.False(t, bound(&request{service: "engines"}).IfEnded, "a new stream at an endpoint that failed")
	grant.Decision = pool.Decision{}
	require.False(t, bound(&request{service: "engines"}).IfEnded, "a new stream at an endpoint that ran nothing")
	require.Equal(t, connection.Process{}, bound(&request{service: "plain"}))
}

// Guards against ORDER: a stream that began in a process which had taken an engine's place, and was not registered yet, was recorded with the version of the
// process before.
func TestStreamsDoNotBeginInAProcessThatIsNotRegisteredYet(t *testing.T) {
	t.Parallel()
	beginAfterReplacement(t, 161, func(*versionSite, *replaceable) {})
}

// Guards against ORDER: the same where the engine ran nothing and no host was connected to it, so that none saw the process before end (review/10).
func TestStreamsDoNotBeginInAProcessThatTookTheirIdleEnginesPlace(t *testing.T) {
	t.Parallel()
	beginAfterReplacement(t, 168, func(s *versionSite, replaced *replaceable) {
		for _, n := range s.nodes {
			n.endpointConns.DropIdle(replaced.Listener.Addr().String())
		}
	})
}

// beginAfterReplacement begins streams after an engine was replaced by one of another version that is not registered yet, and lets them go on after
// that is. prepare is called before the replacement.
func beginAfterReplacement(t *testing.T, subnet int, prepare func(*versionSite, *replaceable)) {
	const streams = 40
	s := newSessionSite(t, standin.DefaultVersion)
	replaced := s.addReplaceable()
	s.startNodes(3, subnet)
	s.takeUpStreams(s.beginStreams(streams))
	prepare(s, replaced)
	replaced.version.Store(secondVersion)
	replaced.SetVersion(secondVersion)
	replaced.Crash()
	require.NoError(t, replaced.ListenAgainAs("i-replaced"))
	var names []string
	for i := range streams {
		if name := fmt.Sprintf("late-%d", i); s.begin(s.nodes[i%len(s.nodes)], name) {
			names = append(names, name)
		}
	}
	replaced.RegisterReady()
	s.awaitChangesInUse()
	wentOn := s.takeUpStreams(names)
	t.Logf("%d of %d streams went on, %d at another version", wentOn, len(names), s.mixed())
	require.LessOrEqual(t, s.mixed(), allowedMixed)
	require.Greater(t, wentOn, streams/2)
}
