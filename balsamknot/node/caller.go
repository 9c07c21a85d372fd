package node

import (
	"context"
	"encoding/json"
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
	"balsamknot.org/fleet/chat"
	"balsamknot.org/fleet/claim"
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
			event.Log(n.log, zerolog.ErrorLevel, event.HandlerRecovered).Interface("Cause", cause).
				Str("Stack", string(debug.Stack())).Msg(event.Text(event.HandlerRecovered))
			panic(http.ErrAbortHandler)
		}()
		next.ServeHTTP(w, r)
	})
}

func (n *Node) inFlightFilter(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer n.enter()()
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
	n.meter.count(now, finished{
		workspace: x.workspace.Name, service: x.service.Name, refusal: x.refusal, policy: x.policy,
		firstByte: x.firstByte.Sub(x.began), whole: now.Sub(x.began),
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

// serveChat takes a chat completion request to an engine.
func (n *Node) serveChat(w http.ResponseWriter, r *http.Request) {
	x := exchangeOf(r)
	body, refusal := n.readBody(w, r)
	if refusal != nil {
		n.refuse(w, r, refusal)
		return
	}
	parsed, err := chat.Parse(body)
	if err != nil {
		n.refuse(w, r, malformed(err.Error()))
		return
	}
	current := n.documents.inForce()
	name := current.byModel[parsed.Model]
	if refusal := n.allow(x, current, name, "model "+parsed.Model); refusal != nil {
		n.refuse(w, r, refusal)
		return
	}
	call := n.newCall(x, r, body)
	call.Chat = string(parsed.ID(x.workspace.Name))
	n.serveForwarded(w, r, x, call, parsed.Stream)
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

// servePlain takes a call to a plain service.
func (n *Node) servePlain(w http.ResponseWriter, r *http.Request) {
	x := exchangeOf(r)
	current := n.documents.inForce()
	if refusal := n.allow(x, current, plainService(current, r.URL.Path), "path "+r.URL.Path); refusal != nil {
		n.refuse(w, r, byThisNode(r, refusal))
		return
	}
	body, refusal := n.readBody(w, r)
	if refusal != nil {
		n.refuse(w, r, refusal)
		return
	}
	call := n.newCall(x, r, body)
	key := r.Header.Get("Idempotency-Key")
	if key == "" && (repeatable(r.Method) || x.service.Repeatable) {
		n.serveForwarded(w, r, x, call, false)
		return
	}
	parsed, _, err := claim.ParseKey(key)
	if err != nil {
		n.refuse(w, r, keyRefusal(key, err))
		return
	}
	call.IdempotencyKey = string(parsed)
	n.serveKeyed(w, r, x, call)
}

// repeatable reports whether a method is idempotent by RFC 9110.
func repeatable(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodPut, http.MethodDelete, http.MethodOptions:
		return true
	}
	return false
}

func keyRefusal(key string, err error) *outcome.Refusal {
	refusal := malformed(err.Error())
	refusal.Code = outcome.CodeKeyMalformed
	if key == "" {
		refusal.Code = outcome.CodeKeyRequired
		refusal.Detail = "this call may not be repeated; send an Idempotency-Key that is a UUIDv7"
	}
	return refusal
}

// plainService returns the service with the longest path that a request lies under.
func plainService(current *inForce, path string) string {
	name, longest := "", ""
	for _, service := range current.objects.Services {
		if service.Path != "" && len(service.Path) > len(longest) && strings.HasPrefix(path, service.Path) {
			name, longest = service.Name, service.Path
		}
	}
	return name
}

// serveKeyed runs a call at most once and writes its answer.
func (n *Node) serveKeyed(w http.ResponseWriter, r *http.Request, x *exchange, call *wire.Call) {
	ctx, cancel := context.WithDeadline(r.Context(), time.UnixMilli(call.GetDeadlineMs()))
	defer cancel()
	reply := n.claims.route(ctx, call)
	if refusal := refusalFromWire(reply.GetRefusal()); refusal != nil {
		n.refuse(w, r, refusal)
		return
	}
	x.firstByte = n.timers.Now()
	w.Header().Set("Balsamknot-Home", reply.GetHome())
	writeHeaders(w, reply.GetHeaders())
	w.Header().Set("Content-Length", strconv.Itoa(len(reply.GetBody())))
	w.WriteHeader(int(reply.GetStatus()))
	_, _ = w.Write(reply.GetBody())
}

func writeHeaders(w http.ResponseWriter, headers []*wire.Header) {
	for _, h := range headers {
		w.Header().Add(h.GetName(), h.GetValue())
	}
}

// refusalBody is the JSON of a refusal, in the shape that OpenAI clients read.
type refusalBody struct {
	Error struct {
		Code       outcome.Code    `json:"code"`
		Outcome    outcome.Outcome `json:"outcome"`
		Message    string          `json:"message"`
		Step       string          `json:"step"`
		Peer       string          `json:"peer,omitempty"`
		RetryAfter float64         `json:"retry_after_seconds,omitempty"`
	} `json:"error"`
}

func refusalJSON(refusal *outcome.Refusal) []byte {
	var body refusalBody
	body.Error.Code = refusal.Code
	body.Error.Outcome = refusal.Outcome
	body.Error.Message = refusal.Detail
	body.Error.Step = refusal.Step
	body.Error.Peer = refusal.Peer
	body.Error.RetryAfter = refusal.RetryAfter.Seconds()
	encoded, _ := json.Marshal(body)
	return encoded
}

func writeRefusal(w http.ResponseWriter, refusal *outcome.Refusal) {
	w.Header().Set("Content-Type", "application/json")
	if refusal.RetryAfter > 0 {
		seconds := int64((refusal.RetryAfter + time.Second - 1) / time.Second)
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	w.WriteHeader(refusal.Status)
	_, _ = w.Write(append(refusalJSON(refusal), '\n'))
}

// response is the sink that writes to the caller: at once for a stream, when whole for anything else.
type response struct {
	w      http.ResponseWriter
	x      *exchange
	n      *Node
	stream bool
	buffer buffer
	begun  bool
}

// Head implements sink.
func (o *response) Head(head *wire.Head) error {
	o.x.keeper, o.x.engine = head.GetKeeper(), head.GetEngine()
	if !o.stream {
		return o.buffer.Head(head)
	}
	o.writeHead(head)
	o.flush()
	return nil
}

// Part implements sink.
func (o *response) Part(data []byte) error {
	if !o.stream {
		return o.buffer.Part(data)
	}
	if o.x.firstByte.IsZero() {
		o.x.firstByte = o.n.timers.Now()
	}
	if _, err := o.w.Write(data); err != nil {
		return err
	}
	o.flush()
	return nil
}

// Delivered implements sink.
func (o *response) Delivered() bool { return o.begun }

// Reset implements sink.
func (o *response) Reset() { o.buffer.Reset() }

func (o *response) writeHead(head *wire.Head) {
	o.begun = true
	o.w.Header().Set("Balsamknot-Endpoint", head.GetEngine())
	o.w.Header().Set("Balsamknot-Keeper", head.GetKeeper())
	writeHeaders(o.w, head.GetHeaders())
	o.w.WriteHeader(int(head.GetStatus()))
}

func (o *response) flush() { _ = http.NewResponseController(o.w).Flush() }

func (o *response) finish() {
	if o.stream && o.begun {
		return
	}
	o.x.firstByte = o.n.timers.Now()
	o.w.Header().Set("Content-Length", strconv.Itoa(len(o.buffer.body)))
	o.writeHead(o.buffer.head)
	_, _ = o.w.Write(o.buffer.body)
}

// breakOff ends a stream that can't be completed: an error event, and no regular end.
func (o *response) breakOff(refusal *outcome.Refusal) {
	_, _ = o.w.Write([]byte("event: error\ndata: "))
	_, _ = o.w.Write(refusalJSON(refusal))
	_, _ = o.w.Write([]byte("\n\n"))
	o.flush()
	panic(http.ErrAbortHandler)
}
