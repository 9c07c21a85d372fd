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

// startBenchSite starts a site whose nodes run in this process and whose simulated engines and runners answer without delay.
func startBenchSite(b *testing.B, hosts int) *demo { return startBenchSiteWithTokenTime(b, hosts, 0) }

// startBenchSiteWithTokenTime is startBenchSite with engines that take tokenTime for each token.
func startBenchSiteWithTokenTime(b *testing.B, hosts int, tokenTime time.Duration) *demo {
	b.Helper()
	set, err := os.ReadFile("../examples/retourvat/set.ini")
	require.NoError(b, err)
	layout, err := site.New(site.Config{
		Hosts: hosts, Engines: 4, Runners: 2, EnginePool: "assistant", RunnerPool: "returns", Region: "be-central",
		DataCentres: []string{"antwerp"}, ExtraSettings: "DrainGrace = 0s\nClockSkew = 0s", BasePort: int(nextPort.Add(portsPerSite)),
	})
	require.NoError(b, err)
	engineConfig := site.DefaultEngineConfig()
	engineConfig.TokenTime, engineConfig.PrefillTime, engineConfig.Slots, engineConfig.ReportLag = tokenTime, 0, 1000, 0
	running, err := layout.Start(engineConfig, 0, set)
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

// timeToFirstByte sends a request, reads the whole response and returns the time to the first byte of its body.
func timeToFirstByte(b *testing.B, target, idempotencyKey string, body []byte) time.Duration {
	start := time.Now()
	r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, target, bytes.NewReader(body))
	require.NoError(b, err)
	r.Header.Set("Authorization", "Bearer key-gent-depot")
	r.Header.Set("Chat-Id", "c")
	r.Header.Set("Request-Id", uuid.NewString())
	if idempotencyKey != "" {
		r.Header.Set("Idempotency-Key", idempotencyKey)
	}
	response, err := benchClient.Do(r)
	require.NoError(b, err)
	defer response.Body.Close()
	reader := bufio.NewReader(response.Body)
	_, err = reader.ReadByte()
	require.NoError(b, err)
	elapsed := time.Since(start)
	_, err = io.Copy(io.Discard, reader)
	require.NoError(b, err)
	if response.StatusCode != http.StatusOK {
		b.Fatalf("status %d", response.StatusCode)
	}
	return elapsed
}

// BenchmarkFirstByte measures the median time to the first byte of an answer: from the engine directly, through one node that is
// the engine's keeper, and through one of two nodes, where either can be the keeper.
func BenchmarkFirstByte(b *testing.B) {
	oneNodeSite := startBenchSite(b, 1)
	twoNodeSite := startBenchSite(b, 2)
	targets := map[string]string{
		"direct":    "http://" + oneNodeSite.site.Engines[0].Address + "/v1/chat/completions",
		"one-node":  "http://" + oneNodeSite.site.Hosts[0].CallerAddress + "/v1/chat/completions",
		"two-nodes": "http://" + twoNodeSite.site.Hosts[0].CallerAddress + "/v1/chat/completions",
	}
	for _, name := range []string{"direct", "one-node", "two-nodes"} {
		b.Run(name, func(b *testing.B) {
			var times []time.Duration
			for i := 0; b.Loop(); i++ {
				times = append(times, timeToFirstByte(b, targets[name], "", chatBody(i, 1)))
			}
			sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
			b.ReportMetric(float64(times[len(times)/2].Microseconds()), "µs-median")
		})
	}
}

// BenchmarkRequests measures the throughput of short concurrent requests to a simulated runner, directly and through one node.
func BenchmarkRequests(b *testing.B) {
	d := startBenchSite(b, 1)
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

// BenchmarkKeyedCall measures a request with an idempotency key, which runs at most once, through a fleet of five nodes. It also
// reports the control traffic and the processor time per request.
func BenchmarkKeyedCall(b *testing.B) {
	d := startBenchSite(b, 5)
	cpu, bytes := cpuTime(b), d.controlBytes(b)
	for b.Loop() {
		timeToFirstByte(b, "http://"+d.site.Hosts[0].CallerAddress+"/returns/x", uuid.Must(uuid.NewV7()).String(), []byte("{}"))
	}
	b.ReportMetric((d.controlBytes(b)-bytes)/float64(b.N), "control-B/op")
	reportCPU(b, cpu, b.N)
}

// BenchmarkStreamFrame measures the processor time per token of a stream, from the engine directly and through a fleet of two
// nodes. The engine produces tokens without delay, so that a frame between the nodes carries several tokens.
func BenchmarkStreamFrame(b *testing.B) {
	d := startBenchSite(b, 2)
	for name, target := range map[string]string{
		"direct":    "http://" + d.site.Engines[0].Address + "/v1/chat/completions",
		"two-nodes": "http://" + d.site.Hosts[0].CallerAddress + "/v1/chat/completions",
	} {
		b.Run(name, func(b *testing.B) {
			const tokens = 2000
			cpu := cpuTime(b)
			for i := 0; i < b.N; i += tokens {
				timeToFirstByte(b, target, "", chatBody(i, tokens))
			}
			reportCPU(b, cpu, b.N)
		})
	}
}

// BenchmarkStreamPaced measures the processor time per token of 200 concurrent streams. The engine produces a token every
// 39 ms on each, so that each token is sent between the nodes in a frame of its own.
func BenchmarkStreamPaced(b *testing.B) {
	d := startBenchSiteWithTokenTime(b, 2, 39*time.Millisecond)
	for name, target := range map[string]string{
		"direct":    "http://" + d.site.Engines[0].Address + "/v1/chat/completions",
		"two-nodes": "http://" + d.site.Hosts[0].CallerAddress + "/v1/chat/completions",
	} {
		b.Run(name, func(b *testing.B) {
			const streams, tokens = 200, 50
			cpu, sent := cpuTime(b), 0
			for b.Loop() {
				var wg sync.WaitGroup
				for i := range streams {
					wg.Go(func() { timeToFirstByte(b, target, "", chatBody(sent+i, tokens)) })
				}
				wg.Wait()
				sent += streams
			}
			reportCPU(b, cpu, sent*tokens)
		})
	}
}
