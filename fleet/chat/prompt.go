package chat

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// PartID identifies a part of a prompt. Requests whose prompts begin with the same parts can share KV cache entries.
type PartID uint64

// Part is a section of a prompt.
type Part struct {
	ID     PartID
	Tokens int
}

// Prompt describes a prompt by the lengths and IDs of its parts, without the text.
type Prompt struct {
	Model string
	// Tokens is the length of the whole prompt; MaxOutputTokens limits the length of the generated answer.
	Tokens, MaxOutputTokens int
	// Parts are in the order of the prompt. The last one belongs to a single request or session; those before it may be
	// shared with other prompts.
	Parts []Part
}

// ParsePartID returns the ID for the name of a part: its value if it is a hexadecimal number of at most 64 bits, otherwise
// a hash.
func ParsePartID(name string) PartID {
	if id, err := strconv.ParseUint(name, 16, 64); err == nil {
		return PartID(id)
	}
	return PartID(xxhash.Sum64String(name))
}

// SharedParts returns the parts that other prompts may share: all but the last.
func (p Prompt) SharedParts() []Part {
	if len(p.Parts) == 0 {
		return nil
	}
	return p.Parts[:len(p.Parts)-1]
}

// CachedParts returns the parts that are worth recording as cached at an engine that ran the prompt: the shared ones, or the only one.
func (p Prompt) CachedParts() []Part {
	if len(p.Parts) == 1 {
		return p.Parts
	}
	return p.SharedParts()
}

// SharedPrefix returns the ID of the last part that a prompt may share with others, which stands for the whole shared
// prefix; 0 when there is none.
func (p Prompt) SharedPrefix() PartID {
	if len(p.Parts) < 2 {
		return 0
	}
	return p.Parts[len(p.Parts)-2].ID
}

// LastSharedPartTokens returns the length of the last part that a prompt may share with others; 0 when there is none.
func (p Prompt) LastSharedPartTokens() int {
	if len(p.Parts) < 2 {
		return 0
	}
	return p.Parts[len(p.Parts)-2].Tokens
}
