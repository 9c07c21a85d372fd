package lab

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"balsamknot.org/platform/standin"
)

// Balancer is the platform's: it asks each host once a second whether it is ready and takes one out after two misses.
type Balancer struct {
	site *Site
	mu   sync.Mutex
	// misses counts the misses in a row of each host.
	misses []int
	client *http.Client
	ids    atomic.Int64
	prefix string
}

// NewBalancer starts to ask the hosts until ctx ends.
func NewBalancer(ctx context.Context, site *Site) *Balancer {
	b := &Balancer{site: site, misses: make([]int, len(site.Hosts)), prefix: fmt.Sprintf("%08x", rand.Uint32()), client: &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: 32, IdleConnTimeout: 8 * time.Second, DisableCompression: true},
	}}
	for i, h := range site.Hosts {
		go func() {
			for ctx.Err() == nil {
				ready := h.Ready()
				b.mu.Lock()
				if b.misses[i]++; ready {
					b.misses[i] = 0
				}
				b.mu.Unlock()
				time.Sleep(time.Second)
			}
		}()
	}
	return b
}

// Pick returns a host at random among those that are not taken out.
func (b *Balancer) Pick() *Host {
	b.mu.Lock()
	defer b.mu.Unlock()
	var in []int
	for i, n := range b.misses {
		if n < 2 {
			in = append(in, i)
		}
	}
	if len(in) == 0 {
		return b.site.Hosts[rand.IntN(len(b.site.Hosts))]
	}
	return b.site.Hosts[in[rand.IntN(len(in))]]
}

// NewID returns the ID of a new request.
func (b *Balancer) NewID() string { return fmt.Sprintf("%s%08x", b.prefix, b.ids.Add(1)) }

// Answer is what a client got.
type Answer struct {
	Status int
	Body   string
	Seal   string
	Err    error
}

// Call sends a request through a host and reads the whole answer.
func (b *Balancer) Call(h *Host, method, path, id, key, body string, timeLeft time.Duration, header http.Header) Answer {
	ctx, cancel := context.WithTimeout(context.Background(), timeLeft)
	defer cancel()
	var in io.Reader
	if body != "" {
		in = strings.NewReader(body)
	}
	r := standin.NewCall(h.CallerAddress, method, path, id, key, in).WithContext(ctx)
	r.Host = standin.Host
	standin.SetTimeLeft(r, timeLeft)
	for name, values := range header {
		r.Header[name] = values
	}
	response, err := b.client.Do(r)
	if err != nil {
		return Answer{Err: err}
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	return Answer{Status: response.StatusCode, Body: string(raw), Seal: response.Header.Get(standin.SealHeader), Err: err}
}

// Events holds the times of events of some kind. It is safe for concurrent use.
type Events struct {
	mu    sync.Mutex
	times []time.Time
}

// Add records an event that happens now.
func (e *Events) Add() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.times = append(e.times, time.Now())
}

// Times returns the events in order.
func (e *Events) Times() []time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	sorted := slices.Clone(e.times)
	slices.SortFunc(sorted, time.Time.Compare)
	return sorted
}

// Between counts the events after from and up to to, of events in order.
func Between(sorted []time.Time, from, to time.Time) int {
	after := func(t time.Time) int {
		n, _ := slices.BinarySearchFunc(sorted, t, func(at, t time.Time) int {
			if at.After(t) {
				return 1
			}
			return -1
		})
		return n
	}
	return after(to) - after(from)
}
