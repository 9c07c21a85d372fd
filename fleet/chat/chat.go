// Package chat names the conversations that return, so that a chat finds the engine that holds its prefix.
package chat

import (
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// ID names a chat within a workspace and model.
type ID string

// leadingMessages is how many messages from the start stand for a chat without a key:
// a system prompt and the first question stay the same in each later turn.
const leadingMessages = 2

// Request is the part of an OpenAI chat completion request that routing reads.
type Request struct {
	Model          string            `json:"model"`
	Messages       []json.RawMessage `json:"messages"`
	PromptCacheKey string            `json:"prompt_cache_key"`
	Stream         bool              `json:"stream"`
}

// Parse reads a chat completion request and names the field at fault.
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

// ID returns the chat's name: prompt_cache_key where given, else a hash of the leading messages.
// The workspace is part of it, so that two workspaces never share a chat.
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
