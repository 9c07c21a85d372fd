package node

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"balsamknot.org/balsamknot/settings"
	"balsamknot.org/fleet/claim"
	"balsamknot.org/fleet/engine"
	"balsamknot.org/fleet/host"
	"balsamknot.org/fleet/object"
	"balsamknot.org/fleet/revision"
	"balsamknot.org/fleet/timer"
	"balsamknot.org/fleet/wire"
)

const testSet = `
[Policy p]
LoadFactor = 1.5
Deadline = 1s
[EnginePool engines]
[EnginePool runners]
[Service assistant]
Pool = engines
Policy = p
Model = m
[Service returns]
Pool = runners
Policy = p
Path = /returns/
[Service archive]
Pool = runners
Policy = p
Path = /archive/
[Workspace gent]
KeyHash = 33f1d17f9b5ffbbbdb1fddb0ccc27ed7c9ac1b02e7e1b8ea3c2a4a1b0e2a8d2e
Services = assistant, returns
`

// newTestNode returns a node without listeners, with testSet in force and itself as the only host.
func newTestNode(t testing.TB) *Node {
	t.Helper()
	s := settings.Default()
	s.Host, s.Region, s.DataCentre = "host-1", "r", "d"
	s.FleetKey = []byte("0123456789abcdef")
	s.PlatformAddress = "127.0.0.1:1"
	timers := timer.New()
	t.Cleanup(timers.Stop)
	n, err := New(Config{Settings: s, Log: zerolog.Nop(), Timers: timers})
	require.NoError(t, err)
	t.Cleanup(func() { n.work.Wait() })
	hash := bearerKeyHash("key")
	value := strings.Replace(testSet, "33f1d17f9b5ffbbbdb1fddb0ccc27ed7c9ac1b02e7e1b8ea3c2a4a1b0e2a8d2e", hash, 1)
	n.documents.offer(revision.Document{Name: revision.DocumentHosts, Number: 1, Value: []byte(`{"Hosts":[{"ID":"host-1","Region":"r"}]}`)}, "test")
	n.documents.offer(revision.Document{Name: revision.DocumentEndpoints, Number: 1, Value: []byte(`{"Endpoints":[]}`)}, "test")
	n.documents.offer(revision.Document{Name: revision.DocumentSet, Number: 1, Value: []byte(value)}, "test")
	return n
}

// doRequest sends a caller's request to the handler with the workspace's key and returns the status, the refusal in the body, if
// any, and the headers. header holds names and values in turn.
func doRequest(n *Node, method, path, body string, header ...string) (int, refusalBody, http.Header) {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer key")
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	w := httptest.NewRecorder()
	n.callerHandler().ServeHTTP(w, r)
	var refusal refusalBody
	_ = json.Unmarshal(w.Body.Bytes(), &refusal)
	return w.Code, refusal, w.Header()
}

func TestInvalidRequestGetsSpecificRefusal(t *testing.T) {
	t.Parallel()
	n := newTestNode(t)
	n.ready.Store(true)
	tests := []struct {
		name, method, path, body string
		header                   []string
		status                   int
		code, message            string
	}{
		{"unknown workspace", "POST", chatPath, "{}", []string{"Authorization", "Bearer other"}, 401, "UnknownWorkspace", "bearer key"},
		{"no bearer key", "POST", chatPath, "{}", []string{"Authorization", ""}, 401, "UnknownWorkspace", ""},
		{"malformed JSON", "POST", chatPath, "{", nil, 400, "MalformedRequest", "not a chat completion request"},
		{"missing field", "POST", chatPath, `{"model":"m"}`, nil, 400, "MalformedRequest", "field messages"},
		{"unknown model", "POST", chatPath, `{"model":"x","messages":[{}]}`, nil, 404, "UnknownService", "model x"},
		{"too large", "POST", chatPath, strings.Repeat(" ", maxBodyBytes+1), nil, 413, "BodyTooLarge", "limit of 4194304 bytes"},
		{"unknown path", "GET", "/nowhere", "", nil, 404, "UnknownService", "path /nowhere"},
		{"service not listed by the workspace", "GET", "/archive/x", "", nil, 403, "ServiceNotAllowed", "does not list service archive"},
		{"no idempotency key", "POST", "/returns/x", "", nil, 400, "IdempotencyKeyRequired", "UUIDv7"},
		{"not a UUIDv7", "POST", "/returns/x", "", []string{"Idempotency-Key", "order-7"}, 400, "IdempotencyKeyMalformed", "UUIDv7"},
		{"no endpoint", "GET", "/returns/x", "", nil, 503, "NoEndpoint", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			status, refusal, _ := doRequest(n, tt.method, tt.path, tt.body, tt.header...)
			require.Equal(t, tt.status, status)
			require.EqualValues(t, tt.code, refusal.Error.Code)
			require.Contains(t, refusal.Error.Message, tt.message)
			require.EqualValues(t, "NotRun", refusal.Error.Outcome)
		})
	}
}

// Guards against a false NotRun: while this host refuses a call with an idempotency key by its own view, another host with
// another view may run a copy of it. The refusal must have the outcome Unknown.
func TestEntryRefusesKeyedCallWithOutcomeUnknown(t *testing.T) {
	t.Parallel()
	n := newTestNode(t)
	key := []string{"Idempotency-Key", "01a23e82-7196-72ca-83a7-87b1aa8e2e46"}
	status, refusal, header := doRequest(n, "POST", "/returns/x", "", key...)
	require.Equal(t, 503, status)
	require.EqualValues(t, "NotReady", refusal.Error.Code)
	require.EqualValues(t, "Unknown", refusal.Error.Outcome)
	require.Equal(t, "1", header.Get("Retry-After"))
	n.ready.Store(true)
	for _, path := range []string{"/nowhere", "/archive/x"} {
		_, refusal, _ = doRequest(n, "POST", path, "", key...)
		require.EqualValues(t, "Unknown", refusal.Error.Outcome, path)
	}
}

func TestPeerHandlerRejectsUnauthenticatedRequest(t *testing.T) {
	t.Parallel()
	n := newTestNode(t)
	server := httptest.NewServer(n.peerHandler())
	t.Cleanup(server.Close)
	at := "1"
	// No headers, a valid MAC that is too old, and a malformed time.
	headers := []http.Header{
		{},
		{headerPeer: {"host-2"}, headerTime: {at}, headerMAC: {computeMAC(n.cfg.FleetKey, "host-2", wire.PeerExchangeProcedure, at)}},
		{headerPeer: {"host-2"}, headerTime: {"x"}, headerMAC: {"00"}},
	}
	for _, header := range headers {
		r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, server.URL+wire.PeerExchangeProcedure, strings.NewReader(`{"host":"host-2","leaving":true}`))
		require.NoError(t, err)
		r.Header = header
		r.Header.Set("Content-Type", "application/json")
		response, err := http.DefaultClient.Do(r)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		require.Equal(t, http.StatusUnauthorized, response.StatusCode)
	}
}

func TestSubmitReportsDifferencesFromSetInForce(t *testing.T) {
	t.Parallel()
	n := newTestNode(t)
	w := httptest.NewRecorder()
	body := strings.Replace(testSet, "Services = assistant, returns", "Services = assistant", 1)
	n.operatorHandler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/submit", strings.NewReader(body)))
	var verdict Verdict
	require.NoError(t, json.Unmarshal(w.Body.Bytes(), &verdict))
	require.True(t, verdict.Accepted)
	require.EqualValues(t, 1, verdict.InForce)
	require.NotEmpty(t, verdict.Differences)
	require.Contains(t, fmt.Sprint([]object.Fault(verdict.Faults)), "service returns is removed from the workspace")
}

func FuzzCaller(f *testing.F) {
	n := newTestNode(f)
	n.ready.Store(true)
	f.Add("POST", chatPath, `{"model":"m","messages":[{}]}`, "")
	f.Add("POST", "/returns/x", "", "01a23e82-7196-72ca-83a7-87b1aa8e2e46")
	f.Fuzz(func(t *testing.T, method, path, body, key string) {
		serveArbitraryRequest(t, n, method, path, body, key)
	})
}

// serveArbitraryRequest sends a request with arbitrary content to the callers' handler and checks that it writes a status.
func serveArbitraryRequest(t require.TestingT, n *Node, method, path, body, key string) {
	r, err := http.NewRequestWithContext(context.Background(), method, "http://host/", strings.NewReader(body))
	if err != nil {
		return
	}
	r.URL.Path = "/" + path
	r.Header.Set("Authorization", "Bearer key")
	r.Header["Idempotency-Key"] = []string{key}
	w := httptest.NewRecorder()
	n.callerHandler().ServeHTTP(w, r)
	require.NotZero(t, w.Code)
}

// Runs the code of both fuzz targets with random input. The seed is fixed, so that the inputs are the same on every run.
func TestArbitraryInputIsHandledWithoutPanic(t *testing.T) {
	t.Parallel()
	n := newTestNode(t)
	n.ready.Store(true)
	valid, err := proto.Marshal(&wire.ExchangeMessage{Host: "host-2", Rows: []*wire.Row{{Origin: "a", Key: "crash/1/e", Version: 1}}})
	require.NoError(t, err)
	rapid.Check(t, func(t *rapid.T) {
		method := rapid.SampledFrom([]string{"GET", "POST", "PUT", "X"}).Draw(t, "method")
		path := rapid.SampledFrom([]string{"v1/chat/completions", "returns/x", "", "%", "readyz"}).Draw(t, "path")
		body := rapid.OneOf(rapid.String(), rapid.SampledFrom([]string{`{"model":"m","messages":[{}]}`, `{"model":{}}`})).Draw(t, "body")
		key := rapid.OneOf(rapid.String(), rapid.Just("01a23e82-7196-72ca-83a7-87b1aa8e2e46")).Draw(t, "key")
		serveArbitraryRequest(t, n, method, path, body, key)
		message := append([]byte{}, valid...)
		for range rapid.IntRange(0, 4).Draw(t, "changes") {
			message[rapid.IntRange(0, len(message)-1).Draw(t, "at")] = rapid.Byte().Draw(t, "byte")
		}
		handleArbitraryMessage(n, message)
		handleArbitraryMessage(n, rapid.SliceOfN(rapid.Byte(), 0, 64).Draw(t, "message"))
	})
}

func init() { _ = flag.Set("rapid.seed", "20261204") }

func FuzzPeer(f *testing.F) {
	n := newTestNode(f)
	seed, err := proto.Marshal(&wire.ExchangeMessage{Host: "host-2", Rows: []*wire.Row{{Origin: "a", Key: "crash/1/e", Version: 1}}})
	require.NoError(f, err)
	f.Add(seed)
	f.Fuzz(func(_ *testing.T, data []byte) { handleArbitraryMessage(n, data) })
}

// handleArbitraryMessage decodes the bytes as each of three messages that a peer may send, and handles those that decode.
func handleArbitraryMessage(n *Node, data []byte) {
	var message wire.ExchangeMessage
	if proto.Unmarshal(data, &message) == nil {
		n.members.receive(&message, false)
	}
	var forward wire.ForwardRequest
	if proto.Unmarshal(data, &forward) == nil {
		_ = n.serveForward(context.Background(), &forward, func(*wire.Frame) error { return nil })
	}
	var vote wire.VoteRequest
	if proto.Unmarshal(data, &vote) == nil {
		n.claims.castVote(claim.Key(vote.GetKey()), parseClaimant(vote.GetClaimant()), claim.Attempt(vote.GetAttempt()), nil)
	}
}

func TestBurnPageHasNoExternalResources(t *testing.T) {
	t.Parallel()
	n := newTestNode(t)
	n.meter.count(requestResult{workspace: "gent", service: "assistant", policy: n.documents.snapshot().objects.Policies["p"]})
	w := httptest.NewRecorder()
	n.operatorHandler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/burn?format=html", http.NoBody))
	require.Contains(t, w.Body.String(), "gent assistant")
	require.NotContains(t, w.Body.String(), "src=", "the page must not load external resources")
	require.True(t, bytes.Contains(w.Body.Bytes(), []byte("<svg")))
}

func TestEndpointURLKeepsPathAndQuery(t *testing.T) {
	t.Parallel()
	for _, path := range []string{"/returns/a%2Fb?x=1&y=%20", "/returns/", "/v1/chat/completions?trace=1"} {
		target := endpointURL(engine.Record{Address: "127.0.0.1:1"}, &wire.Call{Path: path})
		require.Equal(t, "http://127.0.0.1:1"+path, target.String())
	}
}

// A process that resumes after a pause holds an outdated list of electors, by which it could grant a key that other electors have
// granted meanwhile. It must abstain until the next tick has updated its view.
func TestElectorAbstainsAfterPauseUntilNextTick(t *testing.T) {
	t.Parallel()
	n := newTestNode(t)
	now := n.timers.Now()
	key := claim.Key("gent/" + uuid.Must(uuid.NewV7()).String())
	vote := func() claim.Verdict {
		return n.claims.castVote(key, claim.Claimant{Host: "host-1"}, 1, []host.ID{"host-1"}).Verdict
	}
	n.members.electorHistory = claim.ElectorHistory{}
	n.members.electorHistory.Observe(now.Add(-time.Hour), []host.ID{"host-1"}, time.Hour)
	n.members.lastTick = now.Add(-2 * pauseThreshold)
	require.Equal(t, claim.Abstained, vote())
	n.members.tick(context.Background(), n.timers.Now())
	require.Equal(t, claim.Granted, vote())
}

func TestEndpointReportedDownIsExcludedUntilReportExpires(t *testing.T) {
	t.Parallel()
	n := newTestNode(t)
	now := n.timers.Now()
	n.members.receive(&wire.ExchangeMessage{Host: "host-2", Rows: []*wire.Row{{Origin: "host-2", Key: downKeyPrefix + "e1", Version: 1, AgeMs: 500}}}, false)
	require.Equal(t, map[engine.ID]bool{"e1": true}, n.keeper.downEndpoints(now.Add(time.Second)))
	require.Empty(t, n.keeper.downEndpoints(now.Add(downReportLifetime)))
	require.Empty(t, n.keeper.downEndpoints(now))
}
