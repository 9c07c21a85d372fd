// Package site runs the programs of a site as separate processes on loopback, with stand-ins around them and links between
// them that can be impaired, and lets callers use it.
package site

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"balsamknot.org/fleet/timer"
	"balsamknot.org/platform/standin"
	"balsamknot.org/soak/promise"
	"balsamknot.org/standin/network"
)

// Config is what a site is built from.
type Config struct {
	// Program is the path of the entry host's program.
	Program string
	// Dir takes settings and logs.
	Dir   string
	Hosts int
	// Network is the second byte of the addresses on loopback, which no other run may use.
	Network int
	// Callers is how many callers ask at the same time.
	Callers int
	Seed    uint64
}

// Site is a running site.
type Site struct {
	cfg       Config
	store     *standin.Store
	hosts     []*process
	endpoints []*endpoint
	start     time.Time

	mu    sync.Mutex
	judge *promise.Checker

	// operator orders what is published, so that the judge hears of it in the store's order.
	operator sync.Mutex
	// version is the newest set's, keys the number of the oldest key that is good, and moved how often the route moved.
	version int
	keys    int
	moved   int
	// outages counts the faults that keep the store away.
	outages int
	// newest is the number of the newest key.
	newest atomic.Int64

	work sync.WaitGroup
	stop context.CancelFunc
}

// Endpoints is how many endpoints a site has.
func Endpoints() int { return len(layout) }

// layout names the service of each endpoint.
var layout = []string{"plain", "plain", "plain", "full", "full", "engines", "engines", "engines", "engines", "engines", "engines"}

// movedTo are the services to which the route that moves leads in turn.
var movedTo = []string{"plain", "full"}

const (
	// liveKeys is how many keys are good at the same time.
	liveKeys = 3
	// startLimit bounds the wait until a site serves.
	startLimit = time.Minute
	// stallInterval is how often the soak looks whether it runs itself, and stallLimit what counts as a stall.
	stallInterval = 20 * time.Millisecond
	stallLimit    = 150 * time.Millisecond
)

// Start starts a site and returns once every host is ready.
func Start(ctx context.Context, cfg Config) (*Site, error) {
	ctx, stop := context.WithCancel(ctx)
	s := &Site{cfg: cfg, judge: promise.New(), start: timer.Boot(), store: standin.NewStore(), stop: stop}
	if err := s.begin(ctx); err != nil {
		s.Close()
		return nil, err
	}
	s.work.Go(func() { s.watchStalls(ctx) })
	for i := range cfg.Callers {
		s.work.Go(func() { s.newCaller(i).run(ctx) })
	}
	return s, nil
}

func (s *Site) begin(ctx context.Context) error {
	s.publish()
	for i, service := range layout {
		e, err := s.newEndpoint(fmt.Sprintf("endpoint-%d", i), service)
		if err != nil {
			return err
		}
		s.endpoints = append(s.endpoints, e)
	}
	for i := range s.cfg.Hosts {
		p, err := s.newProcess(i)
		if err != nil {
			return err
		}
		s.hosts = append(s.hosts, p)
	}
	for _, p := range s.hosts {
		if err := p.start(); err != nil {
			return err
		}
		s.work.Go(func() { p.poll(ctx) })
	}
	if !s.Ready(ctx, startLimit) {
		return eris.Errorf("start the site: not every host is ready after %s", startLimit)
	}
	return nil
}

// Ready waits until every host is ready, for at most limit.
func (s *Site) Ready(ctx context.Context, limit time.Duration) bool {
	for waited := time.Duration(0); waited < limit; waited += readyInterval {
		ready := 0
		for _, p := range s.hosts {
			if p.ready.Load() {
				ready++
			}
		}
		if ready == len(s.hosts) {
			return true
		}
		if !timer.Sleep(ctx, readyInterval) {
			return false
		}
	}
	return false
}

// Now is the time since the start of the site.
func (s *Site) Now() promise.Time { return timer.Boot().Sub(s.start) }

// tell notes an event.
func (s *Site) tell(event promise.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.judge.Record(s.Now(), event)
}

// Judged lets f look at what was judged so far.
func (s *Site) Judged(f func(*promise.Checker)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.judge)
}

// publish publishes the set of now.
func (s *Site) publish() {
	s.version++
	var keys []string
	for i := range liveKeys {
		keys = append(keys, keyName(s.keys+i))
	}
	moved := movedTo[s.moved%len(movedTo)]
	s.store.PublishMoved(s.version, moved, keys...)
	s.tell(promise.ConfigPublished{Keys: keys, MovedService: moved})
	s.newest.Store(int64(s.keys + liveKeys - 1))
}

func keyName(n int) string { return fmt.Sprintf("key-%d", n) }

// watchStalls notes when the soak's own process did not run in time, since what it measures is then in doubt.
func (s *Site) watchStalls(ctx context.Context) {
	last := s.Now()
	for timer.Sleep(ctx, stallInterval) {
		now := s.Now()
		if now-last > stallLimit {
			s.tell(promise.HarnessStalled{Since: last})
		}
		last = now
	}
}

// Close ends callers, hosts and stand-ins.
func (s *Site) Close() {
	s.stop()
	for _, p := range s.hosts {
		p.close()
	}
	for _, e := range s.endpoints {
		e.close()
	}
	s.store.CloseClientConnections()
	s.store.Close()
	s.work.Wait()
}

// address is an address of this run: kind 1 is a host's own, 2 the one at which other hosts reach it.
func (s *Site) address(kind, host int) string {
	return fmt.Sprintf("127.%d.%d.%d", s.cfg.Network, kind, host+1)
}

func (s *Site) file(format string, args ...any) string {
	return filepath.Join(s.cfg.Dir, fmt.Sprintf(format, args...))
}

// readyOf reports whether a host says that it takes callers.
func readyOf(ctx context.Context, client *http.Client, url string) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	response, err := client.Do(r)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func openLog(path string) (*os.File, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
}

// links are the links that lead to one target or away from one.
type links struct {
	streams []*network.Link
	relay   *network.Relay
}

// impair gives all of them a fault; the function that it returns ends it.
func (l links) impair(f network.Fault) (mend func()) {
	var mends []func()
	for _, link := range l.streams {
		mends = append(mends, link.Impair(f))
	}
	if l.relay != nil {
		mends = append(mends, l.relay.Impair(f))
	}
	return func() {
		for _, mend := range mends {
			mend()
		}
	}
}

func (l links) close() {
	for _, link := range l.streams {
		link.Close()
	}
	if l.relay != nil {
		l.relay.Close()
	}
}
