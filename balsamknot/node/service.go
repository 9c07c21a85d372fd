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
