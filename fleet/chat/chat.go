// Package chat identifies conversations and the shared parts of their prompts, so that a later request of a chat can be
// routed to the engine that has its prefix in the KV cache.
package chat

import (
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// ID identifies a chat within a workspace and model.
type ID string

// leadingMessages is how many messages from the start identify a chat without a prompt_cache_key:
// the system prompt and the first question stay the same in each later turn.
const leadingMessages = 2

// Request holds the fields of an OpenAI chat completion request that are used for routing.
type Request struct {
	Model          string            `json:"model"`
	Messages       []json.RawMessage `json:"messages"`
	PromptCacheKey string            `json:"prompt_cache_key"`
	Stream         bool              `json:"stream"`
}

// Parse decodes a chat completion request. The error names the invalid or missing field.
func Parse(body []byte) (Request, error) {
	var request Request
	if err := json.Unmarshal(body, &request); err != nil {
		return Request{}, fmt.Errorf("body is not a chat completion request: %w", err)
	}
	if request.Model == "" {
		return Request{}, fmt.Errorf("field model is missing")
	}
	if len(request.Messages) == 0 {
		return Request{}, fmt.Errorf("field messages is missing or empty")
	}
	return request, nil
}

// ID returns the chat's ID, a hash of the workspace, the model and either prompt_cache_key or, without one, the leading
// messages. The workspace is included so that two workspaces do not share a chat.
func (r Request) ID(workspace string) ID {
	var digest xxhash.Digest
	digest.Reset()
	write := func(part string) {
		_, _ = fmt.Fprintf(&digest, "%d:%s", len(part), part)
	}
	write(workspace)
	write(r.Model)
	if r.PromptCacheKey != "" {
		write(r.PromptCacheKey)
		return ID(fmt.Sprintf("k%016x", digest.Sum64()))
	}
	for _, message := range r.Messages[:min(leadingMessages, len(r.Messages))] {
		write(string(message))
	}
	return ID(fmt.Sprintf("m%016x", digest.Sum64()))
}
