package site

import (
	"context"
	"net"
	"net/http"
	"time"

	"balsamknot.org/fleet/revision"
	"balsamknot.org/standin/modelengine"
	"balsamknot.org/standin/plainservice"
	"balsamknot.org/standin/platform"
)

// DefaultEngineConfig returns the parameters of the simulated engines in the examples, with 16 slots and a cache of 400,000
// prompt tokens. Name and Address are empty; Start sets them.
func DefaultEngineConfig() modelengine.Config {
	return modelengine.Config{
		Slots: 16, TokenTime: 10 * time.Millisecond, PrefillTime: 20 * time.Millisecond, CacheTokens: 400_000,
		ReportLag: 300 * time.Millisecond, EventDropInterval: 50, CrashMarker: "crash-this-engine", RestartDelay: 2 * time.Second,
	}
}

// Running holds the simulated platform, engines and runners of a site while they serve. The hosts' own processes are not
// part of it.
type Running struct {
	Site       *Site
	Platform   *platform.Service
	Engines    []*modelengine.Engine
	Runners    []*plainservice.Runner
	RunCounter *plainservice.RunCounter
	servers    []*http.Server
}

// Start serves the platform, the engines and the runners of a site, and publishes the list of hosts, the list of endpoints
// and set, the objects (workspaces, services, pools and policies) in INI format. All engines get the parameters in defaults.
// If it returns an error because an address can't be bound, what has been started so far keeps running.
func (s *Site) Start(defaults modelengine.Config, runnerDelay time.Duration, set []byte) (*Running, error) {
	r := &Running{Site: s, Platform: platform.New(), RunCounter: plainservice.NewRunCounter()}
	r.Platform.Publish(string(revision.DocumentSet), set)
	r.Platform.Publish(string(revision.DocumentHosts), HostsDocument(s.HostRecords()))
	r.Platform.Publish(string(revision.DocumentEndpoints), EndpointsDocument(s.EndpointRecords()))
	if err := r.serve(s.PlatformAddress, r.Platform.Handler()); err != nil {
		return nil, err
	}
	for _, e := range s.Engines {
		cfg := defaults
		cfg.Name, cfg.Address = e.ID, e.Address
		engine := modelengine.New(cfg)
		if _, err := engine.Start(); err != nil {
			return nil, err
		}
		r.Engines = append(r.Engines, engine)
	}
	for _, e := range s.Runners {
		runner := &plainservice.Runner{Name: e.ID, Counter: r.RunCounter, Delay: runnerDelay}
		if err := r.serve(e.Address, runner.Handler()); err != nil {
			return nil, err
		}
		r.Runners = append(r.Runners, runner)
	}
	return r, nil
}

func (r *Running) serve(address string, handler http.Handler) error {
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	r.servers = append(r.servers, server)
	go func() { _ = server.Serve(listener) }()
	return nil
}

// Close stops the engines, the runners and the platform, and closes every connection to them.
func (r *Running) Close() {
	for _, engine := range r.Engines {
		engine.Close()
	}
	for _, server := range r.servers {
		_ = server.Close()
	}
}
