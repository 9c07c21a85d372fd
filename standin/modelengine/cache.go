package modelengine

import (
	"encoding/json"
	"hash/fnv"

	lru "github.com/hashicorp/golang-lru/v2"
)

// bytesPerToken stands in for a tokenizer: a message of n bytes has n/bytesPerToken+1 tokens.
const bytesPerToken = 4

// promptDigest identifies a prompt without its text: the hash and the number of tokens of each message, in order.
type promptDigest struct {
	hashes []uint64
	tokens []int
}

func newPromptDigest(messages []json.RawMessage) promptDigest {
	var digest promptDigest
	for _, message := range messages {
		hash := fnv.New64a()
		_, _ = hash.Write(message)
		digest.hashes = append(digest.hashes, hash.Sum64())
		digest.tokens = append(digest.tokens, len(message)/bytesPerToken+1)
	}
	return digest
}

func (p promptDigest) totalTokens() int {
	total := 0
	for _, n := range p.tokens {
		total += n
	}
	return total
}

// sharedTokens returns the number of tokens in the longest prefix of messages that both prompts have in common.
func (p promptDigest) sharedTokens(other promptDigest) int {
	total := 0
	for i := range min(len(p.hashes), len(other.hashes)) {
		if p.hashes[i] != other.hashes[i] {
			break
		}
		total += p.tokens[i]
	}
	return total
}

// event is a change of the cache: Kind is "Stored" or "Evicted", Seq counts up from 1. The load report lists events of kind
// "Evicted" only, in JSON under these field names.
type event struct {
	Seq  uint64
	Kind string
	Chat string
}

// maxEvents bounds the events that are kept; the oldest are dropped first.
const maxEvents = 1024

// prefixCache is an LRU cache of the last prompt of each chat, bounded by tokens. It is not safe for concurrent use.
type prefixCache struct {
	maxTokens, tokens int
	eventDropInterval int
	entries           *lru.Cache[string, promptDigest]
	events            []event
	seq               uint64
}

func newPrefixCache(maxTokens, eventDropInterval int) *prefixCache {
	const maxChats = 1 << 20
	entries, _ := lru.New[string, promptDigest](maxChats)
	return &prefixCache{maxTokens: maxTokens, eventDropInterval: eventDropInterval, entries: entries}
}

// lookUpAndStore returns how many tokens of a chat's prompt were cached, stores the whole prompt and evicts the least
// recently used ones above maxTokens. The prompt that was stored last stays, even if it alone is above maxTokens.
func (c *prefixCache) lookUpAndStore(chat string, digest promptDigest) int {
	cached := 0
	if previous, ok := c.entries.Get(chat); ok {
		cached = previous.sharedTokens(digest)
		c.tokens -= previous.totalTokens()
	}
	c.entries.Add(chat, digest)
	c.tokens += digest.totalTokens()
	c.publish("Stored", chat)
	for c.tokens > c.maxTokens && c.entries.Len() > 1 {
		evicted, old, _ := c.entries.RemoveOldest()
		c.tokens -= old.totalTokens()
		c.publish("Evicted", evicted)
	}
	return cached
}

// publish records an event. Every event takes a sequence number, but each eventDropInterval-th one is left out, so that
// readers of the events see gaps.
func (c *prefixCache) publish(kind, chat string) {
	c.seq++
	if c.eventDropInterval > 0 && c.seq%uint64(c.eventDropInterval) == 0 {
		return
	}
	c.events = append(c.events, event{c.seq, kind, chat})
	if len(c.events) > maxEvents {
		c.events = c.events[len(c.events)-maxEvents:]
	}
}

// eventsAfter returns the events with a sequence number above seq.
func (c *prefixCache) eventsAfter(seq uint64) []event {
	for i, e := range c.events {
		if e.Seq > seq {
			return c.events[i:]
		}
	}
	return nil
}
