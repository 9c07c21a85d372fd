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

// callResult is the response that a caller in a scenario got, or the error. wantText is the expected text of a chat's answer.
type callResult struct {
	status   int
	header   http.Header
	body     string
	err      error
	wantText string
	refusal  struct {
		Error struct {
			Code    string `json:"code"`
			Outcome string `json:"outcome"`
		} `json:"error"`
	}
}

// checkComplete returns an error unless the answer is complete and its text is the one expected for this turn of this chat.
func (r *callResult) checkComplete() error {
	switch {
	case r.err != nil:
		return r.err
	case r.status != http.StatusOK:
		return fmt.Errorf("status %d: %s", r.status, r.body)
	}
	var text string
	if strings.HasPrefix(r.header.Get("Content-Type"), "text/event-stream") {
		if !strings.HasSuffix(r.body, "data: [DONE]\n\n") {
			return fmt.Errorf("stream has no [DONE] marker: %s", r.body)
		}
		text = streamedText(r.body)
	} else {
		var parsed chatResponse
		if err := json.Unmarshal([]byte(r.body), &parsed); err != nil {
			return err
		}
		text = parsed.Choices[0].Message.Content
	}
	if text != r.wantText {
		return fmt.Errorf("answer is %q, want %q", text, r.wantText)
	}
	return nil
}

// streamedText returns the concatenated text of the chunks of an event stream.
func streamedText(stream string) string {
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

// callTimeout bounds one call, with its response.
const callTimeout = 60 * time.Second

func send(target, workspace, idempotencyKey string, body []byte) *callResult {
	result := &callResult{}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(body))
	if err != nil {
		result.err = err
		return result
	}
	r.Close = true
	r.Header.Set("Authorization", "Bearer key-"+workspace)
	if idempotencyKey != "" {
		r.Header.Set("Idempotency-Key", idempotencyKey)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		result.err = err
		return result
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	result.status, result.header, result.body, result.err = response.StatusCode, response.Header, string(content), err
	_ = json.Unmarshal(content, &result.refusal)
	return result
}

func getJSON(target string, into any) error {
	response, err := http.Get(target)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	return json.NewDecoder(response.Body).Decode(into)
}

// startCall runs a call and stores its result under name. With async, it returns at once and join waits for the result.
func (s *scenario) startCall(name string, async bool, call func() *callResult) {
	done := make(chan struct{})
	s.mu.Lock()
	s.finished[name] = done
	s.mu.Unlock()
	runCall := func() {
		result := call()
		s.mu.Lock()
		s.results[name] = result
		s.mu.Unlock()
		close(done)
	}
	if async {
		go runCall()
		return
	}
	runCall()
}

// cmdChat sends one turn of a chat, with turns messages, and stores the result as NAME: chat NAME via=HOST chat=NAME workspace=W
// model=M tokens=N turns=N text=T async stream. The chat has the name NAME too if chat= is missing.
func cmdChat(ts *testscript.TestScript, _ bool, args []string) {
	s := scenarioOf(ts)
	positional, options := splitOptions(args)
	name := positional[0]
	chatName, workspace := name, "gent-depot"
	if value, ok := options["chat"]; ok {
		chatName = value
	}
	if w, ok := options["workspace"]; ok {
		workspace = w
	}
	tokens, turns := intOption(ts, options, "tokens", 16), intOption(ts, options, "turns", 1)
	model := "drum-assistant"
	if m, ok := options["model"]; ok {
		model = m
	}
	request := map[string]any{
		"model": model, "prompt_cache_key": chatName, "max_tokens": tokens, "stream": contains(positional, "stream"),
	}
	var messages []message
	for turn := range turns {
		messages = append(messages, message{"user", fmt.Sprintf("%s turn %d %s", chatName, turn, options["text"])})
	}
	request["messages"] = messages
	body, err := json.Marshal(request)
	ts.Check(err)
	parsed, err := fleetchat.Parse(body)
	ts.Check(err)
	via := s.resolve(options["via"])
	target := "http://" + s.layout.Hosts[s.hostIndex(via)].CallerAddress + "/v1/chat/completions"
	s.recordRequest(name, fmt.Sprintf("%s POST /v1/chat/completions %s %s", via, workspace, body))
	s.startCall(name, contains(positional, "async"), func() *callResult {
		result := send(target, workspace, "", body)
		result.wantText = modelengine.ExpectedText(string(parsed.ID(workspace)), turns, tokens)
		return result
	})
}

func (s *scenario) recordRequest(name, sent string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sentRequests[name] = sent
}

func contains(args []string, wanted string) bool {
	for _, arg := range args {
		if arg == wanted {
			return true
		}
	}
	return false
}

// cmdAct sends a call with an idempotency key, which runs at most once: act NAME via=HOST key=KEY async. Calls with the same KEY
// send the same idempotency key; the default is NAME.
func cmdAct(ts *testscript.TestScript, _ bool, args []string) {
	s := scenarioOf(ts)
	positional, options := splitOptions(args)
	name := positional[0]
	keyName := name
	if k, ok := options["key"]; ok {
		keyName = k
	}
	key := s.idempotencyKey(keyName)
	via := s.resolve(options["via"])
	target := "http://" + s.layout.Hosts[s.hostIndex(via)].CallerAddress + "/returns/confirm"
	s.recordRequest(name, fmt.Sprintf("%s POST /returns/confirm gent-depot %s", via, key))
	s.startCall(name, contains(positional, "async"), func() *callResult {
		return send(target, "gent-depot", key, []byte(`{"drums":40}`))
	})
}

// idempotencyKey returns the idempotency key of a name in the script. It is generated at the first use of the name.
func (s *scenario) idempotencyKey(name string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.keys[name] == "" {
		generated, err := uuid.NewV7()
		s.ts.Check(err)
		s.keys[name] = generated.String()
	}
	return s.keys[name]
}

// cmdJoin waits until calls that were started with async have their results: join NAME...
func cmdJoin(ts *testscript.TestScript, _ bool, args []string) {
	s := scenarioOf(ts)
	for _, name := range args {
		s.mu.Lock()
		done := s.finished[name]
		s.mu.Unlock()
		if done == nil {
			ts.Fatalf("no call named %s was started", name)
		}
		<-done
	}
}

// cmdExpect checks results: expect whole NAME..., status NAME N, outcome NAME O, code NAME C, runs KEY N, same-engine NAME NAME,
// crashes N (of all engines together), most-running N (at most N requests in any engine at a time, queued ones included).
func cmdExpect(ts *testscript.TestScript, neg bool, args []string) {
	s := scenarioOf(ts)
	s.mu.Lock()
	defer s.mu.Unlock()
	resultOf := func(name string) *callResult {
		result := s.results[name]
		if result == nil {
			ts.Fatalf("no result of a call named %s", name)
		}
		return result
	}
	var failure error
	switch args[0] {
	case "whole":
		for _, name := range args[1:] {
			if err := resultOf(name).checkComplete(); err != nil {
				failure = fmt.Errorf("%s: %w", name, err)
			}
		}
	case "status":
		failure = checkEqual(strconv.Itoa(resultOf(args[1]).status), args[2], resultOf(args[1]))
	case "outcome":
		failure = checkEqual(resultOf(args[1]).refusal.Error.Outcome, args[2], resultOf(args[1]))
	case "code":
		failure = checkEqual(resultOf(args[1]).refusal.Error.Code, args[2], resultOf(args[1]))
	case "runs":
		failure = checkEqual(strconv.Itoa(s.running.RunCounter.Count(s.keys[args[1]])), args[2], nil)
	case "same-engine":
		failure = checkEqual(resultOf(args[1]).header.Get("Balsamknot-Endpoint"), resultOf(args[2]).header.Get("Balsamknot-Endpoint"), nil)
	case "crashes":
		crashes := 0
		for _, e := range s.running.Engines {
			crashes += int(e.Stats().Crashes)
		}
		failure = checkEqual(strconv.Itoa(crashes), args[1], nil)
	case "most-running":
		limit, err := strconv.ParseInt(args[1], 10, 64)
		ts.Check(err)
		for _, e := range s.running.Engines {
			if n := e.Stats().MostRunning; n > limit {
				failure = fmt.Errorf("an engine had %d requests at a time", n)
			}
		}
	default:
		ts.Fatalf("unknown expectation %s", args[0])
	}
	if (failure != nil) != neg {
		ts.Fatalf("expect %v: %v", args, failure)
	}
}

func checkEqual(got, want string, result *callResult) error {
	if got == want {
		return nil
	}
	if result != nil {
		return fmt.Errorf("got %q, want %q: %d %s: %w", got, want, result.status, result.body, result.err)
	}
	return fmt.Errorf("got %q, want %q", got, want)
}

// cmdStorm sends many calls with idempotency keys and resends each through all hosts of the site, dead ones included: storm NAME
// calls=N seed=N pause=D async. The script can inject faults meanwhile. storm check NAME compares the results with the number of
// runs that the simulated runners counted.
func cmdStorm(ts *testscript.TestScript, _ bool, args []string) {
	s := scenarioOf(ts)
	positional, options := splitOptions(args)
	if positional[0] == "check" {
		s.checkStorm(positional[1])
		return
	}
	name := positional[0]
	calls := intOption(ts, options, "calls", 50)
	random := rand.New(rand.NewPCG(uint64(intOption(ts, options, "seed", 1)), 1))
	var targets []string
	for _, h := range s.layout.Hosts {
		targets = append(targets, "http://"+h.CallerAddress+"/returns/confirm")
	}
	pause := durationOption(ts, options, "pause", 20*time.Millisecond)
	hostOrders := make([][]int, calls)
	for i := range hostOrders {
		hostOrders[i] = random.Perm(len(targets))
	}
	s.startCall(name, contains(positional, "async"), func() *callResult {
		var wg sync.WaitGroup
		for i := range calls {
			wg.Go(func() { s.sendUntilDone(fmt.Sprintf("%s-%d", name, i), targets, hostOrders[i]) })
			time.Sleep(pause)
		}
		wg.Wait()
		return &callResult{status: http.StatusOK}
	})
}

// sendUntilDone sends a call through two hosts at once, then through each host one after another until one answers 200. It stores
// the last result, or the first with status 200. A refusal with NotRun whose status is not 400 is also stored separately, so that
// checkStorm can compare it with the number of runs.
func (s *scenario) sendUntilDone(name string, targets []string, hostOrder []int) {
	key := s.idempotencyKey(name)
	record := func(result *callResult) bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		previous := s.results[name]
		if previous == nil || previous.status != http.StatusOK {
			s.results[name] = result
		}
		if result.refusal.Error.Outcome == "NotRun" && result.status != http.StatusBadRequest {
			s.results[name+"/NotRun"] = result
		}
		return result.status == http.StatusOK
	}
	var wg sync.WaitGroup
	for _, host := range hostOrder[:min(2, len(hostOrder))] {
		wg.Go(func() { record(send(targets[host], "gent-depot", key, []byte(`{"drums":40}`))) })
	}
	wg.Wait()
	for _, host := range hostOrder {
		if record(send(targets[host], "gent-depot", key, []byte(`{"drums":40}`))) {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// checkStorm compares each call's results with the number of its runs: at most 1 always, exactly 1 if a caller got status 200, 0
// if a caller was refused with NotRun. It logs how many calls had which outcome.
func (s *scenario) checkStorm(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	doneCount, unknownCount, notRunCount := 0, 0, 0
	for keyName, key := range s.keys {
		if !strings.HasPrefix(keyName, name+"-") {
			continue
		}
		runs := s.running.RunCounter.Count(key)
		result := s.results[keyName]
		switch {
		case runs > 1:
			s.ts.Fatalf("%s ran %d times", keyName, runs)
		case s.results[keyName+"/NotRun"] != nil && runs != 0:
			s.ts.Fatalf("%s was refused with outcome NotRun, but ran: %s", keyName, s.results[keyName+"/NotRun"].body)
		case result != nil && result.status == http.StatusOK && runs != 1:
			s.ts.Fatalf("%s got status 200, but ran %d times", keyName, runs)
		case result != nil && result.status == http.StatusOK:
			doneCount++
		case s.results[keyName+"/NotRun"] != nil:
			notRunCount++
		default:
			unknownCount++
		}
	}
	s.ts.Logf("storm %s: %d done, %d not run, %d unknown", name, doneCount, notRunCount, unknownCount)
}
