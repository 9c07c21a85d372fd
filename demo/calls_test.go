package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/rogpeppe/go-internal/testscript"

	fleetchat "balsamknot.org/fleet/chat"
	"balsamknot.org/standin/modelengine"
)

// answer is what a caller of a scenario met.
type answer struct {
	status  int
	header  http.Header
	body    string
	err     error
	want    string
	refusal struct {
		Error struct {
			Code    string `json:"code"`
			Outcome string `json:"outcome"`
		} `json:"error"`
	}
}

// whole reports whether a chat's answer is complete and the chat's own.
func (a *answer) whole() error {
	switch {
	case a.err != nil:
		return a.err
	case a.status != http.StatusOK:
		return fmt.Errorf("status %d: %s", a.status, a.body)
	}
	var text string
	if strings.HasPrefix(a.header.Get("Content-Type"), "text/event-stream") {
		if !strings.HasSuffix(a.body, "data: [DONE]\n\n") {
			return fmt.Errorf("no end marker: %s", a.body)
		}
		text = eventText(a.body)
	} else {
		var parsed chatAnswer
		if err := json.Unmarshal([]byte(a.body), &parsed); err != nil {
			return err
		}
		text = parsed.Choices[0].Message.Content
	}
	if text != a.want {
		return fmt.Errorf("answer is %q, want %q", text, a.want)
	}
	return nil
}

func eventText(stream string) string {
	var text strings.Builder
	for _, line := range strings.Split(stream, "\n") {
		var chunk struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if ok && json.Unmarshal([]byte(data), &chunk) == nil && len(chunk.Choices) > 0 {
			text.WriteString(chunk.Choices[0].Delta.Content)
		}
	}
	return text.String()
}

const callTimeout = 60 * time.Second

func send(target, workspace, key string, body []byte) *answer {
	a := &answer{}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	r.Close = true
	r.Header.Set("Authorization", "Bearer key-"+workspace)
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		a.err = err
		return a
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	a.status, a.header, a.body, a.err = response.StatusCode, response.Header, string(content), err
	_ = json.Unmarshal(content, &a.refusal)
	return a
}

func getJSON(target string, into any) error {
	response, err := http.Get(target)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	return json.NewDecoder(response.Body).Decode(into)
}

// run starts a call under a name, in the background where the script says async.
func (s *scene) run(name string, async bool, call func() *answer) {
	done := make(chan struct{})
	s.mu.Lock()
	s.pending[name] = done
	s.mu.Unlock()
	work := func() {
		a := call()
		s.mu.Lock()
		s.answers[name] = a
		s.mu.Unlock()
		close(done)
	}
	if async {
		go work()
		return
	}
	work()
}

// cmdChat sends one turn of a chat: chat NAME via=HOST tokens=N turns=N text=T async stream.
func cmdChat(ts *testscript.TestScript, _ bool, args []string) {
	s := sceneOf(ts)
	rest, named := options(args)
	name := rest[0]
	id, workspace := name, "gent-depot"
	if chatName, ok := named["chat"]; ok {
		id = chatName
	}
	if w, ok := named["workspace"]; ok {
		workspace = w
	}
	tokens, turns := number(ts, named, "tokens", 16), number(ts, named, "turns", 1)
	model := "drum-assistant"
	if m, ok := named["model"]; ok {
		model = m
	}
	request := map[string]any{
		"model": model, "prompt_cache_key": id, "max_tokens": tokens, "stream": has(rest, "stream"),
	}
	var messages []message
	for turn := range turns {
		messages = append(messages, message{"user", fmt.Sprintf("%s turn %d %s", id, turn, named["text"])})
	}
	request["messages"] = messages
	body, err := json.Marshal(request)
	ts.Check(err)
	parsed, err := fleetchat.Parse(body)
	ts.Check(err)
	via := s.resolve(named["via"])
	target := "http://" + s.layout.Hosts[s.hostIndex(via)].CallerAddress + "/v1/chat/completions"
	s.note(name, fmt.Sprintf("%s POST /v1/chat/completions %s %s", via, workspace, body))
	s.run(name, has(rest, "async"), func() *answer {
		a := send(target, workspace, "", body)
		a.want = modelengine.ExpectedText(string(parsed.ID(workspace)), turns, tokens)
		return a
	})
}

func (s *scene) note(name, sent string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent[name] = sent
}

func has(args []string, word string) bool {
	for _, arg := range args {
		if arg == word {
			return true
		}
	}
	return false
}

// cmdAct sends a call that may run once: act NAME via=HOST key=NAME async.
func cmdAct(ts *testscript.TestScript, _ bool, args []string) {
	s := sceneOf(ts)
	rest, named := options(args)
	name := rest[0]
	keyName := name
	if k, ok := named["key"]; ok {
		keyName = k
	}
	key := s.key(keyName)
	via := s.resolve(named["via"])
	target := "http://" + s.layout.Hosts[s.hostIndex(via)].CallerAddress + "/returns/confirm"
	s.note(name, fmt.Sprintf("%s POST /returns/confirm gent-depot %s", via, key))
	s.run(name, has(rest, "async"), func() *answer {
		return send(target, "gent-depot", key, []byte(`{"drums":40}`))
	})
}

// key returns the idempotency key of a name, minted at first use.
func (s *scene) key(name string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.keys[name] == "" {
		minted, err := uuid.NewV7()
		s.ts.Check(err)
		s.keys[name] = minted.String()
	}
	return s.keys[name]
}

// cmdJoin waits for calls in the background: join NAME...
func cmdJoin(ts *testscript.TestScript, _ bool, args []string) {
	s := sceneOf(ts)
	for _, name := range args {
		s.mu.Lock()
		done := s.pending[name]
		s.mu.Unlock()
		if done == nil {
			ts.Fatalf("no call %s", name)
		}
		<-done
	}
}

// cmdExpect checks: expect whole NAME..., status NAME N, outcome NAME O, runs KEY N, same-engine A B, crashes N, most-running N.
func cmdExpect(ts *testscript.TestScript, neg bool, args []string) {
	s := sceneOf(ts)
	s.mu.Lock()
	defer s.mu.Unlock()
	get := func(name string) *answer {
		a := s.answers[name]
		if a == nil {
			ts.Fatalf("no answer %s", name)
		}
		return a
	}
	var failure error
	switch args[0] {
	case "whole":
		for _, name := range args[1:] {
			if err := get(name).whole(); err != nil {
				failure = fmt.Errorf("%s: %w", name, err)
			}
		}
	case "status":
		failure = differ(strconv.Itoa(get(args[1]).status), args[2], get(args[1]))
	case "outcome":
		failure = differ(get(args[1]).refusal.Error.Outcome, args[2], get(args[1]))
	case "code":
		failure = differ(get(args[1]).refusal.Error.Code, args[2], get(args[1]))
	case "runs":
		failure = differ(strconv.Itoa(s.running.RunCounter.Count(s.keys[args[1]])), args[2], nil)
	case "same-engine":
		failure = differ(get(args[1]).header.Get("Balsamknot-Endpoint"), get(args[2]).header.Get("Balsamknot-Endpoint"), nil)
	case "crashes":
		crashes := 0
		for _, e := range s.running.Engines {
			crashes += int(e.Stats().Crashes)
		}
		failure = differ(strconv.Itoa(crashes), args[1], nil)
	case "most-running":
		most, err := strconv.ParseInt(args[1], 10, 64)
		ts.Check(err)
		for _, e := range s.running.Engines {
			if n := e.Stats().MostRunning; n > most {
				failure = fmt.Errorf("an engine held %d requests", n)
			}
		}
	default:
		ts.Fatalf("unknown expectation %s", args[0])
	}
	if (failure != nil) != neg {
		ts.Fatalf("expect %v: %v", args, failure)
	}
}

func differ(got, want string, a *answer) error {
	if got == want {
		return nil
	}
	if a != nil {
		return fmt.Errorf("got %q, want %q: %d %s: %w", got, want, a.status, a.body, a.err)
	}
	return fmt.Errorf("got %q, want %q", got, want)
}

// cmdStorm sends keyed calls through every live host with resends, while a fault is going on in another line of the
// script, and checks each answer against the stand-in's own count: storm NAME calls=N seed=N async, storm check NAME.
func cmdStorm(ts *testscript.TestScript, _ bool, args []string) {
	s := sceneOf(ts)
	rest, named := options(args)
	if rest[0] == "check" {
		s.checkStorm(rest[1])
		return
	}
	name := rest[0]
	calls := number(ts, named, "calls", 50)
	random := rand.New(rand.NewPCG(uint64(number(ts, named, "seed", 1)), 1))
	var targets []string
	for _, h := range s.layout.Hosts {
		targets = append(targets, "http://"+h.CallerAddress+"/returns/confirm")
	}
	pause := span(ts, named, "pause", 20*time.Millisecond)
	order := make([][]int, calls)
	for i := range order {
		order[i] = random.Perm(len(targets))
	}
	s.run(name, has(rest, "async"), func() *answer {
		var wg sync.WaitGroup
		for i := range calls {
			wg.Go(func() { s.resend(fmt.Sprintf("%s-%d", name, i), targets, order[i]) })
			time.Sleep(pause)
		}
		wg.Wait()
		return &answer{status: http.StatusOK}
	})
}

// resend sends one key through two hosts at once and then through the others until it is done or refused for good.
func (s *scene) resend(name string, targets []string, order []int) {
	key := s.key(name)
	keep := func(a *answer) bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		old := s.answers[name]
		if old == nil || old.status != http.StatusOK {
			s.answers[name] = a
		}
		if a.refusal.Error.Outcome == "NotRun" && a.status != http.StatusBadRequest {
			s.answers[name+"/NotRun"] = a
		}
		return a.status == http.StatusOK
	}
	var wg sync.WaitGroup
	for _, target := range order[:min(2, len(order))] {
		wg.Go(func() { keep(send(targets[target], "gent-depot", key, []byte(`{"drums":40}`))) })
	}
	wg.Wait()
	for _, target := range order {
		if keep(send(targets[target], "gent-depot", key, []byte(`{"drums":40}`))) {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// checkStorm compares every answer with the stand-in's count: never 2, 1 where the caller was answered, 0 where it was
// told NotRun. It reports the shares.
func (s *scene) checkStorm(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	done, unknown, notRun := 0, 0, 0
	for keyName, key := range s.keys {
		if !strings.HasPrefix(keyName, name+"-") {
			continue
		}
		runs := s.running.RunCounter.Count(key)
		a := s.answers[keyName]
		switch {
		case runs > 1:
			s.ts.Fatalf("%s ran %d times", keyName, runs)
		case s.answers[keyName+"/NotRun"] != nil && runs != 0:
			s.ts.Fatalf("%s was refused as not run and ran: %s", keyName, s.answers[keyName+"/NotRun"].body)
		case a != nil && a.status == http.StatusOK && runs != 1:
			s.ts.Fatalf("%s was answered and ran %d times", keyName, runs)
		case a != nil && a.status == http.StatusOK:
			done++
		case s.answers[keyName+"/NotRun"] != nil:
			notRun++
		default:
			unknown++
		}
	}
	s.ts.Logf("storm %s: %d done, %d not run, %d unknown", name, done, notRun, unknown)
}
