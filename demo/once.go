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

type chatResponse struct {
	Choices []struct {
		Message message `json:"message"`
	} `json:"choices"`
}

// runOnce sends two turns of a chat through different nodes and one confirmation through two nodes. It fails unless the same
// engine answered both turns and the confirmation ran once.
func (d *demo) runOnce(ctx context.Context) error {
	request := chatRequest{
		Model: "drum-assistant", PromptCacheKey: "dossier-7",
		Messages: []message{{"user", "Draft a hazardous-goods return dossier for 40 drums."}},
	}
	firstEngine, err := d.sendChat(ctx, 0, &request)
	if err != nil {
		return err
	}
	secondEngine, err := d.sendChat(ctx, 1, &request)
	if err != nil {
		return err
	}
	if firstEngine != secondEngine {
		return fmt.Errorf("the turns of a chat went to different engines: %s, then %s", firstEngine, secondEngine)
	}
	return d.sendConfirmation(ctx)
}

// sendChat sends one turn, adds the answer and the user's next message to request, and returns the engine that answered.
func (d *demo) sendChat(ctx context.Context, host int, request *chatRequest) (engineID string, err error) {
	body, err := json.Marshal(request)
	if err != nil {
		return "", err
	}
	response, err := d.post(ctx, host, "/v1/chat/completions", body, "")
	if err != nil {
		return "", err
	}
	var decoded chatResponse
	if err := json.Unmarshal(response.body, &decoded); err != nil || len(decoded.Choices) == 0 {
		return "", fmt.Errorf("chat: status %d: %s", response.status, response.body)
	}
	request.Messages = append(request.Messages, decoded.Choices[0].Message, message{"user", "And the next one?"})
	engineID = response.header.Get("Balsamknot-Endpoint")
	fmt.Printf("chat through %s: %s, kept by %s, %s cached prompt tokens\n", d.site.Hosts[host].ID, engineID,
		response.header.Get("Balsamknot-Keeper"), response.header.Get("Cached-Tokens"))
	return engineID, nil
}

// sendConfirmation sends one pickup confirmation with the same idempotency key through two nodes, and returns an error unless
// it ran once.
func (d *demo) sendConfirmation(ctx context.Context) error {
	key, err := uuid.NewV7()
	if err != nil {
		return err
	}
	for host := range 2 {
		response, err := d.post(ctx, host, "/returns/pickups/4711/confirm", []byte(`{"drums":40}`), key.String())
		if err != nil {
			return err
		}
		if response.status != http.StatusOK {
			return fmt.Errorf("confirmation: status %d: %s", response.status, response.body)
		}
		fmt.Printf("confirmation through %s: home %s, %s", d.site.Hosts[host].ID, response.header.Get("Balsamknot-Home"), response.body)
	}
	if runs := d.running.RunCounter.Count(key.String()); runs != 1 {
		return fmt.Errorf("the confirmation ran %d times", runs)
	}
	fmt.Println("the confirmation ran once")
	return nil
}

// requestTimeout bounds one request of the demo, with its response.
const requestTimeout = 20 * time.Second

// httpResponse is a response to a caller, with its body read to the end.
type httpResponse struct {
	status int
	header http.Header
	body   []byte
}

func (d *demo) post(ctx context.Context, host int, path string, body []byte, key string) (httpResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	target := "http://" + d.site.Hosts[host].CallerAddress + path
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(body))
	if err != nil {
		return httpResponse{}, err
	}
	r.Header.Set("Authorization", "Bearer key-gent-depot")
	r.Header.Set("Content-Type", "application/json")
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return httpResponse{}, errors.Join(errors.New("no response from "+target), err)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return httpResponse{response.StatusCode, response.Header, content}, err
}
