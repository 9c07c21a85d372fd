package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"sort"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"balsamknot.org/fleet/timer"
	"balsamknot.org/standin/site"
)

// benchSite runs stand-ins that answer at once and the given number of nodes in this process.
func benchSite(b *testing.B, hosts int) *demo { return pacedSite(b, hosts, 0) }

// pacedSite is a benchSite whose engines take the given time for a token.
func pacedSite(b *testing.B, hosts int, tokenTime time.Duration) *demo {
	b.Helper()
	set, err := os.ReadFile("../examples/retourvat/set.ini")
	require.NoError(b, err)
	layout, err := site.New(site.Config{
		Hosts: hosts, Engines: 4, Runners: 2, EnginePool: "assistant", RunnerPool: "returns", Region: "be-central",
		DataCentres: []string{"antwerp"}, ExtraSettings: "DrainGrace = 0s\nClockSkew = 0s", BasePort: int(nextPort.Add(portsPerSite)),
	})
	require.NoError(b, err)
	engines := site.DefaultEngineConfig()
	engines.TokenTime, engines.PrefillTime, engines.Slots, engines.ReportLag = tokenTime, 0, 1000, 0
	running, err := layout.Start(engines, 0, set)
	require.NoError(b, err)
	ctx, cancel := context.WithCancel(context.Background())
	d := &demo{site: layout, running: running, cancel: cancel, timers: timer.New()}
	for i := range layout.Hosts {
		require.NoError(b, d.startNode(ctx, i, zerolog.Nop()))
	}
	b.Cleanup(d.stop)
	require.NoError(b, d.awaitReady())
	time.Sleep(time.Second)
	return d
}

func chatBody(id int, tokens int) []byte {
	return fmt.Appendf(nil, `{"model":"drum-assistant","prompt_cache_key":"c%d","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"q"}]}`, id, tokens)
}

var benchClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}

// ask sends a request and returns the time to the first byte of the body.
func ask(b *testing.B, target, key string, body []byte) time.Duration {
	began := time.Now()
	r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, target, bytes.NewReader(body))
	require.NoError(b, err)
	r.Header.Set("Authorization", "Bearer key-gent-depot")
	r.Header.Set("Chat-Id", "c")
	r.Header.Set("Request-Id", uuid.NewString())
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	response, err := benchClient.Do(r)
	require.NoError(b, err)
	defer response.Body.Close()
	reader := bufio.NewReader(response.Body)
	_, err = reader.ReadByte()
	require.NoError(b, err)
	first := time.Since(began)
	_, err = io.Copy(io.Discard, reader)
	require.NoError(b, err)
	if response.StatusCode != http.StatusOK {
		b.Fatalf("status %d", response.StatusCode)
	}
	return first
}

// BenchmarkFirstByte compares a direct call to an engine with one through a node that keeps it and one through a
// node whose peer keeps it, in one run: the median time to the first byte.
func BenchmarkFirstByte(b *testing.B) {
	direct := benchSite(b, 1)
	pair := benchSite(b, 2)
	targets := map[string]string{
		"direct":    "http://" + direct.site.Engines[0].Address + "/v1/chat/completions",
		"one-node":  "http://" + direct.site.Hosts[0].CallerAddress + "/v1/chat/completions",
		"two-nodes": "http://" + pair.site.Hosts[0].CallerAddress + "/v1/chat/completions",
	}
	for _, name := range []string{"direct", "one-node", "two-nodes"} {
		b.Run(name, func(b *testing.B) {
			var times []time.Duration
			for i := 0; b.Loop(); i++ {
				times = append(times, ask(b, targets[name], "", chatBody(i, 1)))
			}
			sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
			b.ReportMetric(float64(times[len(times)/2].Microseconds()), "µs-median")
		})
	}
}

// BenchmarkRequests counts short requests a second, many at a time: the stand-in alone, and through a node.
func BenchmarkRequests(b *testing.B) {
	d := benchSite(b, 1)
	for name, target := range map[string]string{
		"direct":   "http://" + d.site.Runners[0].Address + "/returns/x",
		"one-node": "http://" + d.site.Hosts[0].CallerAddress + "/returns/x",
	} {
		b.Run(name, func(b *testing.B) {
			b.SetParallelism(8)
			cpu := cpuTime(b)
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					r, _ := http.NewRequestWithContext(context.Background(), http.MethodGet, target, http.NoBody)
					r.Header.Set("Authorization", "Bearer key-gent-depot")
					response, err := benchClient.Do(r)
					if err != nil {
						b.Error(err)
						return
					}
					_, _ = io.Copy(io.Discard, response.Body)
					_ = response.Body.Close()
					if response.StatusCode != http.StatusOK {
						b.Errorf("status %d", response.StatusCode)
						return
					}
				}
			})
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
			reportCPU(b, cpu, b.N)
		})
	}
}

// BenchmarkKeyedCall is a call that runs at most once, through a fleet of five nodes in this process.
func BenchmarkKeyedCall(b *testing.B) {
	d := benchSite(b, 5)
	cpu, bytes := cpuTime(b), d.controlBytes(b)
	for b.Loop() {
		ask(b, "http://"+d.site.Hosts[0].CallerAddress+"/returns/x", uuid.Must(uuid.NewV7()).String(), []byte("{}"))
	}
	b.ReportMetric((d.controlBytes(b)-bytes)/float64(b.N), "control-B/op")
	reportCPU(b, cpu, b.N)
}

// BenchmarkStreamFrame is one token's way from the engine to the caller: direct, and through entry and keeper. The
// engine makes tokens as fast as it can, so that several travel in a frame.
func BenchmarkStreamFrame(b *testing.B) {
	d := benchSite(b, 2)
	for name, target := range map[string]string{
		"direct":    "http://" + d.site.Engines[0].Address + "/v1/chat/completions",
		"two-nodes": "http://" + d.site.Hosts[0].CallerAddress + "/v1/chat/completions",
	} {
		b.Run(name, func(b *testing.B) {
			const tokens = 2000
			cpu := cpuTime(b)
			for i := 0; i < b.N; i += tokens {
				ask(b, target, "", chatBody(i, tokens))
			}
			reportCPU(b, cpu, b.N)
		})
	}
}

// BenchmarkStreamPaced is one token's processor time when tokens come 39 ms apart on 200 streams at a time, so that each
// travels in a frame of its own.
func BenchmarkStreamPaced(b *testing.B) {
	d := pacedSite(b, 2, 39*time.Millisecond)
	for name, target := range map[string]string{
		"direct":    "http://" + d.site.Engines[0].Address + "/v1/chat/completions",
		"two-nodes": "http://" + d.site.Hosts[0].CallerAddress + "/v1/chat/completions",
	} {
		b.Run(name, func(b *testing.B) {
			const streams, tokens = 200, 50
			cpu, asked := cpuTime(b), 0
			for b.Loop() {
				var wg sync.WaitGroup
				for i := range streams {
					wg.Go(func() { ask(b, target, "", chatBody(asked+i, tokens)) })
				}
				wg.Wait()
				asked += streams
			}
			reportCPU(b, cpu, asked*tokens)
		})
	}
}
