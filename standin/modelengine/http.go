package modelengine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"balsamknot.org/fleet/timer"
)

const maxBodyBytes = 4 << 20

func (e *Engine) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.complete)
	mux.HandleFunc("GET /v1/responses/{id...}", e.resume)
	mux.HandleFunc("DELETE /v1/responses/{id...}", e.cancel)
	mux.HandleFunc("GET /v1/load", e.reportLoad)
	mux.HandleFunc("GET /v1/stats", func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(e.Stats()) })
	return mux
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, "body too large", http.StatusRequestEntityTooLarge)
		return
	}
	var req completionRequest
	if err := json.Unmarshal(body, &req); err != nil || len(req.Messages) == 0 {
		http.Error(w, `{"error":{"message":"malformed request"}}`, http.StatusBadRequest)
		return
	}
	e.requests.Add(1)
	if e.cfg.CrashMarker != "" && bytes.Contains(body, []byte(e.cfg.CrashMarker)) {
		go e.Crash()
		<-r.Context().Done()
		return
	}
	j := e.findOrStartJob(r.Header.Get("Request-Id"), r.Header.Get("Chat-Id"), req)
	e.serve(w, r, j, 0)
}

// findOrStartJob returns the job with a request ID, so that a repeated request joins it, or starts one. A request without
// an ID always gets its own job.
func (e *Engine) findOrStartJob(id, chat string, req completionRequest) *job {
	e.mu.Lock()
	defer e.mu.Unlock()
	if j := e.jobs[id]; j != nil && id != "" {
		return j
	}
	ctx, cancel := context.WithCancel(context.Background())
	j := &job{id: id, stream: req.Stream, cancel: cancel, changed: make(chan struct{}), readersChangedAt: time.Now()}
	e.jobs[id] = j
	go e.run(ctx, e.process, j, req, chat)
	go e.reap(ctx, j)
	return j
}

// reap cancels and removes a job, running or finished, once it has had no reader for resumeGracePeriod.
func (e *Engine) reap(ctx context.Context, j *job) {
	const period = time.Second
	for timer.Sleep(ctx, period) {
		if j.abandoned(resumeGracePeriod) {
			break
		}
	}
	j.cancel()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.jobs[j.id] == j {
		delete(e.jobs, j.id)
	}
}

func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	j := e.jobs[r.PathValue("id")]
	e.mu.Unlock()
	if j == nil {
		http.Error(w, `{"error":{"message":"no such response"}}`, http.StatusNotFound)
		return
	}
	after, _ := strconv.Atoi(r.URL.Query().Get("starting_after"))
	e.serve(w, r, j, after)
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	j := e.jobs[r.PathValue("id")]
	e.mu.Unlock()
	if j != nil {
		j.cancel()
	}
	w.WriteHeader(http.StatusNoContent)
}

// serve writes a job's answer: a stream from the event after the position given, or the whole answer once it is finished.
func (e *Engine) serve(w http.ResponseWriter, r *http.Request, j *job, after int) {
	j.addReaders(1)
	defer j.addReaders(-1)
	if j.stream {
		e.serveStream(w, r, j, after)
		return
	}
	for {
		_, done, changed := j.eventsAfter(0)
		if done {
			break
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
	j.mu.Lock()
	text, cached := j.text, j.cachedTokens
	j.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cached-Tokens", strconv.Itoa(cached))
	_ = json.NewEncoder(w).Encode(map[string]any{
		"id": j.id, "object": "chat.completion",
		"choices": []any{map[string]any{
			"index": 0, "finish_reason": "stop",
			"message": map[string]any{"role": "assistant", "content": text},
		}},
	})
}

func (e *Engine) serveStream(w http.ResponseWriter, r *http.Request, j *job, after int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flusher, _ := w.(http.Flusher)
	flusher.Flush()
	for {
		events, done, changed := j.eventsAfter(after)
		for _, data := range events {
			if _, err := w.Write(data); err != nil {
				return
			}
		}
		after += len(events)
		flusher.Flush()
		if done {
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

// reportLoad answers with the lagged load, the events of evicted chats after sequence number events_after, and the last
// sequence number, by which the reader detects that it missed events.
func (e *Engine) reportLoad(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("events_after"), 10, 64)
	e.mu.Lock()
	events := e.cache.eventsAfter(after)
	seq := e.cache.seq
	e.mu.Unlock()
	evicted := make([]event, 0, len(events))
	for _, ev := range events {
		if ev.Kind == "Evicted" {
			evicted = append(evicted, ev)
		}
	}
	_ = json.NewEncoder(w).Encode(map[string]any{
		"Running": e.laggedRunning(), "Capacity": e.cfg.Slots, "AgeMs": e.cfg.ReportLag.Milliseconds(),
		"Leaving": e.leaving.Load(), "Events": evicted, "Seq": seq,
	})
}
