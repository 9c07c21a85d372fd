package checker

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

type timedEvent struct {
	at    Time
	event Event
}

const second = time.Second

func sentEvent(kind Kind, path, key string) RequestSent {
	return RequestSent{Request: "1", Host: 1, Kind: kind, Path: path, Key: key, Deadline: 100 * second}
}

func startedEvent(service, path string) ExecutionStarted {
	return ExecutionStarted{Request: "1", Endpoint: "e", Service: service, Path: path, Workspace: "w"}
}

// Each case lists the events after the first configuration and the guarantee that they violate, empty for none.
func TestLimitIsCheckedOnceHostsMustKnowIt(t *testing.T) {
	t.Parallel()
	run := func(perSecond int, hostFault bool) []Violation {
		c := New()
		c.Record(0, sentEvent(Idempotent, "/x", "k"))
		c.Record(0, LimitChanged{Endpoint: "e", Limited: true, PerSecond: 2})
		c.Record(second, LimitStated{Endpoint: "e"})
		if hostFault {
			c.Record(2*second, HostFaultStarted{1})
		}
		for i := range 10 * perSecond {
			c.Record(second+Time(i)*second/Time(perSecond), RequestArrived{Request: "1", Endpoint: "e"})
		}
		return c.Violations(true)
	}
	require.Empty(t, run(4, false), "16 in 4 s are allowed")
	require.Len(t, run(6, false), 1)
	require.Equal(t, "LIMIT", run(6, false)[0].Guarantee)
	require.Empty(t, run(6, true))
}

func TestDefectOfAResponseThatBrokeOffIsAViolation(t *testing.T) {
	t.Parallel()
	c := New()
	c.Record(0, sentEvent(Resumable, "/x", "k"))
	c.Record(1, RequestCompleted{Request: "1", Defect: "an event comes twice"})
	require.Len(t, c.Violations(false), 1)
	require.Equal(t, "WHOLE", c.Violations(false)[0].Guarantee)
}

func TestStreamsOfTwoVersionsAreCounted(t *testing.T) {
	t.Parallel()
	run := func(mixed int) []Violation {
		c := New()
		for range mixed {
			c.Record(0, sentEvent(Resumable, "/x", "k"))
			c.Record(1, RequestCompleted{Request: "1", Mixed: true})
		}
		return c.Violations(false)
	}
	require.Empty(t, run(allowedMixed))
	require.Len(t, run(allowedMixed+1), allowedMixed+1)
	require.Equal(t, "ORDER", run(allowedMixed + 1)[0].Guarantee)
}

func TestStreamsThatAreTakenUpMustGoOnHalfAsOftenAsNewOnesBegin(t *testing.T) {
	t.Parallel()
	run := func(wentOn int) []Violation {
		c := New()
		c.Record(0, ConfigPublished{Keys: []string{"k"}})
		send := func(takesUp string, status int) {
			e := sentEvent(Resumable, "/x", "k")
			e.TakesUp = takesUp
			c.Record(second, e)
			c.Record(second, StatusSent{"1", "e", status})
			c.Record(second, RequestCompleted{Request: "1", Status: status, Seal: "s"})
		}
		for i := range 2 * minTakenUp {
			send("", 200)
			status := 503
			if i < wentOn {
				status = 200
			}
			send("0", status)
		}
		return c.Violations(true)
	}
	require.Empty(t, run(minTakenUp))
	require.Equal(t, "LOST", run(minTakenUp - 1)[0].Guarantee)
}

func TestCheckerReportsViolatedGuarantee(t *testing.T) {
	t.Parallel()
	initialConfig := timedEvent{0, ConfigPublished{Keys: []string{"k"}, MovedService: "a"}}
	nonIdempotent, idempotent, movedRequest := sentEvent(NonIdempotent, "/x", "k"), sentEvent(Idempotent, "/x", "k"),
		sentEvent(Idempotent, MovedPath, "k")
	started := startedEvent("a", "/x")
	for name, c := range map[string]struct {
		steps []timedEvent
		want  string
	}{
		"non-idempotent request executed once":  {[]timedEvent{{1, nonIdempotent}, {2, started}}, ""},
		"non-idempotent request executed twice": {[]timedEvent{{1, nonIdempotent}, {2, started}, {3, started}}, "TWICE"},
		"idempotent request executed twice":     {[]timedEvent{{1, idempotent}, {2, started}, {3, started}}, ""},
		"refused after execution":               {[]timedEvent{{1, nonIdempotent}, {2, started}, {3, RequestCompleted{Request: "1", Status: 503}}}, "REFUSED"},
		"executed after refusal":                {[]timedEvent{{1, nonIdempotent}, {2, RequestCompleted{Request: "1", Status: 429}}, {3, started}}, "REFUSED"},
		"failed after execution":                {[]timedEvent{{1, nonIdempotent}, {2, started}, {3, RequestCompleted{Request: "1", Status: 502}}}, ""},
		"request that was not sent":             {[]timedEvent{{2, started}}, "UNASKED"},
		"executed with another path":            {[]timedEvent{{1, nonIdempotent}, {2, startedEvent("a", "/y")}}, "UNASKED"},
		"response with wrong body":              {[]timedEvent{{1, nonIdempotent}, {2, started}, {3, RequestCompleted{Request: "1", Status: 200, Seal: "s", Defect: "x"}}}, "WHOLE"},
		"status that no endpoint sent": {[]timedEvent{{1, idempotent}, {2, started}, {3, StatusSent{"1", "e", 500}},
			{4, RequestCompleted{Request: "1", Status: 200, Seal: "s"}}}, "WHOLE"},
		"revoked key within the limit": {[]timedEvent{{second, ConfigPublished{Keys: []string{"l"}}}, {5 * second, idempotent}, {7 * second, started}}, ""},
		"revoked key after the limit, host with a fault": {[]timedEvent{{second, ConfigPublished{Keys: []string{"l"}}}, {2 * second, HostFaultStarted{1}}, {7 * second, idempotent},
			{8 * second, started}}, "KEY"},
		"key that was never valid":           {[]timedEvent{{1, sentEvent(Idempotent, "/x", "z")}, {2, started}}, "KEY"},
		"draining endpoint within the limit": {[]timedEvent{{second, EndpointDraining{"e"}}, {3 * second, idempotent}, {5 * second, started}}, ""},
		"draining endpoint after the limit":  {[]timedEvent{{second, EndpointDraining{"e"}}, {5 * second, idempotent}, {6 * second, started}}, "DRAIN"},
		"draining endpoint after the limit, host with a recent fault": {[]timedEvent{{second, EndpointDraining{"e"}}, {2 * second, HostFaultStarted{1}}, {3 * second, HostFaultEnded{1}}, {5 * second, idempotent},
			{6 * second, started}}, ""},
		"previous service within the limit": {[]timedEvent{{second, ConfigPublished{Keys: []string{"k"}, MovedService: "b"}}, {3 * second, movedRequest}, {5 * second, startedEvent("a", MovedPath)}}, ""},
		"previous service after the limit": {[]timedEvent{{second, ConfigPublished{Keys: []string{"k"}, MovedService: "b"}}, {5 * second, movedRequest},
			{5 * second, startedEvent("a", MovedPath)}}, "CONFIG"},
		"service that was never configured": {[]timedEvent{{second, movedRequest}, {second, startedEvent("c", MovedPath)}}, "ROUTE"},
		"process that exited":               {[]timedEvent{{1, ProcessFailed{1, "exit status 2"}}}, "RUNNING"},
	} {
		checker := New()
		for _, s := range append([]timedEvent{initialConfig}, c.steps...) {
			checker.Record(s.at, s.event)
		}
		violated := ""
		for _, v := range checker.Violations(true) {
			violated = v.Guarantee
		}
		require.Equal(t, c.want, violated, name)
	}
}

// A few late responses, and a few executions that go on after the caller disconnected, are tolerated. If there are more, all are
// reported, unless Violations is called without time limits.
func TestLateResponsesAndOrphanedExecutionsAreReportedAboveAllowance(t *testing.T) {
	t.Parallel()
	for requests, want := range map[int]int{allowedOrphaned: 0, allowedLate + 1: 2 * (allowedLate + 1)} {
		checker := New()
		for i := range requests {
			id := string(rune('a' + i))
			checker.Record(second, RequestSent{Request: id, Kind: Idempotent, Path: "/x", Key: "k", Deadline: 2 * second})
			checker.Record(second, CallerDisconnected{id})
			checker.Record(2*second, ExecutionEnded{id, "e"})
			checker.Record(3*second, RequestCompleted{Request: id, Status: 504})
		}
		require.Len(t, checker.Violations(true), want)
		require.Empty(t, checker.Violations(false))
	}
}

// When the machine stalls, callers of every host get late responses at the same moment, before the soak's process detects the
// stall. These are discarded afterwards; a request that was executed twice meanwhile is still reported.
func TestHarnessStallDiscardsOnlyTimedViolations(t *testing.T) {
	t.Parallel()
	checker := New()
	checker.Record(second, sentEvent(NonIdempotent, "/x", "k"))
	checker.Record(second, ConfigPublished{Keys: []string{"k"}})
	for i := range allowedLate + 1 {
		id := string(rune('a' + i))
		checker.Record(second, RequestSent{Request: id, Kind: Idempotent, Path: "/x", Key: "k", Deadline: 2 * second})
		checker.Record(4*second, RequestCompleted{Request: id, Status: 504})
	}
	checker.Record(4*second, startedEvent("a", "/x"))
	checker.Record(4*second, startedEvent("a", "/x"))
	require.Len(t, checker.Violations(true), allowedLate+2)
	checker.Record(4*second+1, HarnessStalled{Since: 3 * second})
	require.Len(t, checker.Violations(true), 1)
	require.Equal(t, "TWICE", checker.Violations(true)[0].Guarantee)
}

// A request crashes each endpoint that executes it. Copies sent within the limit after its third crash do not count, and neither do
// those of a host with a fault.
func TestCheckerLimitsRetriesOfRequestThatCrashesEndpoints(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		gap   time.Duration
		fault bool
		want  int
	}{
		"within the limit":  {100 * time.Millisecond, false, 0},
		"after the limit":   {2 * second, false, 1},
		"host with a fault": {2 * second, true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			checker := New()
			checker.Record(0, ConfigPublished{Keys: []string{"k"}, MovedService: "a"})
			if c.fault {
				checker.Record(0, HostFaultStarted{1})
			}
			const copies = poisonCrashes + 1 + allowedPoisonRetries + 1
			for i := range copies {
				id, at := fmt.Sprint(i), time.Duration(i)*c.gap+5*second
				checker.Record(at, RequestSent{Request: id, Host: 1, Kind: NonIdempotent, Path: "/x", Key: "k", Poison: "p"})
				checker.Record(at, ExecutionStarted{Request: id, Endpoint: "e", Service: "a", Path: "/x", Workspace: "w"})
			}
			require.Len(t, checker.Violations(true), c.want)
		})
	}
}

// Requests with a part of a prompt that crashes engines are sent for a while, and others that share only its first part.
func TestPartThatCrashesEnginesIsJudgedAfterItsFifthCrash(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		crashes int
		served  int
		want    string
	}{
		"blocked, others served":     {poisonPartCrashes, minSound, ""},
		"a few more":                 {poisonPartCrashes + allowedPoisonRetries, minSound, ""},
		"too many more":              {poisonPartCrashes + allowedPoisonRetries + 1, minSound, "BUDGET"},
		"half of the others refused": {poisonPartCrashes, minSound / 2, ""},
		"most others refused":        {poisonPartCrashes, minSound/2 - 1, "LOST"},
	} {
		checker := New()
		checker.Record(0, ConfigPublished{Keys: []string{"k"}, MovedService: "a"})
		sent := RequestSent{Host: 1, Kind: Resumable, Path: "/x", Key: "k", Deadline: 1000 * second, Poison: "bad", PoisonPart: true}
		at := 5 * second
		for i := range c.crashes {
			if i >= poisonPartCrashes {
				at += 2 * KnowledgeLimit
			}
			sent.Request = fmt.Sprint(i)
			checker.Record(at, sent)
			checker.Record(at, ExecutionStarted{Request: sent.Request, Endpoint: "e", Service: "a", Path: "/x", Workspace: "w"})
		}
		at += 3 * KnowledgeLimit
		sent.Request = "refused"
		checker.Record(at, sent)
		for i := range minSound {
			id, status := fmt.Sprint("sound", i), 503
			if i < c.served {
				status = 200
			}
			checker.Record(at, RequestSent{Request: id, Host: 1, Kind: Resumable, Path: "/x", Key: "k", Deadline: 1000 * second, SharesPart: true})
			checker.Record(at, StatusSent{id, "e", status})
			checker.Record(at, RequestCompleted{Request: id, Status: status})
		}
		violated := ""
		for _, v := range checker.Violations(true) {
			violated = v.Guarantee
		}
		require.Equal(t, c.want, violated, name)
		require.Equal(t, minSound, checker.Counts().SoundBeside, name)
	}
}
