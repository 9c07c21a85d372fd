package site

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"balsamknot.org/fleet/timer"
	"balsamknot.org/platform/standin"
	"balsamknot.org/soak/checker"
	"balsamknot.org/soak/schedule"
	"balsamknot.org/standin/network"
)

// endpoint is a stand-in for an endpoint, which hosts reach through a link. Its responses are determined by the request's id,
// so that callers can check them.
type endpoint struct {
	*standin.Endpoint
	site    *Site
	name    string
	service string
	link    *network.Link
	// version is the software version of the endpoint, which its events name.
	version atomic.Value
	// misbehaviour is a schedule.Misbehaviour, or 0 if the endpoint responds correctly.
	misbehaviour atomic.Int64
	// cacheListDelay is the time.Duration by which cache lists come late.
	cacheListDelay atomic.Int64

	mu sync.Mutex
	// runCtx is cancelled by a crash and ends all requests that are being executed. A restart uses a new one.
	runCtx    context.Context
	cancelRun context.CancelFunc
	// drainFaults is the number of active faults that keep the endpoint from being registered as ready.
	drainFaults int
	// limits holds the limits of the active faults that make the endpoint state one. It states the last of them.
	limits    []float64
	statement statement
	// crashFaults is the number of active faults that keep the endpoint from listening, and restarts how often it has
	// restarted.
	crashFaults, restarts int
	closed                bool
}

const (
	// eventInterval is the time between two events of a stream. Other requests take serviceTime, or longServiceTime if the
	// length of their id is a multiple of longServiceEvery.
	eventInterval    = 5 * time.Millisecond
	serviceTime      = 15 * time.Millisecond
	longServiceTime  = time.Second
	longServiceEvery = 30
)

func (s *Site) newEndpoint(name, service, version string) (*endpoint, error) {
	e := &endpoint{site: s, name: name, service: service}
	e.version.Store(version)
	e.runCtx, e.cancelRun = context.WithCancel(context.Background())
	e.Endpoint = standin.NewEndpoint(s.store, name, service, e.serve)
	// An endpoint that is back after a crash listens where it did before. At 127.0.0.1 another connection may have that port by then.
	link, err := network.NewLinkAt(s.address(endpointKind, len(s.endpoints))+":0", e.Listener.Addr().String())
	if err != nil {
		return nil, err
	}
	e.link = link
	e.RegisterAt(link.Address())
	e.CachePrompts()
	e.BeforeCacheLists(e.delayCacheList)
	e.RegisterVersion(version)
	return e, nil
}

func (e *endpoint) close() {
	e.crash()
	e.mu.Lock()
	e.closed = true
	e.mu.Unlock()
	e.link.Close()
	e.CloseClientConnections()
	e.Close()
}

// currentVersion returns the software version of the endpoint, and setVersion changes it for what it registers and sends from now on.
func (e *endpoint) currentVersion() string { return e.version.Load().(string) }

func (e *endpoint) setVersion(version string) {
	e.version.Store(version)
	e.SetVersion(version)
}

// crash closes the listener and all connections and aborts all requests that are being executed, until restart is called as often.
// It does not change the registration.
func (e *endpoint) crash() { e.stop(e.link.Refuse) }

// end is crash with connections that end in order, as the kernel ends those of a process.
func (e *endpoint) end() { e.stop(e.link.End) }

// stop ends the endpoint's connections, by disconnect, and all requests that are being executed.
func (e *endpoint) stop(disconnect func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashFaults++
	disconnect()
	e.cancelRun()
	e.runCtx, e.cancelRun = context.WithCancel(context.Background())
}

// startDraining calls unregister, which withdraws the endpoint's registration as ready. The returned function registers the
// endpoint as ready again, unless another fault still prevents that.
func (e *endpoint) startDraining(unregister func()) (end func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.drainFaults++
	unregister()
	e.site.record(checker.EndpointDraining{Endpoint: e.name})
	return func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.drainFaults--; e.drainFaults == 0 {
			e.site.record(checker.EndpointReady{Endpoint: e.name})
			e.RegisterReady()
		}
	}
}

// startLimit makes the endpoint state a limit until the returned function is called.
func (e *endpoint) startLimit(perSecond float64) (end func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.limits = append(e.limits, perSecond)
	e.site.record(checker.LimitChanged{Endpoint: e.name, Limited: true, PerSecond: perSecond})
	return func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.limits = slices.DeleteFunc(e.limits, func(limit float64) bool { return limit == perSecond })
		changed := checker.LimitChanged{Endpoint: e.name}
		if len(e.limits) > 0 {
			changed.Limited, changed.PerSecond = true, e.limits[len(e.limits)-1]
		}
		e.site.record(changed)
	}
}

// stateLimit adds the endpoint's limit, if it has one, to the head of an answer.
func (e *endpoint) stateLimit(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.limits) == 0 {
		return
	}
	w.Header().Set(standin.LimitHeader, strconv.FormatFloat(e.limits[len(e.limits)-1], 'f', 3, 64))
	e.site.record(checker.LimitStated{Endpoint: e.name})
}

// restart ends a crash. The endpoint listens again with a new start time and an empty cache, every other time under a new id, and is registered
// as ready unless another fault prevents that.
func (e *endpoint) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crashFaults--; e.crashFaults > 0 || e.closed {
		return
	}
	if err := e.link.Listen(); err != nil {
		e.site.record(checker.ProcessFailed{Host: checker.AllHosts, Reason: err.Error()})
		return
	}
	e.Restart()
	e.turnCold(coldTime)
	e.SetCachedParts()
	if e.restarts++; e.restarts%2 == 0 {
		e.Deregister()
		e.Rename(fmt.Sprintf("%s-%d", e.name, e.restarts))
	}
	if e.drainFaults == 0 {
		e.RegisterReady()
	}
}

// serve executes a request, or misbehaves as e.misbehaviour requires.
func (e *endpoint) serve(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	runCtx := e.runCtx
	e.mu.Unlock()
	e.site.record(checker.RequestArrived{Request: r.Header.Get(standin.RequestIDHeader), Endpoint: e.name})
	e.stateLimit(w)
	runs, ran := e.state(w, r)
	if !runs {
		standin.RejectNotRun(w, r)
		return
	}
	defer ran()
	misbehaviour := schedule.Misbehaviour(e.misbehaviour.Load())
	if misbehaviour == schedule.RefuseRequest {
		standin.RejectNotRun(w, r)
		return
	}
	// The body is read first, because net/http detects that the other side disconnected only after the body has been read.
	requestBody, _ := io.ReadAll(r.Body)
	id := r.Header.Get(standin.RequestIDHeader)
	e.site.record(checker.ExecutionStarted{Request: id, Endpoint: e.name, Service: e.service, Path: r.URL.Path, Workspace: r.Header.Get(standin.WorkspaceHeader)})
	defer e.site.record(checker.ExecutionEnded{Request: id, Endpoint: e.name})
	e.crashIfPoisoned(w, r, requestBody)
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(runCtx, cancel)()
	switch misbehaviour {
	case schedule.RefuseRequest, schedule.TruncateResponse, schedule.UnframedStream, schedule.EndInsideEvent,
		schedule.CommentEvent, schedule.EmptyEventID, schedule.RepeatStream, schedule.RepeatEvent, schedule.SkipEvent:
		// RefuseRequest was handled above, and the others are handled below, while the response is written.
	case schedule.AbortBeforeResponse:
		panic(http.ErrAbortHandler)
	case schedule.NeverRespond:
		<-ctx.Done()
		panic(http.ErrAbortHandler)
	case schedule.EndlessHead:
		e.site.record(checker.StatusSent{Request: id, Endpoint: e.name, Status: http.StatusOK})
		sendEndlessly(ctx, w, "HTTP/1.1 200 ")
	case schedule.EndlessBody:
		e.site.record(checker.StatusSent{Request: id, Endpoint: e.name, Status: http.StatusOK})
		sendEndlessly(ctx, w, "HTTP/1.1 200 OK\r\n"+standin.RequestIDHeader+": "+id+"\r\n\r\n")
	case schedule.MismatchRequestID:
		w.Header().Set(standin.RequestIDHeader, id+"-other")
	case schedule.FailRequest:
		e.site.record(checker.StatusSent{Request: id, Endpoint: e.name, Status: http.StatusInternalServerError})
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	e.site.record(checker.StatusSent{Request: id, Endpoint: e.name, Status: http.StatusOK})
	if e.service == enginesService {
		e.serveStream(ctx, w, r, cmp.Or(r.Header.Get(standin.ResumesHeader), id), misbehaviour)
		return
	}
	duration := serviceTime
	if len(id)%longServiceEvery == 0 {
		duration = longServiceTime
	}
	if !timer.Sleep(ctx, duration) {
		panic(http.ErrAbortHandler)
	}
	body := plainBody(id)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if misbehaviour == schedule.TruncateResponse {
		_, _ = io.WriteString(w, body[:len(body)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, body)
}

// crashIfPoisoned crashes the endpoint, and does not return, if the request or a part of its prompt does that. A part does so after the
// first event of the answer.
func (e *endpoint) crashIfPoisoned(w http.ResponseWriter, r *http.Request, requestBody []byte) {
	downtime := rand.N(maxPoisonDowntime)
	switch {
	case isBurst(requestBody):
		downtime = burstDowntime
	case isPoison(requestBody):
	case standin.SharesPart(r, poisonPartPrefix):
		id := r.Header.Get(standin.RequestIDHeader)
		e.site.record(checker.StatusSent{Request: id, Endpoint: e.name, Status: http.StatusOK})
		_, _ = io.WriteString(w, eventText(id, e.currentVersion(), 1))
		_ = http.NewResponseController(w).Flush()
	default:
		return
	}
	e.crashForPoison(downtime)
	panic(http.ErrAbortHandler)
}

// sendEndlessly sends start and then bytes without end, until ctx ends or the connection is closed. It does not return.
func sendEndlessly(ctx context.Context, w http.ResponseWriter, start string) {
	defer panic(http.ErrAbortHandler)
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	_, err = io.WriteString(conn, start)
	const blockBytes = 64 << 10
	for block := strings.Repeat("x", blockBytes); err == nil; {
		_, err = io.WriteString(conn, block)
	}
}
