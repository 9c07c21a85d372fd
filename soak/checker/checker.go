// Package checker checks the events of a soak run against the guarantees of the system: where, how often and until when a
// request may be executed, and which responses its caller may get. The events are what callers, endpoints and the operator
// observe, exits of the hosts' processes, and the faults that are injected, which suspend some of the time limits.
//
// Violation.Guarantee is one of these names:
//   - UNASKED: an endpoint executes a request that no caller sent, or executes it with another path or without a workspace.
//   - TWICE: a non-idempotent request is executed more than once.
//   - REFUSED: a non-idempotent request that a host refused with status 429 or 503 is executed, before or after the refusal.
//   - KEY: a request is executed whose API key was never valid, or was revoked more than revokeLimit before the request was sent.
//   - DRAIN: a request is executed at an endpoint that had been draining for more than drainLimit when the request was sent, or whose
//     answers had told its host so long before that it leaves.
//   - ROUTE: a request is executed by a service to which its path was never routed.
//   - CONFIG: a request is executed by the previous service of its path, although it was sent more than applyLimit after the
//     change.
//   - WHOLE: a response with status 200 has a wrong body or did not come from an endpoint, an endpoint's response reaches the
//     caller with another status, or a stream, complete or not, has an event twice, without the one before it, or after a later one.
//   - LATE: more than allowedLate requests end, with a response or without one, more than lateTolerance after their deadlines.
//   - GONE: more than allowedOrphaned requests are executed for more than cancelLimit after their callers disconnected.
//   - BUDGET: a request that has crashed poisonCrashes endpoints, or requests with a part of a prompt that has crashed
//     poisonPartCrashes, are executed more than allowedPoisonRetries times after that; or an endpoint that asked a host for rest gets more
//     than allowedInRest requests of it from restGrace later until the end of that time.
//   - LIMIT: from KnowledgeLimit after an endpoint first stated a limit, more than limitFactor times what the limit allows, plus limitSlack
//     requests, reach the endpoint within limitWindow through hosts without faults; or the endpoints of a service fall more often than allowedFalls,
//     plus fallShare of their number, in one time in which they are brittle.
//   - COLD: more than ColdFactor times what an endpoint takes while it is cold, plus ColdSlack, requests reach it within a second then, through any
//     hosts.
//   - ORDER: more than allowedMixed streams hold events of two software versions.
//   - LOST: while requests with such a part are sent, less than half of those that share only its other parts are served; or the share of
//     streams that go on when they are taken up is under half of the share of new streams that are served.
//   - RUNNING: the process of a host exits without being stopped, does not exit after SIGTERM, or does not start.
//   - RECOVER: requests fail, or hosts are not ready, RecoverLimit after the last fault.
//
// An endpoint serves the requests of one service. A workspace is a tenant; its callers identify it by one of its API keys.
// A route maps a path to a service.
package checker

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

// MovedPath is the path of the route whose service changes from one configuration to another.
const MovedPath = "/moved/"

// Time limits of the guarantees, and how often a run may exceed them.
const (
	// revokeLimit is how long after its revocation hosts may still accept a key. It holds for every host, also for one that
	// is suspended or cut off from the store.
	revokeLimit = 5 * time.Second
	// drainLimit is how long hosts may still send requests to a draining endpoint, and applyLimit how long they may use an
	// outdated configuration. These, lateTolerance and cancelLimit are checked only for hosts that had no fault in the last
	// stabilityWindow.
	drainLimit      = 3 * time.Second
	applyLimit      = 3 * time.Second
	stabilityWindow = 4 * time.Second
	// lateTolerance is how long after its deadline a request may go on without a complete response, and cancelLimit how long an
	// endpoint may go on executing a request after its caller disconnected.
	lateTolerance = 500 * time.Millisecond
	cancelLimit   = 500 * time.Millisecond
	// allowedLate and allowedOrphaned are how many requests of a run may exceed lateTolerance and cancelLimit.
	allowedLate     = 7
	allowedOrphaned = 5
	// RecoverLimit is the time after the last fault within which hosts must serve all requests again.
	RecoverLimit = 15 * time.Second
)

// Violation is one observed violation of a guarantee.
type Violation struct {
	At Time
	// Guarantee is the name of the guarantee, such as TWICE. The comment of the package lists them.
	Guarantee string
	Detail    string
}

func (v Violation) String() string {
	return fmt.Sprintf("%s at %.3f s: %s", v.Guarantee, v.At.Seconds(), v.Detail)
}

// Checker keeps the state of a run that its checks need. It is not safe for concurrent use.
type Checker struct {
	requests  map[string]*request
	hosts     map[int]*faultState
	endpoints map[string]*faultState
	// endpointLinks are the links to endpoints, and cold holds the endpoints that are or were cold.
	endpointLinks map[string]*faultState
	cold          map[string]*coldState
	// revokedAt is when each key was revoked, and drainingSince since when each endpoint drains. validKeys are the keys of
	// the current configuration.
	revokedAt     map[string]Time
	validKeys     []string
	drainingSince map[string]Time
	// poisons holds the requests that crash endpoints, by RequestSent.Poison.
	poisons map[string]*poison
	// limits holds the endpoints that state a limit.
	limits     map[string]*limitState
	statements statements
	// movedService is the service of MovedPath since movedSince. allowedMovedServices holds each service that a configuration
	// of this run has had for the path.
	movedService                      string
	movedSince                        Time
	allowedMovedServices              map[string]bool
	lastStall                         Time
	lateResponses, orphanedExecutions []Violation
	violations                        []Violation
	// mixedStreams are the streams that hold events of two versions.
	mixedStreams []Violation
	// lastFailure is when a request with a valid key last had a result other than Served or Left.
	lastFailure Time
	counts      Counts
}

// Counts are the numbers of requests of a run, by result. Served have a status below 300. Refused have status 429, or 503
// from a host; Denied have another status below 500 from a host, and Failed any other status. Cut requests got no
// complete response: the connection ended or the caller stopped waiting. The callers of Left requests disconnected on purpose
// before that. PoisonRuns counts the endpoints that RequestSent.Poison crashed, and PoisonRetries those that the guarantee BUDGET
// limits.
type Counts struct {
	Sent, Served, Denied, Refused, Failed, Cut, Left int
	PoisonRuns, PoisonRetries                        int
	// TakenUp are the streams that callers took up and WentOn those of them that went on, Begun the new streams and Streamed those of them
	// that were served, all through hosts without faults while no endpoint had one.
	TakenUp, WentOn, Begun, Streamed int
	// Limited are the requests on which LIMIT is judged.
	Limited int
	// Cold are the requests on which COLD is judged, and MostCold is the largest number of them within a second at one endpoint.
	Cold, MostCold int
	// Rested are the requests that reached an endpoint in the time for which it had asked their host for rest.
	Rested int
	// SoundBeside are the requests on which LOST is judged.
	SoundBeside int
}

type request struct {
	RequestSent
	sentAt         Time
	executions     int
	statuses       map[int]bool
	refused        bool
	disconnectedAt Time
}

// faultState holds the number of active faults of a host or endpoint and when the last one ended.
type faultState struct {
	active  int
	lastEnd Time
}

// New returns a checker for a new run.
func New() *Checker {
	return &Checker{
		requests: make(map[string]*request), hosts: make(map[int]*faultState), endpoints: make(map[string]*faultState),
		revokedAt: make(map[string]Time), drainingSince: make(map[string]Time), allowedMovedServices: make(map[string]bool),
		poisons: make(map[string]*poison), limits: make(map[string]*limitState), endpointLinks: make(map[string]*faultState), cold: make(map[string]*coldState), statements: newStatements(), lastStall: -stabilityWindow,
	}
}

// Record adds an event that was observed at time now, and checks the guarantees that it concerns.
func (c *Checker) Record(now Time, event Event) {
	switch e := event.(type) {
	case RequestSent:
		c.counts.Sent++
		if e.Poison != "" {
			c.poison(e).lastSent = now
		}
		c.requests[e.Request] = &request{RequestSent: e, sentAt: now, statuses: make(map[int]bool)}
	case RequestArrived:
		c.requestArrived(now, e)
	case LimitChanged:
		c.limitChanged(e)
	case LimitStated:
		c.limitStated(now, e)
	case ExecutionStarted:
		c.executionStarted(now, e)
	case StatusSent:
		c.updateRequest(e.Request, func(r *request) { r.statuses[e.Status] = true })
	case ExecutionEnded:
		c.executionEnded(now, e)
	case RequestCompleted:
		c.requestCompleted(now, e)
	case CallerDisconnected:
		c.counts.Left++
		c.updateRequest(e.Request, func(r *request) { r.disconnectedAt = now })
	case ConfigPublished:
		c.configPublished(now, e)
	case EndpointDraining:
		c.drainingSince[e.Endpoint] = now
	case EndpointReady:
		delete(c.drainingSince, e.Endpoint)
	case ProcessFailed:
		c.addViolation(now, "RUNNING", "host %d: %s", e.Host, e.Reason)
	default:
		c.recordFault(now, event)
		c.recordStatement(now, event)
	}
}

// recordFault records faults and stalls. During these, and for stabilityWindow after them, most time limits do not apply.
func (c *Checker) recordFault(now Time, event Event) {
	switch e := event.(type) {
	case HostFaultStarted:
		startFault(c.hosts, e.Host)
	case HostFaultEnded:
		endFault(c.hosts, e.Host, now)
	case EndpointFaultStarted:
		startFault(c.endpoints, e.Endpoint)
	case EndpointFaultEnded:
		endFault(c.endpoints, e.Endpoint, now)
		c.forgetLimit(e.Endpoint)
	case ColdStarted:
		c.coldStarted(now, e)
	case EndpointLinkFaultStarted:
		startFault(c.endpointLinks, e.Endpoint)
	case EndpointLinkFaultEnded:
		endFault(c.endpointLinks, e.Endpoint, now)
	case HarnessStalled:
		c.lastStall = now
		c.discardSince(e.Since)
	}
}

// discardSince removes the late responses, orphaned executions and violations of timedGuarantees that were recorded during a
// stall of the soak's own process, which started at since. A stall is recorded only after it has ended.
func (c *Checker) discardSince(since Time) {
	duringStall := func(v Violation) bool { return v.At >= since }
	c.lateResponses = slices.DeleteFunc(c.lateResponses, duringStall)
	c.orphanedExecutions = slices.DeleteFunc(c.orphanedExecutions, duringStall)
	c.violations = slices.DeleteFunc(c.violations, func(v Violation) bool { return duringStall(v) && slices.Contains(timedGuarantees, v.Guarantee) })
}

func startFault[K comparable](states map[K]*faultState, target K) {
	if states[target] == nil {
		states[target] = &faultState{}
	}
	states[target].active++
}

func endFault[K comparable](states map[K]*faultState, target K, now Time) {
	states[target].active--
	states[target].lastEnd = now
}

// faultFree reports whether target has no active fault and had none in the span before now.
func faultFree[K comparable](states map[K]*faultState, target K, now, span Time) bool {
	state := states[target]
	return state == nil || state.active == 0 && now-state.lastEnd >= span
}

// hostStable reports whether time limits apply to a host: neither it nor the soak's own process was disturbed in the last
// stabilityWindow.
func (c *Checker) hostStable(now Time, host int) bool {
	return faultFree(c.hosts, host, now, stabilityWindow) && faultFree(c.hosts, AllHosts, now, stabilityWindow) && now-c.lastStall >= stabilityWindow
}

func (c *Checker) updateRequest(id string, update func(*request)) {
	if r := c.requests[id]; r != nil {
		update(r)
	}
}

func (c *Checker) addViolation(now Time, guarantee, format string, args ...any) {
	c.violations = append(c.violations, Violation{At: now, Guarantee: guarantee, Detail: fmt.Sprintf(format, args...)})
}

func (c *Checker) executionStarted(now Time, e ExecutionStarted) {
	r := c.requests[e.Request]
	if r == nil {
		c.addViolation(now, "UNASKED", "endpoint %s executes %q, which no caller sent", e.Endpoint, e.Request)
		return
	}
	r.executions++
	if e.Path != r.Path {
		c.addViolation(now, "UNASKED", "request %s: sent with path %q, executed with path %q", r.Request, r.Path, e.Path)
	}
	if r.Kind == NonIdempotent && r.executions > 1 {
		c.addViolation(now, "TWICE", "request %s is executed again, at %s", r.Request, e.Endpoint)
	}
	if r.Kind == NonIdempotent && r.refused {
		c.addViolation(now, "REFUSED", "request %s was refused, but is executed at %s", r.Request, e.Endpoint)
	}
	c.checkKey(now, e, r)
	c.checkPlacement(now, e, r)
	if r.Poison != "" {
		c.checkPoison(now, e, r)
	}
}

func (c *Checker) checkKey(now Time, e ExecutionStarted, r *request) {
	revokedAt, revoked := c.revokedAt[r.Key]
	switch {
	case e.Workspace == "":
		c.addViolation(now, "UNASKED", "request %s is executed without a workspace", r.Request)
	case revoked && r.sentAt > revokedAt+revokeLimit:
		c.addViolation(now, "KEY", "request %s, sent at %.3f s with a key that was revoked at %.3f s, is executed at %s",
			r.Request, r.sentAt.Seconds(), revokedAt.Seconds(), e.Endpoint)
	case !revoked && !slices.Contains(c.validKeys, r.Key):
		c.addViolation(now, "KEY", "request %s is executed with a key that was never valid", r.Request)
	}
}

func (c *Checker) checkPlacement(now Time, e ExecutionStarted, r *request) {
	if since, draining := c.drainingSince[e.Endpoint]; draining && now > since+drainLimit && r.sentAt > since+drainLimit &&
		c.hostStable(now, r.Host) && faultFree(c.endpoints, e.Endpoint, now, stabilityWindow) {
		c.addViolation(now, "DRAIN", "request %s, sent through host %d, is executed at %s, which has been draining since %.3f s",
			r.Request, r.Host, e.Endpoint, since.Seconds())
	}
	if r.Path != MovedPath {
		return
	}
	if !c.allowedMovedServices[e.Service] {
		c.addViolation(now, "ROUTE", "request %s is executed by service %s, to which the path was never routed", r.Request, e.Service)
	}
	if e.Service != c.movedService && r.sentAt > c.movedSince+applyLimit && c.hostStable(now, r.Host) {
		c.addViolation(now, "CONFIG", "request %s, sent through host %d, is executed by service %s; the path has been routed to %s since %.3f s",
			r.Request, r.Host, e.Service, c.movedService, c.movedSince.Seconds())
	}
}

func (c *Checker) executionEnded(now Time, e ExecutionEnded) {
	r := c.requests[e.Request]
	if r == nil {
		return
	}
	if r.disconnectedAt > 0 && now > r.disconnectedAt+cancelLimit && c.hostStable(now, r.Host) &&
		faultFree(c.endpoints, e.Endpoint, now, stabilityWindow) {
		c.orphanedExecutions = append(c.orphanedExecutions, Violation{now, "GONE", fmt.Sprintf(
			"request %s, whose caller disconnected at %.3f s from host %d, was not cancelled in time at %s",
			r.Request, r.disconnectedAt.Seconds(), r.Host, e.Endpoint)})
	}
}

func (c *Checker) requestCompleted(now Time, e RequestCompleted) {
	r := c.requests[e.Request]
	c.count(now, e)
	c.countSound(now, e, r)
	c.countStream(now, e, r)
	refusal := e.Seal == "" && (e.Status == http.StatusTooManyRequests || e.Status == http.StatusServiceUnavailable)
	switch {
	case e.Defect != "":
		c.addViolation(now, "WHOLE", "request %s through host %d: %s", r.Request, r.Host, e.Defect)
	case e.Seal != "" && !r.statuses[e.Status]:
		c.addViolation(now, "WHOLE", "request %s: status %d, which no endpoint sent", r.Request, e.Status)
	case refusal && r.Kind == NonIdempotent && r.executions > 0:
		c.addViolation(now, "REFUSED", "request %s was executed, but its response has status %d", r.Request, e.Status)
	case refusal:
		r.refused = true
	}
	if now > r.Deadline+lateTolerance && c.hostStable(now, r.Host) {
		c.lateResponses = append(c.lateResponses, Violation{now, "LATE", fmt.Sprintf("request %s through host %d: ended %.0f ms after its deadline, with status %d",
			r.Request, r.Host, float64((now - r.Deadline).Milliseconds()), e.Status)})
	}
}

func (c *Checker) count(now Time, e RequestCompleted) {
	switch {
	case e.Status == 0:
		c.counts.Cut++
	case e.Status < http.StatusMultipleChoices:
		c.counts.Served++
		return
	case e.Seal == "" && e.Status == http.StatusServiceUnavailable, e.Status == http.StatusTooManyRequests:
		c.counts.Refused++
	case e.Seal == "" && e.Status < http.StatusInternalServerError:
		c.counts.Denied++
	default:
		c.counts.Failed++
	}
	if r := c.requests[e.Request]; slices.Contains(c.validKeys, r.Key) {
		c.lastFailure = now
	}
}

func (c *Checker) configPublished(now Time, e ConfigPublished) {
	for _, key := range c.validKeys {
		if !slices.Contains(e.Keys, key) {
			c.revokedAt[key] = now
		}
	}
	c.validKeys = e.Keys
	if e.MovedService != c.movedService {
		c.movedService, c.movedSince = e.MovedService, now
		c.allowedMovedServices[e.MovedService] = true
	}
}

// LastFailure returns when a request with a valid key last had a result other than Served or Left. It is 0 if none
// had.
func (c *Checker) LastFailure() Time { return c.lastFailure }

// Counts returns the numbers of requests so far, by result.
func (c *Checker) Counts() Counts { return c.counts }

// timedGuarantees have time limits that a slow machine can exceed although the hosts work correctly.
var timedGuarantees = []string{"DRAIN", "CONFIG", "BUDGET", "LIMIT", "COLD", "LOST", "RECOVER"}

// Violations returns the violations recorded so far, with late responses (LATE) and orphaned executions (GONE) only if there
// are more than a run may have. If timed is false, it leaves out these and the violations of timedGuarantees.
func (c *Checker) Violations(timed bool) []Violation {
	var all []Violation
	for _, v := range c.violations {
		if timed || !slices.Contains(timedGuarantees, v.Guarantee) {
			all = append(all, v)
		}
	}
	if timed {
		all = append(all, c.lostViolations()...)
		all = append(all, c.lostStreams()...)
	}
	if len(c.mixedStreams) > allowedMixed {
		all = append(all, c.mixedStreams...)
	}
	if timed && len(c.lateResponses) > allowedLate {
		all = append(all, c.lateResponses...)
	}
	if timed && len(c.orphanedExecutions) > allowedOrphaned {
		all = append(all, c.orphanedExecutions...)
	}
	return all
}

// AddUnrecovered records that the system has not recovered RecoverLimit after the last fault.
func (c *Checker) AddUnrecovered(now Time, detail string) {
	c.addViolation(now, "RECOVER", "%s", detail)
}
