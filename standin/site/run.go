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

// EngineDefaults is the stand-in engine of the examples: 16 seats and a cache of 400,000 prompt tokens.
func EngineDefaults() modelengine.Config {
	return modelengine.Config{
		Seats: 16, TokenTime: 10 * time.Millisecond, PrefillTime: 20 * time.Millisecond, CacheTokens: 400_000,
		ReportLag: 300 * time.Millisecond, EventGap: 50, CrashMarker: "crash-this-engine", RestartAfter: 2 * time.Second,
	}
}

// Running is a site's stand-ins while they serve.
type Running struct {
	Site     *Site
	Platform *platform.Service
	Engines  []*modelengine.Engine
	Runners  []*plainservice.Runner
	Ledger   *plainservice.Ledger
	servers  []*http.Server
}

// Start serves the platform, the engines and the runners of a site, and publishes its lists and the set.
func (s *Site) Start(defaults modelengine.Config, runnerDelay time.Duration, set []byte) (*Running, error) {
	r := &Running{Site: s, Platform: platform.New(), Ledger: plainservice.NewLedger()}
	r.Platform.Publish(string(revision.DocumentSet), set)
	r.Platform.Publish(string(revision.DocumentHosts), HostsDocument(s.HostRecords()))
	r.Platform.Publish(string(revision.DocumentEndpoints), EndpointsDocument(s.EndpointRecords()))
	if err := r.serve(s.Platform, r.Platform.Handler()); err != nil {
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
		runner := &plainservice.Runner{Name: e.ID, Ledger: r.Ledger, Delay: runnerDelay}
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

// Close ends every stand-in.
func (r *Running) Close() {
	for _, engine := range r.Engines {
		engine.Close()
	}
	for _, server := range r.servers {
		_ = server.Close()
	}
}
