// Package caller simulates the callers of a fleet. Callers belong to workspaces, each with a fixed number of open chats; a
// request is the next turn of a chat and repeats all its messages, so that engines can reuse their cached prompt prefixes.
// Some workspaces can send more than their share for a while (a surge).
package caller

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
)

// Message is one message of a chat in the JSON form of a chat completion request.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Chat is one conversation. It has at most one request under way.
type Chat struct {
	// Key is sent as the prompt cache key of every turn.
	Key      string
	Messages []json.RawMessage
	// LastEngine is the ID of the engine that answered the last complete turn; empty before the first. This
	// package does not set it; the code that sends the turns does.
	LastEngine string
	turns      int
	busy       bool
}

// bytesPerToken has the value that the simulated engines use in place of a tokenizer.
const bytesPerToken = 4

// ReturningTokens returns the number of prompt tokens in all messages before the last one, the most that a cache can hold.
// The answer to the last turn is among them, although the simulated engines cache prompts only.
func (c *Chat) ReturningTokens() int {
	total := 0
	for _, m := range c.Messages[:max(0, len(c.Messages)-1)] {
		total += len(m)/bytesPerToken + 1
	}
	return total
}

// Workspace is a workspace with its open chats.
type Workspace struct {
	Name string
	// Share is the workspace's fraction of the requests outside a surge; all shares add up to 1.
	Share        float64
	chats        []*Chat
	chatsStarted int
}

// Config holds the parameters of a simulation.
type Config struct {
	Workspaces []string
	// ChatsPerWorkspace is the number of chats that a workspace has open at a time.
	ChatsPerWorkspace int
	// TurnsPerChat is the number of turns after which a chat ends and a new one replaces it.
	TurnsPerChat int
	// OpeningBytes is the size of the first message of a chat, TurnBytes that of each later message of the caller.
	OpeningBytes, TurnBytes int
}

// Simulation holds the state of all callers. It is not safe for concurrent use.
type Simulation struct {
	cfg        Config
	random     *rand.Rand
	workspaces []*Workspace
}

// NewSimulation returns a simulation without open chats, in which all workspaces have the same share. It takes random numbers
// from random, so that runs with the same seed make the same choices if turns finish in the same order.
func NewSimulation(cfg Config, random *rand.Rand) *Simulation {
	s := &Simulation{cfg: cfg, random: random}
	for _, name := range cfg.Workspaces {
		s.workspaces = append(s.workspaces, &Workspace{Name: name, Share: 1 / float64(len(cfg.Workspaces))})
	}
	return s
}

// Turn is one request that is to be sent.
type Turn struct {
	Workspace *Workspace
	Chat      *Chat
	// ReturningTokens is the number of prompt tokens that are not new in this turn; 0 in the first turn of a chat.
	ReturningTokens int
	// Body is the chat completion request in JSON.
	Body []byte
}

// StartTurn chooses a workspace at random by share and one of its chats, and adds a message of the user to it. surgingWorkspaces
// is the number of workspaces, from the first one on, whose shares are multiplied by surgeFactor. StartTurn returns false if it
// found no chat without a request under way; otherwise FinishTurn must be called when the request has ended.
func (s *Simulation) StartTurn(surgingWorkspaces int, surgeFactor float64, model string, maxTokens int) (Turn, bool) {
	w := s.pickWorkspace(surgingWorkspaces, surgeFactor)
	c := s.pickChat(w)
	if c == nil {
		return Turn{}, false
	}
	c.busy = true
	size := s.cfg.TurnBytes
	if len(c.Messages) == 0 {
		size = s.cfg.OpeningBytes
	}
	c.Messages = append(c.Messages, s.randomMessage("user", size))
	c.turns++
	body, err := json.Marshal(map[string]any{
		"model": model, "prompt_cache_key": c.Key, "stream": true, "max_tokens": maxTokens, "messages": c.Messages,
	})
	if err != nil {
		return Turn{}, false
	}
	turn := Turn{Workspace: w, Chat: c, Body: body}
	if c.turns > 1 {
		turn.ReturningTokens = c.ReturningTokens()
	}
	return turn, true
}

// FinishTurn ends a turn with its answer. If the answer is not complete, the message of the user is removed, so that the chat
// repeats the turn later.
func (s *Simulation) FinishTurn(t Turn, answer string, complete bool) {
	t.Chat.busy = false
	if !complete {
		t.Chat.Messages = t.Chat.Messages[:len(t.Chat.Messages)-1]
		t.Chat.turns--
		return
	}
	encoded, err := json.Marshal(Message{"assistant", answer})
	if err == nil {
		t.Chat.Messages = append(t.Chat.Messages, encoded)
	}
}

func (s *Simulation) pickWorkspace(surgingWorkspaces int, surgeFactor float64) *Workspace {
	total := 0.0
	weight := func(i int) float64 {
		if i < surgingWorkspaces {
			return s.workspaces[i].Share * surgeFactor
		}
		return s.workspaces[i].Share
	}
	for i := range s.workspaces {
		total += weight(i)
	}
	remaining := s.random.Float64() * total
	for i, workspace := range s.workspaces {
		if remaining -= weight(i); remaining <= 0 {
			return workspace
		}
	}
	return s.workspaces[len(s.workspaces)-1]
}

// pickChat returns a random chat without a request under way, or nil. It makes as many attempts as there are chats, so it
// may miss one if most of them are busy.
func (s *Simulation) pickChat(w *Workspace) *Chat {
	for len(w.chats) < s.cfg.ChatsPerWorkspace {
		w.chats = append(w.chats, s.newChat(w))
	}
	for range w.chats {
		i := s.random.IntN(len(w.chats))
		if w.chats[i].busy {
			continue
		}
		if w.chats[i].turns >= s.cfg.TurnsPerChat {
			w.chats[i] = s.newChat(w)
		}
		return w.chats[i]
	}
	return nil
}

func (s *Simulation) newChat(w *Workspace) *Chat {
	w.chatsStarted++
	return &Chat{Key: fmt.Sprintf("%s-%d", w.Name, w.chatsStarted)}
}

func (s *Simulation) randomMessage(role string, size int) json.RawMessage {
	const letters = "abcdefghijklmnopqrstuvwxyz     "
	var b strings.Builder
	for range size {
		b.WriteByte(letters[s.random.IntN(len(letters))])
	}
	encoded, err := json.Marshal(Message{role, b.String()})
	if err != nil {
		return nil
	}
	return encoded
}
