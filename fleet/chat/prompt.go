package chat

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// PartID names a part of a prompt; requests whose prompts begin with the same parts share their KV cache.
type PartID uint64

// Part is a stretch of a prompt.
type Part struct {
	ID PartID
	// Tokens is its length.
	Tokens int
}

// Prompt is what a request says of its prompt without showing it.
type Prompt struct {
	Model string
	// Tokens is the length of the whole prompt; Output bounds what is generated.
	Tokens, Output int
	// Parts are in order; the last belongs to the request or to its session alone.
	Parts []Part
}

// ParsePartID reads a part's name, mostly hexadecimal digits; other names are hashed.
func ParsePartID(name string) PartID {
	if id, err := strconv.ParseUint(name, 16, 64); err == nil {
		return PartID(id)
	}
	return PartID(xxhash.Sum64String(name))
}

// Subject is the last part that a prompt shares with others; 0 when it shares none.
func (p Prompt) Subject() PartID {
	if len(p.Parts) < 2 {
		return 0
	}
	return p.Parts[len(p.Parts)-2].ID
}

// SubjectTokens is the length of the last part that a prompt shares with others; 0 when it shares none.
func (p Prompt) SubjectTokens() int {
	if len(p.Parts) < 2 {
		return 0
	}
	return p.Parts[len(p.Parts)-2].Tokens
}
