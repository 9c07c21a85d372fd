// Package site runs entry hosts as separate processes on loopback. Around them it runs stand-ins for the platform's store and
// the endpoints, callers that send requests, and links to which faults can be applied. Everything that callers, endpoints and
// the operator observe is recorded by a checker.Checker.
//
// An entry host is a proxy: it routes callers' requests to endpoints, whose addresses it reads from the store.
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
	"balsamknot.org/soak/checker"
	"balsamknot.org/standin/network"
)

// Config holds the parameters of a site.
type Config struct {
	// Program is the path of the entry host's executable, and Previous that of an earlier release; empty for none. With both, half of the
	// starts of hosts, as drawn from Seed, run the earlier one, so that hosts of two releases serve beside each other.
	Program, Previous string
	// Dir is the directory for the settings and logs of the hosts.
	Dir   string
	Hosts int
	// Network is the second byte of the hosts' loopback addresses, 127.Network.x.y. No other run may use it at the same
	// time, since the ports are fixed.
	Network int
	// Callers is the number of callers. Each sends one request at a time.
	Callers int
	Seed    uint64
	// Cold is true if endpoints take few requests a second after a start, or later at times, and are in two data centres.
	Cold bool
}

// Site is a set of entry hosts, the stand-ins around them and their callers.
type Site struct {
	cfg       Config
	store     *standin.Store
	hosts     []*process
	endpoints []*endpoint
	start     time.Time

	// mu guards checker.
	mu      sync.Mutex
	checker *checker.Checker

	// publishMu serialises changes of the store, so that the checker gets them in the same order. It guards the four
	// fields below.
	publishMu sync.Mutex
	// configVersion is the version of the latest configuration, oldestKey the number of its oldest API key, and routeMoves
	// how often the service of checker.MovedPath has changed.
	configVersion int
	oldestKey     int
	routeMoves    int
	// activeOutages is the number of active faults that make the store refuse reads.
	activeOutages int
	// newestKey is the number of the newest valid API key. Callers read it without publishMu.
	newestKey atomic.Int64
	// lateLists is the number of endpoints whose cache lists come late.
	lateLists atomic.Int64
	// misplacing is the number of active faults that make engines go on with streams at other positions than they were asked to.
	misplacing atomic.Int64
	// surgeCallers is the number of callers that surges have added so far, and surges the number of active ones.
	surgeCallers, surges atomic.Int64

	wg     sync.WaitGroup
	cancel context.CancelFunc
}

// Endpoints returns the number of endpoints of every site.
func Endpoints() int { return len(endpointServices) }

// endpointServices names the service of each endpoint.
var endpointServices = []string{"plain", "plain", "plain", "full", "full", enginesService, enginesService, enginesService, enginesService, enginesService, enginesService}

// enginesService is the service whose endpoints answer with streams.
const enginesService = "engines"

// engineVersions are the software versions of the endpoints, in turn.
var engineVersions = []string{standin.DefaultVersion, "v2"}

// movedServices are the services to which checker.MovedPath is routed in turn.
var movedServices = []string{"plain", "full"}

const (
	// validKeyCount is the number of API keys of a configuration.
	validKeyCount = 3
	// startTimeout is how long the hosts may take to become ready.
	startTimeout = time.Minute
	// stallInterval is how often the soak checks that its own process is scheduled in time. A gap of more than stallLimit
	// between two checks is a stall.
	stallInterval = 20 * time.Millisecond
	stallLimit    = 150 * time.Millisecond
)

// Start starts a site and its callers and returns once every host is ready. The site runs until Close.
func Start(ctx context.Context, cfg Config) (*Site, error) {
	ctx, cancel := context.WithCancel(ctx)
	s := &Site{cfg: cfg, checker: checker.New(), start: timer.BootClock(), store: standin.NewStore(), cancel: cancel}
	if err := s.setUp(ctx); err != nil {
		s.Close()
		return nil, err
	}
	s.wg.Go(func() { s.watchStalls(ctx) })
	for i := range cfg.Callers {
		s.wg.Go(func() { s.newCaller(i).run(ctx) })
	}
	return s, nil
}

func (s *Site) setUp(ctx context.Context) error {
	s.publish()
	for i, service := range endpointServices {
		e, err := s.newEndpoint(fmt.Sprintf("endpoint-%d", i), service, engineVersions[i%len(engineVersions)])
		if err != nil {
			return err
		}
		s.endpoints = append(s.endpoints, e)
	}
	if s.cfg.Cold {
		s.setUpCold()
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
		s.wg.Go(func() { p.pollReadiness(ctx) })
	}
	if !s.WaitReady(ctx, startTimeout) {
		return eris.Errorf("start the site: some hosts are not ready after %s", startTimeout)
	}
	return nil
}

// WaitReady waits at most limit until every host is ready, and reports whether all are.
func (s *Site) WaitReady(ctx context.Context, limit time.Duration) bool {
	for waited := time.Duration(0); waited < limit; waited += pollInterval {
		ready := 0
		for _, p := range s.hosts {
			if p.ready.Load() {
				ready++
			}
		}
		if ready == len(s.hosts) {
			return true
		}
		if !timer.Sleep(ctx, pollInterval) {
			return false
		}
	}
	return false
}

// Now returns the time since the start of the site.
func (s *Site) Now() checker.Time { return timer.BootClock().Sub(s.start) }

// record passes an event with the current time to the checker.
func (s *Site) record(event checker.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.checker.Record(s.Now(), event)
}

// WithChecker calls f with the checker while no event can be recorded. f must not record events itself.
func (s *Site) WithChecker(f func(*checker.Checker)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.checker)
}

// publish writes a configuration with the current keys and routes to the store.
func (s *Site) publish() {
	s.configVersion++
	var keys []string
	for i := range validKeyCount {
		keys = append(keys, keyName(s.oldestKey+i))
	}
	movedService := movedServices[s.routeMoves%len(movedServices)]
	s.store.PublishMovedCold(s.configVersion, movedService, s.cfg.coldTerms(), keys...)
	s.record(checker.ConfigPublished{Keys: keys, MovedService: movedService})
	s.newestKey.Store(int64(s.oldestKey + validKeyCount - 1))
}

func keyName(n int) string { return fmt.Sprintf("key-%d", n) }

// watchStalls records when the soak's own process was not scheduled in time, because the times that it measured are then not
// reliable.
func (s *Site) watchStalls(ctx context.Context) {
	last := s.Now()
	for timer.Sleep(ctx, stallInterval) {
		now := s.Now()
		if now-last > stallLimit {
			s.record(checker.HarnessStalled{Since: last})
		}
		last = now
	}
}

// Close stops the callers, hosts and stand-ins and waits for them.
func (s *Site) Close() {
	s.cancel()
	for _, p := range s.hosts {
		p.close()
	}
	for _, e := range s.endpoints {
		e.close()
	}
	s.store.CloseClientConnections()
	s.store.Close()
	s.wg.Wait()
}

// endpointKind is the kind of an endpoint's address.
const endpointKind = 3

// address returns the IP address of a host or endpoint by its number. Kind 1 is the one on which the host listens, kind 2 the one that it
// publishes, which leads other hosts through the links to it, and endpointKind that of an endpoint.
func (s *Site) address(kind, number int) string {
	return fmt.Sprintf("127.%d.%d.%d", s.cfg.Network, kind, number+1)
}

func (s *Site) filePath(format string, args ...any) string {
	return filepath.Join(s.cfg.Dir, fmt.Sprintf(format, args...))
}

// checkReady reports whether a host's readiness probe succeeds: whether it accepts callers.
func checkReady(ctx context.Context, client *http.Client, url string) bool {
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

// links are the links that carry the traffic of a host with its callers, the store or other hosts, or of hosts with an
// endpoint. udpRelay is nil if the traffic is TCP only.
type links struct {
	tcpLinks []*network.Link
	udpRelay *network.Relay
}

// impair applies a fault to all links. The returned function ends it.
func (l links) impair(f network.Fault) (undo func()) {
	var undos []func()
	for _, link := range l.tcpLinks {
		undos = append(undos, link.Impair(f))
	}
	if l.udpRelay != nil {
		undos = append(undos, l.udpRelay.Impair(f))
	}
	return func() {
		for _, undoLink := range undos {
			undoLink()
		}
	}
}

func (l links) close() {
	for _, link := range l.tcpLinks {
		link.Close()
	}
	if l.udpRelay != nil {
		l.udpRelay.Close()
	}
}
