package modelengine

import (
	"encoding/json"
	"hash/fnv"

	lru "github.com/hashicorp/golang-lru/v2"
)

// bytesPerToken is the stand-in's tokenizer.
const bytesPerToken = 4

// prefix is a cached prompt: the hash and size of each message from the start.
type prefix struct {
	hashes []uint64
	tokens []int
}

func newPrefix(messages []json.RawMessage) prefix {
	var p prefix
	for _, message := range messages {
		hash := fnv.New64a()
		_, _ = hash.Write(message)
		p.hashes = append(p.hashes, hash.Sum64())
		p.tokens = append(p.tokens, len(message)/bytesPerToken+1)
	}
	return p
}

func (p prefix) size() int {
	total := 0
	for _, n := range p.tokens {
		total += n
	}
	return total
}

// shared returns the tokens of the messages that both begin with.
func (p prefix) shared(other prefix) int {
	total := 0
	for i := range min(len(p.hashes), len(other.hashes)) {
		if p.hashes[i] != other.hashes[i] {
			break
		}
		total += p.tokens[i]
	}
	return total
}

// event is one change of the cache as it is published.
type event struct {
	Seq  uint64
	Kind string
	Chat string
}

const eventsKept = 1024

// prefixCache holds prompts by chat, least recently used first out. It is not safe for concurrent use.
type prefixCache struct {
	limit, tokens int
	gap           int
	entries       *lru.Cache[string, prefix]
	events        []event
	seq           uint64
}

func newPrefixCache(limit, gap int) *prefixCache {
	const mostChats = 1 << 20
	entries, _ := lru.New[string, prefix](mostChats)
	return &prefixCache{limit: limit, gap: gap, entries: entries}
}

// use returns how many tokens of a prompt were cached, and caches all of it.
func (c *prefixCache) use(chat string, p prefix) int {
	cached := 0
	if old, ok := c.entries.Get(chat); ok {
		cached = old.shared(p)
		c.tokens -= old.size()
	}
	c.entries.Add(chat, p)
	c.tokens += p.size()
	c.publish("Stored", chat)
	for c.tokens > c.limit && c.entries.Len() > 1 {
		evicted, old, _ := c.entries.RemoveOldest()
		c.tokens -= old.size()
		c.publish("Evicted", evicted)
	}
	return cached
}

func (c *prefixCache) publish(kind, chat string) {
	c.seq++
	if c.gap > 0 && c.seq%uint64(c.gap) == 0 {
		return
	}
	c.events = append(c.events, event{c.seq, kind, chat})
	if len(c.events) > eventsKept {
		c.events = c.events[len(c.events)-eventsKept:]
	}
}

// after returns the events above seq.
func (c *prefixCache) after(seq uint64) []event {
	for i, e := range c.events {
		if e.Seq > seq {
			return c.events[i:]
		}
	}
	return nil
}
