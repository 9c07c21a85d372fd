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
	// maxBody bounds a caller's request body in bytes.
	maxBody = 4 << 20
)

// callerHandler is the filter chain that every caller's request passes.
func (n *Node) callerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	mux.HandleFunc("GET /readyz", n.readyz)
	chain := alice.New(n.recovered, n.inFlightFilter, n.readyFilter, n.timed, n.authenticated)
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

// recovered keeps the process running when a handler panics.
func (n *Node) recovered(next http.Handler) http.Handler {
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

func (n *Node) inFlightFilter(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer n.trackInFlight()()
		next.ServeHTTP(w, r)
	})
}

// readyFilter turns requests away before the first set is in force. A draining node still serves what arrives.
func (n *Node) readyFilter(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !n.ready.Load() {
			writeRefusal(w, byThisNode(r, &outcome.Refusal{
				Code: outcome.CodeNotReady, Outcome: outcome.NotRun, Status: http.StatusServiceUnavailable,
				RetryAfter: time.Second, Detail: "no set is in force yet", Step: "entry",
			}))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// exchangeKey is the context key of a request's exchange.
type exchangeKey struct{}

// exchange is what the filters learn of a request.
type exchange struct {
	began     time.Time
	firstByte time.Time
	workspace object.Workspace
	service   object.Service
	policy    object.Policy
	call      string
	keeper    string
	engine    string
	refusal   *outcome.Refusal
}

func exchangeOf(r *http.Request) *exchange {
	x, _ := r.Context().Value(exchangeKey{}).(*exchange)
	return x
}

// timed counts and logs each request's end.
func (n *Node) timed(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		x := &exchange{began: n.timers.Now(), call: uuid.NewString()}
		defer n.finish(x)
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), exchangeKey{}, x)))
	})
}

func (n *Node) finish(x *exchange) {
	now := n.timers.Now()
	if x.firstByte.IsZero() {
		x.firstByte = now
	}
	n.meter.count(requestResult{
		workspace: x.workspace.Name, service: x.service.Name, refusal: x.refusal, policy: x.policy,
		firstByte: x.firstByte.Sub(x.began), lastByte: now.Sub(x.began),
	})
	if x.refusal != nil {
		event.Log(n.log, zerolog.InfoLevel, event.RequestRefused).Str("Call", x.call).Str("Workspace", x.workspace.Name).
			Str("Service", x.service.Name).Str("Code", string(x.refusal.Code)).Str("Outcome", string(x.refusal.Outcome)).
			Str("Step", x.refusal.Step).Str("Peer", x.refusal.Peer).Msg(event.Text(event.RequestRefused))
		return
	}
	event.Log(n.log, zerolog.DebugLevel, event.RequestDone).Str("Call", x.call).Str("Workspace", x.workspace.Name).
		Str("Service", x.service.Name).Str("Keeper", x.keeper).Str("Endpoint", x.engine).
		Dur("Took", now.Sub(x.began)).Msg(event.Text(event.RequestDone))
}

// byThisNode weakens a refusal that rests on this node's own view: another node may see it otherwise and run a copy
// of a keyed call, so that only the home of its key may say NotRun.
func byThisNode(r *http.Request, refusal *outcome.Refusal) *outcome.Refusal {
	if r.Header.Get("Idempotency-Key") != "" {
		refusal.Outcome = outcome.Unknown
	}
	return refusal
}

func (n *Node) refuse(w http.ResponseWriter, r *http.Request, refusal *outcome.Refusal) {
	exchangeOf(r).refusal = refusal
	writeRefusal(w, refusal)
}

// authenticated finds the workspace of the bearer key.
func (n *Node) authenticated(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		workspace, known := n.documents.inForce().workspaceOf(key)
		if !ok || !known {
			n.refuse(w, r, byThisNode(r, &outcome.Refusal{
				Code: outcome.CodeUnknownWorkspace, Outcome: outcome.NotRun, Status: http.StatusUnauthorized,
				Detail: "the bearer key belongs to no workspace", Step: "entry",
			}))
			return
		}
		exchangeOf(r).workspace = workspace
		next.ServeHTTP(w, r)
	})
}

// readBody reads a caller's body within its bound.
func (n *Node) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *outcome.Refusal) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, &outcome.Refusal{
			Code: outcome.CodeBodyTooLarge, Outcome: outcome.NotRun, Status: http.StatusRequestEntityTooLarge,
			Detail: "the body is over the limit of " + strconv.Itoa(maxBody) + " bytes", Step: "entry",
		}
	case err != nil:
		return nil, malformed("the body could not be read: " + err.Error())
	}
	return body, nil
}

func malformed(detail string) *outcome.Refusal {
	return &outcome.Refusal{
		Code: outcome.CodeMalformedRequest, Outcome: outcome.NotRun, Status: http.StatusBadRequest, Detail: detail, Step: "entry",
	}
}

func unknownService(detail string) *outcome.Refusal {
	return &outcome.Refusal{
		Code: outcome.CodeUnknownService, Outcome: outcome.NotRun, Status: http.StatusNotFound, Detail: detail, Step: "entry",
	}
}

// allow checks that the workspace may use a service, and notes service and policy.
func (n *Node) allow(x *exchange, current *inForce, name, asked string) *outcome.Refusal {
	service, ok := current.objects.Services[name]
	if !ok {
		return unknownService("no service for " + asked)
	}
	for _, allowed := range x.workspace.Services {
		if allowed == name {
			x.service = service
			x.policy = current.objects.Policies[service.Policy]
			return nil
		}
	}
	return &outcome.Refusal{
		Code: outcome.CodeWorkspaceForbidden, Outcome: outcome.NotRun, Status: http.StatusForbidden,
		Detail: "workspace " + x.workspace.Name + " does not list service " + name, Step: "entry",
	}
}

func (n *Node) newCall(x *exchange, r *http.Request, body []byte) *wire.Call {
	call := &wire.Call{
		Id: x.call, Workspace: x.workspace.Name, Service: x.service.Name, Method: r.Method, Path: r.URL.RequestURI(),
		Body: body, DeadlineMs: x.began.Add(x.policy.Deadline).UnixMilli(),
		Fingerprint: uint64(fingerprint.Of(x.service.Name, r.Method, r.URL.RequestURI(), body)),
	}
	for name, values := range r.Header {
		if hopHeaders[name] {
			continue
		}
		for _, value := range values {
			call.Headers = append(call.Headers, &wire.Header{Name: name, Value: value})
		}
	}
	return call
}

// serveForwarded runs an idempotent call and writes its answer.
func (n *Node) serveForwarded(w http.ResponseWriter, r *http.Request, x *exchange, call *wire.Call, stream bool) {
	ctx, cancel := context.WithDeadline(r.Context(), time.UnixMilli(call.GetDeadlineMs()))
	defer cancel()
	out := &response{w: w, x: x, n: n, stream: stream}
	refusal := n.forward(ctx, &request{call: call, sink: out}, x.service, x.policy)
	if refusal == nil {
		out.finish()
		return
	}
	x.refusal = refusal
	if out.Delivered() {
		out.breakOff(refusal)
		return
	}
	writeRefusal(w, refusal)
}
