// Package caller plays the callers of a fleet: chats that return after pauses, by workspace, with a closing surge.
package caller

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
)

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Chat is one conversation. It takes one turn at a time.
type Chat struct {
	Key      string
	Messages []json.RawMessage
	// Engine is where the last turn was answered.
	Engine string
	turns  int
	busy   bool
}

// bytesPerToken is the tokenizer of the stand-in engines.
const bytesPerToken = 4

// Tokens returns the prompt tokens of the messages before the last one: what a returning chat hopes to find cached.
func (c *Chat) Tokens() int {
	total := 0
	for _, m := range c.Messages[:max(0, len(c.Messages)-1)] {
		total += len(m)/bytesPerToken + 1
	}
	return total
}

// Workspace is a caller's workspace with its chats.
type Workspace struct {
	Name string
	// Share is the workspace's part of the load outside a surge.
	Share float64
	chats []*Chat
	next  int
}

// Config sizes the play.
type Config struct {
	Workspaces []string
	// Chats is how many chats a workspace has open.
	Chats int
	// Turns is after how many turns a chat ends and a new one takes its place.
	Turns int
	// OpeningBytes and TurnBytes size the first message and each later one.
	OpeningBytes, TurnBytes int
}

// Play is the state of all callers. It is not safe for concurrent use.
type Play struct {
	cfg        Config
	random     *rand.Rand
	workspaces []*Workspace
}

// NewPlay returns callers without open chats.
func NewPlay(cfg Config, random *rand.Rand) *Play {
	p := &Play{cfg: cfg, random: random}
	for _, name := range cfg.Workspaces {
		p.workspaces = append(p.workspaces, &Workspace{Name: name, Share: 1 / float64(len(cfg.Workspaces))})
	}
	return p
}

// Turn is one request to send.
type Turn struct {
	Workspace *Workspace
	Chat      *Chat
	// Returning is the prompt tokens that were sent in an earlier turn.
	Returning int
	Body      []byte
}

// Pick chooses who asks next. A surging workspace asks factor times its share.
func (p *Play) Pick(surging int, factor float64, model string, tokens int) (Turn, bool) {
	w := p.pickWorkspace(surging, factor)
	c := p.pickChat(w)
	if c == nil {
		return Turn{}, false
	}
	c.busy = true
	size := p.cfg.TurnBytes
	if len(c.Messages) == 0 {
		size = p.cfg.OpeningBytes
	}
	c.Messages = append(c.Messages, p.message("user", size))
	c.turns++
	body, err := json.Marshal(map[string]any{
		"model": model, "prompt_cache_key": c.Key, "stream": true, "max_tokens": tokens, "messages": c.Messages,
	})
	if err != nil {
		return Turn{}, false
	}
	turn := Turn{Workspace: w, Chat: c, Body: body}
	if c.turns > 1 {
		turn.Returning = c.Tokens()
	}
	return turn, true
}

// Done ends a turn. A failed one is taken back, so that the chat asks again later.
func (p *Play) Done(t Turn, answer string, whole bool) {
	t.Chat.busy = false
	if !whole {
		t.Chat.Messages = t.Chat.Messages[:len(t.Chat.Messages)-1]
		t.Chat.turns--
		return
	}
	encoded, err := json.Marshal(Message{"assistant", answer})
	if err == nil {
		t.Chat.Messages = append(t.Chat.Messages, encoded)
	}
}

func (p *Play) pickWorkspace(surging int, factor float64) *Workspace {
	total := 0.0
	weight := func(i int) float64 {
		if i < surging {
			return p.workspaces[i].Share * factor
		}
		return p.workspaces[i].Share
	}
	for i := range p.workspaces {
		total += weight(i)
	}
	at := p.random.Float64() * total
	for i, w := range p.workspaces {
		if at -= weight(i); at <= 0 {
			return w
		}
	}
	return p.workspaces[len(p.workspaces)-1]
}

func (p *Play) pickChat(w *Workspace) *Chat {
	for len(w.chats) < p.cfg.Chats {
		w.chats = append(w.chats, p.newChat(w))
	}
	for range w.chats {
		i := p.random.IntN(len(w.chats))
		if w.chats[i].busy {
			continue
		}
		if w.chats[i].turns >= p.cfg.Turns {
			w.chats[i] = p.newChat(w)
		}
		return w.chats[i]
	}
	return nil
}

func (p *Play) newChat(w *Workspace) *Chat {
	w.next++
	return &Chat{Key: fmt.Sprintf("%s-%d", w.Name, w.next)}
}

func (p *Play) message(role string, size int) json.RawMessage {
	const letters = "abcdefghijklmnopqrstuvwxyz     "
	var b strings.Builder
	for range size {
		b.WriteByte(letters[p.random.IntN(len(letters))])
	}
	encoded, err := json.Marshal(Message{role, b.String()})
	if err != nil {
		return nil
	}
	return encoded
}
