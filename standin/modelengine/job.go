package modelengine

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"sync"
	"time"

	"balsamknot.org/fleet/timer"
)

// request is the part of a chat completion request that the engine reads.
type request struct {
	Model     string            `json:"model"`
	Messages  []json.RawMessage `json:"messages"`
	Stream    bool              `json:"stream"`
	MaxTokens int               `json:"max_tokens"`
}

const defaultTokens = 16

// job is one request in the engine. It goes on without its connection for a grace period, so that it can be resumed.
type job struct {
	id     string
	stream bool
	cancel context.CancelFunc

	mu      sync.Mutex
	events  [][]byte
	text    string
	done    bool
	cached  int
	grown   chan struct{}
	readers int
	idle    time.Time
}

func (j *job) push(data []byte) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.events = append(j.events, data)
	close(j.grown)
	j.grown = make(chan struct{})
}

func (j *job) finish() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.done = true
	close(j.grown)
	j.grown = make(chan struct{})
}

// from returns the events above position, and a channel that closes when there are more.
func (j *job) from(position int) (events [][]byte, done bool, grown <-chan struct{}) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if position < len(j.events) {
		events = j.events[position:]
	}
	return events, j.done, j.grown
}

func (j *job) join(n int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.readers += n
	j.idle = time.Now()
}

func (j *job) abandoned(grace time.Duration) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.readers == 0 && time.Since(j.idle) > grace
}

// resumeGrace is how long a request runs on without a reader, and a finished answer is kept.
const resumeGrace = 15 * time.Second

// run generates the answer: wait for a seat, prefill what is not cached, then a token at a time.
func (e *Engine) run(ctx context.Context, j *job, req request, chat string) {
	e.enter()
	defer e.leave()
	defer j.finish()
	select {
	case e.seats <- struct{}{}:
		defer func() { <-e.seats }()
	case <-ctx.Done():
		return
	}
	p := newPrefix(req.Messages)
	e.mu.Lock()
	cached := e.cache.use(chat, p)
	e.mu.Unlock()
	e.promptTokens.Add(int64(p.size()))
	e.cachedTokens.Add(int64(cached))
	j.mu.Lock()
	j.cached = cached
	j.mu.Unlock()
	const thousand = 1000
	if !timer.Sleep(ctx, e.cfg.PrefillTime*time.Duration(p.size()-cached)/thousand) {
		return
	}
	e.generate(ctx, j, req, chat)
}

func (e *Engine) generate(ctx context.Context, j *job, req request, chat string) {
	tokens := req.MaxTokens
	if tokens <= 0 {
		tokens = defaultTokens
	}
	for n := 1; n <= tokens; n++ {
		if !timer.Sleep(ctx, e.cfg.TokenTime) {
			return
		}
		word := token(chat, len(req.Messages), n)
		j.text += word
		content := map[string]any{
			"id": j.id, "object": "chat.completion.chunk", "model": req.Model,
			"choices": []any{map[string]any{"index": 0, "delta": map[string]any{"content": word}}},
		}
		if n == tokens {
			content["usage"] = map[string]any{"prompt_tokens_details": map[string]any{"cached_tokens": j.cached}}
		}
		chunk, _ := json.Marshal(content)
		j.push(fmt.Appendf(nil, "id: %d\ndata: %s\n\n", n, chunk))
	}
	j.push(fmt.Appendf(nil, "id: %d\ndata: [DONE]\n\n", tokens+1))
}

// token makes an answer that is a function of the chat, so that a wrong or mixed answer shows.
func token(chat string, turn, n int) string {
	hash := fnv.New32a()
	_, _ = fmt.Fprintf(hash, "%s/%d/%d", chat, turn, n)
	return fmt.Sprintf("%08x ", hash.Sum32())
}

// Expected returns the text of the whole answer to a chat's turn.
func Expected(chat string, messages, tokens int) string {
	text := ""
	for n := 1; n <= tokens; n++ {
		text += token(chat, messages, n)
	}
	return text
}
