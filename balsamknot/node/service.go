package node

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"balsamknot.org/fleet/chat"
	"balsamknot.org/fleet/claim"
	"balsamknot.org/fleet/outcome"
	"balsamknot.org/fleet/wire"
)

// serveChat handles a chat completion request.
func (n *Node) serveChat(w http.ResponseWriter, r *http.Request) {
	info := requestInfoOf(r)
	body, refusal := n.readBody(w, r)
	if refusal != nil {
		n.refuse(w, r, refusal)
		return
	}
	parsed, err := chat.Parse(body)
	if err != nil {
		n.refuse(w, r, malformedRequest(err.Error()))
		return
	}
	current := n.documents.snapshot()
	name := current.serviceByModel[parsed.Model]
	if refusal := n.selectService(info, current, name, "model "+parsed.Model); refusal != nil {
		n.refuse(w, r, refusal)
		return
	}
	call := n.newCall(info, r, body)
	call.Chat = string(parsed.ID(info.workspace.Name))
	n.serveUnkeyed(w, r, info, call, parsed.Stream)
}

// servePlain handles a call to a plain service. A call that is not idempotent needs an Idempotency-Key header.
func (n *Node) servePlain(w http.ResponseWriter, r *http.Request) {
	info := requestInfoOf(r)
	current := n.documents.snapshot()
	if refusal := n.selectService(info, current, findPlainService(current, r.URL.Path), "path "+r.URL.Path); refusal != nil {
		n.refuse(w, r, unknownIfKeyed(r, refusal))
		return
	}
	body, refusal := n.readBody(w, r)
	if refusal != nil {
		n.refuse(w, r, refusal)
		return
	}
	call := n.newCall(info, r, body)
	key := r.Header.Get("Idempotency-Key")
	if key == "" && (isIdempotent(r.Method) || info.service.Repeatable) {
		n.serveUnkeyed(w, r, info, call, false)
		return
	}
	parsed, _, err := claim.ParseKey(key)
	if err != nil {
		n.refuse(w, r, invalidKeyRefusal(key, err))
		return
	}
	call.IdempotencyKey = string(parsed)
	n.serveKeyed(w, r, info, call)
}

// isIdempotent reports whether a method is idempotent according to RFC 9110. TRACE is left out.
func isIdempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodPut, http.MethodDelete, http.MethodOptions:
		return true
	}
	return false
}

// invalidKeyRefusal returns the refusal of a missing or malformed Idempotency-Key; err is that of claim.ParseKey.
func invalidKeyRefusal(key string, err error) *outcome.Refusal {
	refusal := malformedRequest(err.Error())
	refusal.Code = outcome.CodeKeyMalformed
	if key == "" {
		refusal.Code = outcome.CodeKeyRequired
		refusal.Detail = "this call may not be repeated; send an Idempotency-Key that is a UUIDv7"
	}
	return refusal
}

// findPlainService returns the name of the service whose path is the longest prefix of a request's path; empty if there is none.
func findPlainService(current *snapshot, path string) string {
	name, longest := "", ""
	for _, service := range current.objects.Services {
		if service.Path != "" && len(service.Path) > len(longest) && strings.HasPrefix(path, service.Path) {
			name, longest = service.Name, service.Path
		}
	}
	return name
}

// serveKeyed runs a call with an idempotency key, at most once, through the home of its key, and writes its answer.
func (n *Node) serveKeyed(w http.ResponseWriter, r *http.Request, info *requestInfo, call *wire.Call) {
	ctx, cancel := context.WithDeadline(r.Context(), time.UnixMilli(call.GetDeadlineMs()))
	defer cancel()
	reply := n.claims.routeToHome(ctx, call)
	if refusal := refusalFromWire(reply.GetRefusal()); refusal != nil {
		n.refuse(w, r, refusal)
		return
	}
	info.firstByteAt = n.timers.Now()
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
