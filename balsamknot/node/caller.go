package node

import (
	"context"
	"errors"
	"io"
	"net/http"
	"runtime/debug"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/justinas/alice"
	"github.com/rs/zerolog"

	"balsamknot.org/balsamknot/event"
	"balsamknot.org/fleet/fingerprint"
	"balsamknot.org/fleet/object"
	"balsamknot.org/fleet/outcome"
	"balsamknot.org/fleet/wire"
)

const (
	chatPath = "/v1/chat/completions"
	// maxBodyBytes limits the size of a caller's request body.
	maxBodyBytes = 4 << 20
)

// callerHandler returns the handler of the callers' port: the health checks, and the services behind the middleware chain.
func (n *Node) callerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	mux.HandleFunc("GET /readyz", n.readyz)
	chain := alice.New(n.recoverPanics, n.countInFlight, n.requireReady, n.recordMetrics, n.authenticate)
	mux.Handle("POST "+chatPath, chain.ThenFunc(n.serveChat))
	mux.Handle("/", chain.ThenFunc(n.servePlain))
	return mux
}

func (n *Node) readyz(w http.ResponseWriter, _ *http.Request) {
	if !n.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ok\n")
}

// recoverPanics logs a handler's panic and aborts the answer; the process keeps running. http.ErrAbortHandler is a deliberate
// abort and is not logged.
func (n *Node) recoverPanics(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			cause := recover()
			if cause == nil {
				return
			}
			if err, ok := cause.(error); ok && errors.Is(err, http.ErrAbortHandler) {
				panic(http.ErrAbortHandler)
			}
			event.Log(n.log, zerolog.ErrorLevel, event.HandlerPanicked).Interface("Cause", cause).
				Str("Stack", string(debug.Stack())).Msg(event.Text(event.HandlerPanicked))
			panic(http.ErrAbortHandler)
		}()
		next.ServeHTTP(w, r)
	})
}

func (n *Node) countInFlight(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer n.trackInFlight()()
		next.ServeHTTP(w, r)
	})
}

// requireReady refuses requests until the node is ready for the first time: until a version of each document is in force and the
// node has waited for ClockSkew, see documents.run. A draining node still serves the requests that arrive.
func (n *Node) requireReady(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !n.ready.Load() {
			writeRefusal(w, unknownIfKeyed(r, &outcome.Refusal{
				Code: outcome.CodeNotReady, Outcome: outcome.NotRun, Status: http.StatusServiceUnavailable,
				RetryAfter: time.Second, Detail: "no set is in force yet", Step: "entry",
			}))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// requestInfoKey is the context key of a request's requestInfo.
type requestInfoKey struct{}

// requestInfo holds what the middleware and the handlers record about a caller's request, for metrics and the log.
type requestInfo struct {
	startedAt   time.Time
	firstByteAt time.Time
	workspace   object.Workspace
	service     object.Service
	policy      object.Policy
	callID      string
	keeper      string
	engine      string
	refusal     *outcome.Refusal
}

func requestInfoOf(r *http.Request) *requestInfo {
	info, _ := r.Context().Value(requestInfoKey{}).(*requestInfo)
	return info
}

// recordMetrics adds a requestInfo to each request and, when the request has ended, counts and logs it.
func (n *Node) recordMetrics(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		info := &requestInfo{startedAt: n.timers.Now(), callID: uuid.NewString()}
		defer n.recordEnd(info)
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), requestInfoKey{}, info)))
	})
}

func (n *Node) recordEnd(info *requestInfo) {
	now := n.timers.Now()
	if info.firstByteAt.IsZero() {
		info.firstByteAt = now
	}
	n.meter.count(requestResult{
		workspace: info.workspace.Name, service: info.service.Name, refusal: info.refusal, policy: info.policy,
		firstByte: info.firstByteAt.Sub(info.startedAt), lastByte: now.Sub(info.startedAt),
	})
	if info.refusal != nil {
		event.Log(n.log, zerolog.InfoLevel, event.RequestRefused).Str("Call", info.callID).Str("Workspace", info.workspace.Name).
			Str("Service", info.service.Name).Str("Code", string(info.refusal.Code)).Str("Outcome", string(info.refusal.Outcome)).
			Str("Step", info.refusal.Step).Str("Peer", info.refusal.Peer).Msg(event.Text(event.RequestRefused))
		return
	}
	event.Log(n.log, zerolog.DebugLevel, event.RequestDone).Str("Call", info.callID).Str("Workspace", info.workspace.Name).
		Str("Service", info.service.Name).Str("Keeper", info.keeper).Str("Endpoint", info.engine).
		Dur("Took", now.Sub(info.startedAt)).Msg(event.Text(event.RequestDone))
}

// unknownIfKeyed sets the outcome of a refusal to Unknown if the request has an idempotency key. It is used for refusals that
// depend on this node's view: another node with another view may run a copy of the request, so only the home of the key may
// answer NotRun.
func unknownIfKeyed(r *http.Request, refusal *outcome.Refusal) *outcome.Refusal {
	if r.Header.Get("Idempotency-Key") != "" {
		refusal.Outcome = outcome.Unknown
	}
	return refusal
}

func (n *Node) refuse(w http.ResponseWriter, r *http.Request, refusal *outcome.Refusal) {
	requestInfoOf(r).refusal = refusal
	writeRefusal(w, refusal)
}

// authenticate records the workspace that the bearer key belongs to, and refuses requests without a valid key.
func (n *Node) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		workspace, known := n.documents.snapshot().workspaceByBearerKey(key)
		if !ok || !known {
			n.refuse(w, r, unknownIfKeyed(r, &outcome.Refusal{
				Code: outcome.CodeUnknownWorkspace, Outcome: outcome.NotRun, Status: http.StatusUnauthorized,
				Detail: "the bearer key belongs to no workspace", Step: "entry",
			}))
			return
		}
		requestInfoOf(r).workspace = workspace
		next.ServeHTTP(w, r)
	})
}

// readBody reads a caller's request body of at most maxBodyBytes.
func (n *Node) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *outcome.Refusal) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, &outcome.Refusal{
			Code: outcome.CodeBodyTooLarge, Outcome: outcome.NotRun, Status: http.StatusRequestEntityTooLarge,
			Detail: "the body is over the limit of " + strconv.Itoa(maxBodyBytes) + " bytes", Step: "entry",
		}
	case err != nil:
		return nil, malformedRequest("the body could not be read: " + err.Error())
	}
	return body, nil
}

func malformedRequest(detail string) *outcome.Refusal {
	return &outcome.Refusal{
		Code: outcome.CodeMalformedRequest, Outcome: outcome.NotRun, Status: http.StatusBadRequest, Detail: detail, Step: "entry",
	}
}

func unknownService(detail string) *outcome.Refusal {
	return &outcome.Refusal{
		Code: outcome.CodeUnknownService, Outcome: outcome.NotRun, Status: http.StatusNotFound, Detail: detail, Step: "entry",
	}
}

// selectService checks that the workspace may use the named service, and records the service and its policy in info. target
// is the model or path that the caller requested, for the refusal.
func (n *Node) selectService(info *requestInfo, current *snapshot, name, target string) *outcome.Refusal {
	service, ok := current.objects.Services[name]
	if !ok {
		return unknownService("no service for " + target)
	}
	for _, allowed := range info.workspace.Services {
		if allowed == name {
			info.service = service
			info.policy = current.objects.Policies[service.Policy]
			return nil
		}
	}
	return &outcome.Refusal{
		Code: outcome.CodeServiceNotAllowed, Outcome: outcome.NotRun, Status: http.StatusForbidden,
		Detail: "workspace " + info.workspace.Name + " does not list service " + name, Step: "entry",
	}
}

func (n *Node) newCall(info *requestInfo, r *http.Request, body []byte) *wire.Call {
	call := &wire.Call{
		Id: info.callID, Workspace: info.workspace.Name, Service: info.service.Name, Method: r.Method, Path: r.URL.RequestURI(),
		Body: body, DeadlineMs: info.startedAt.Add(info.policy.Deadline).UnixMilli(),
		Fingerprint: uint64(fingerprint.Of(info.service.Name, r.Method, r.URL.RequestURI(), body)),
	}
	for name, values := range r.Header {
		if unforwardedHeaders[name] {
			continue
		}
		for _, value := range values {
			call.Headers = append(call.Headers, &wire.Header{Name: name, Value: value})
		}
	}
	return call
}

// serveUnkeyed forwards a call without an idempotency key, which may be retried or resumed, and writes its answer.
func (n *Node) serveUnkeyed(w http.ResponseWriter, r *http.Request, info *requestInfo, call *wire.Call, stream bool) {
	ctx, cancel := context.WithDeadline(r.Context(), time.UnixMilli(call.GetDeadlineMs()))
	defer cancel()
	out := &response{w: w, info: info, n: n, stream: stream}
	refusal := n.forward(ctx, &request{call: call, sink: out}, info.service, info.policy)
	if refusal == nil {
		out.finish()
		return
	}
	info.refusal = refusal
	if out.Delivered() {
		out.abort(refusal)
		return
	}
	writeRefusal(w, refusal)
}
