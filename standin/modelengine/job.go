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

// completionRequest holds the fields of a chat completion request that the simulation uses.
type completionRequest struct {
	Model     string            `json:"model"`
	Messages  []json.RawMessage `json:"messages"`
	Stream    bool              `json:"stream"`
	MaxTokens int               `json:"max_tokens"`
}

// defaultMaxTokens is the length of an answer in tokens if the request does not set max_tokens.
const defaultMaxTokens = 16

// job is one request in the engine. It outlives its connection by resumeGracePeriod, so that the caller can resume the
// stream.
type job struct {
	id     string
	stream bool
	cancel context.CancelFunc

	mu           sync.Mutex
	events       [][]byte
	text         string
	done         bool
	cachedTokens int
	// changed is closed and replaced when an event is added or the job finishes.
	changed chan struct{}
	readers int
	// readersChangedAt is when a reader last joined or left, or when the job started.
	readersChangedAt time.Time
}

func (j *job) appendEvent(data []byte) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.events = append(j.events, data)
	close(j.changed)
	j.changed = make(chan struct{})
}

func (j *job) finish() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.done = true
	close(j.changed)
	j.changed = make(chan struct{})
}

// eventsAfter returns the events after event number position (counted from 1; 0 returns all), whether the job has finished,
// and a channel that is closed at the next change.
func (j *job) eventsAfter(position int) (events [][]byte, done bool, changed <-chan struct{}) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if position < len(j.events) {
		events = j.events[position:]
	}
	return events, j.done, j.changed
}

// addReaders adds n, which may be negative, to the number of connections that read the answer.
func (j *job) addReaders(n int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.readers += n
	j.readersChangedAt = time.Now()
}

func (j *job) abandoned(grace time.Duration) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.readers == 0 && time.Since(j.readersChangedAt) > grace
}

// resumeGracePeriod is the time for which a job without a reader keeps running, and its finished answer is kept.
const resumeGracePeriod = 15 * time.Second

// run processes a job: it waits for a free slot, takes the prefill time for the prompt tokens that are not cached, and
// generates the answer token by token.
func (e *Engine) run(ctx context.Context, p *process, j *job, req completionRequest, chat string) {
	e.requestStarted(p)
	defer e.requestFinished(p)
	defer j.finish()
	select {
	case p.slots <- struct{}{}:
		defer func() { <-p.slots }()
	case <-ctx.Done():
		return
	}
	digest := newPromptDigest(req.Messages)
	e.mu.Lock()
	cached := e.cache.lookUpAndStore(chat, digest)
	e.mu.Unlock()
	e.promptTokens.Add(int64(digest.totalTokens()))
	e.cachedTokens.Add(int64(cached))
	j.mu.Lock()
	j.cachedTokens = cached
	j.mu.Unlock()
	const tokensPerPrefillTime = 1000
	if !timer.Sleep(ctx, e.cfg.PrefillTime*time.Duration(digest.totalTokens()-cached)/tokensPerPrefillTime) {
		return
	}
	e.generate(ctx, j, req, chat)
}

func (e *Engine) generate(ctx context.Context, j *job, req completionRequest, chat string) {
	tokens := req.MaxTokens
	if tokens <= 0 {
		tokens = defaultMaxTokens
	}
	for n := 1; n <= tokens; n++ {
		if !timer.Sleep(ctx, e.cfg.TokenTime) {
			return
		}
		text := tokenText(chat, len(req.Messages), n)
		j.text += text
		content := map[string]any{
			"id": j.id, "object": "chat.completion.chunk", "model": req.Model,
			"choices": []any{map[string]any{"index": 0, "delta": map[string]any{"content": text}}},
		}
		if n == tokens {
			content["usage"] = map[string]any{"prompt_tokens_details": map[string]any{"cached_tokens": j.cachedTokens}}
		}
		chunk, _ := json.Marshal(content)
		j.appendEvent(fmt.Appendf(nil, "id: %d\ndata: %s\n\n", n, chunk))
	}
	j.appendEvent(fmt.Appendf(nil, "id: %d\ndata: [DONE]\n\n", tokens+1))
}

// tokenText returns the n-th token of an answer. It depends only on the chat, the turn and n, so that a test recognises an
// answer of another chat, or one put together from several answers.
func tokenText(chat string, turn, n int) string {
	hash := fnv.New32a()
	_, _ = fmt.Fprintf(hash, "%s/%d/%d", chat, turn, n)
	return fmt.Sprintf("%08x ", hash.Sum32())
}

// ExpectedText returns the whole answer to a request with this chat ID, number of messages and max_tokens, so that a test
// can compare it with the answer that a caller got.
func ExpectedText(chat string, messages, tokens int) string {
	text := ""
	for n := 1; n <= tokens; n++ {
		text += tokenText(chat, messages, n)
	}
	return text
}
