package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/google/uuid"
)

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatRequest struct {
	Model          string    `json:"model"`
	Messages       []message `json:"messages"`
	PromptCacheKey string    `json:"prompt_cache_key"`
}

type chatAnswer struct {
	Choices []struct {
		Message message `json:"message"`
	} `json:"choices"`
}

// once sends a chat that returns through another node, and one confirmation twice, and checks what each met.
func (d *demo) once(ctx context.Context) error {
	request := chatRequest{
		Model: "drum-assistant", PromptCacheKey: "dossier-7",
		Messages: []message{{"user", "Draft a hazardous-goods return dossier for 40 drums."}},
	}
	first, err := d.chat(ctx, 0, &request)
	if err != nil {
		return err
	}
	second, err := d.chat(ctx, 1, &request)
	if err != nil {
		return err
	}
	if first != second {
		return fmt.Errorf("the chat met %s and then %s", first, second)
	}
	return d.confirm(ctx)
}

// chat sends one turn and returns the engine that it met.
func (d *demo) chat(ctx context.Context, host int, request *chatRequest) (engine string, err error) {
	body, err := json.Marshal(request)
	if err != nil {
		return "", err
	}
	met, err := d.post(ctx, host, "/v1/chat/completions", body, "")
	if err != nil {
		return "", err
	}
	var answer chatAnswer
	if err := json.Unmarshal(met.body, &answer); err != nil || len(answer.Choices) == 0 {
		return "", fmt.Errorf("chat: status %d: %s", met.status, met.body)
	}
	request.Messages = append(request.Messages, answer.Choices[0].Message, message{"user", "And the next one?"})
	engine = met.header.Get("Balsamknot-Endpoint")
	fmt.Printf("chat through %s: %s, kept by %s, %s cached prompt tokens\n", d.site.Hosts[host].ID, engine,
		met.header.Get("Balsamknot-Keeper"), met.header.Get("Cached-Tokens"))
	return engine, nil
}

// confirm sends one pickup confirmation through two nodes; it must run once.
func (d *demo) confirm(ctx context.Context) error {
	key, err := uuid.NewV7()
	if err != nil {
		return err
	}
	for host := range 2 {
		met, err := d.post(ctx, host, "/returns/pickups/4711/confirm", []byte(`{"drums":40}`), key.String())
		if err != nil {
			return err
		}
		if met.status != http.StatusOK {
			return fmt.Errorf("confirmation: status %d: %s", met.status, met.body)
		}
		fmt.Printf("confirmation through %s: home %s, %s", d.site.Hosts[host].ID, met.header.Get("Balsamknot-Home"), met.body)
	}
	if runs := d.running.RunCounter.Count(key.String()); runs != 1 {
		return fmt.Errorf("the confirmation ran %d times", runs)
	}
	fmt.Println("the confirmation ran once")
	return nil
}

const requestTimeout = 20 * time.Second

// met is an answer as the caller got it.
type met struct {
	status int
	header http.Header
	body   []byte
}

func (d *demo) post(ctx context.Context, host int, path string, body []byte, key string) (met, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	target := "http://" + d.site.Hosts[host].CallerAddress + path
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(body))
	if err != nil {
		return met{}, err
	}
	r.Header.Set("Authorization", "Bearer key-gent-depot")
	r.Header.Set("Content-Type", "application/json")
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return met{}, errors.Join(errors.New("no answer from "+target), err)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return met{response.StatusCode, response.Header, content}, err
}
