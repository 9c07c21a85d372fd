// Package site lays out a whole stand-in site on loopback: addresses of hosts and endpoints, the documents that the
// platform publishes of them, and the settings file of each node.
package site

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"strings"

	"balsamknot.org/fleet/engine"
	"balsamknot.org/fleet/host"
	"balsamknot.org/fleet/revision"
)

// FleetKey is the stand-in site's key between nodes, in hexadecimal.
const FleetKey = "62616c73616d6b6e6f742d7374616e64"

// Config sizes a site.
type Config struct {
	Hosts   int
	Engines int
	Runners int
	// EnginePool and RunnerPool are names in the set.
	EnginePool, RunnerPool string
	Region                 string
	DataCentres            []string
	// BasePort is the first of the ports used; 0 takes free ones.
	BasePort int
	// Settings is added to every node's settings file.
	Settings string
}

// Host is one entry host's addresses.
type Host struct {
	ID, DataCentre, Caller, Peer, Operator, Metrics string
}

// Endpoint is one endpoint's address.
type Endpoint struct {
	ID, Pool, DataCentre, Address string
}

// Site is a laid out site.
type Site struct {
	Config   Config
	Platform string
	Hosts    []Host
	Engines  []Endpoint
	Runners  []Endpoint
}

// New lays out a site.
func New(cfg Config) (*Site, error) {
	if len(cfg.DataCentres) == 0 {
		return nil, fmt.Errorf("site: DataCentres is empty")
	}
	ports := &ports{base: cfg.BasePort}
	defer ports.close()
	s := &Site{Config: cfg, Platform: ports.next()}
	for i := range cfg.Hosts {
		s.Hosts = append(s.Hosts, Host{
			ID: fmt.Sprintf("host-%d", i+1), DataCentre: s.dataCentre(i),
			Caller: ports.next(), Peer: ports.next(), Operator: ports.next(), Metrics: ports.next(),
		})
	}
	for i := range cfg.Engines {
		s.Engines = append(s.Engines, Endpoint{fmt.Sprintf("engine-%d", i+1), cfg.EnginePool, s.dataCentre(i), ports.next()})
	}
	for i := range cfg.Runners {
		s.Runners = append(s.Runners, Endpoint{fmt.Sprintf("runner-%d", i+1), cfg.RunnerPool, s.dataCentre(i), ports.next()})
	}
	return s, ports.err
}

func (s *Site) dataCentre(i int) string { return s.Config.DataCentres[i%len(s.Config.DataCentres)] }

// HostRecords returns the hosts as the platform lists them.
func (s *Site) HostRecords() []host.Record {
	var records []host.Record
	for _, h := range s.Hosts {
		records = append(records, host.Record{
			ID: host.ID(h.ID), DataCentre: host.DataCentre(h.DataCentre), Region: host.Region(s.Config.Region), PeerAddress: h.Peer,
		})
	}
	return records
}

// EndpointRecords returns the endpoints as the platform lists them.
func (s *Site) EndpointRecords() []engine.Record {
	var records []engine.Record
	for _, e := range append(append([]Endpoint(nil), s.Engines...), s.Runners...) {
		records = append(records, engine.Record{
			ID: engine.ID(e.ID), Pool: e.Pool, DataCentre: host.DataCentre(e.DataCentre), Region: host.Region(s.Config.Region), Address: e.Address,
		})
	}
	return records
}

// HostsDocument returns a list of hosts as a document.
func HostsDocument(records []host.Record) []byte {
	value, _ := json.Marshal(revision.HostList{Hosts: records})
	return value
}

// EndpointsDocument returns a list of endpoints as a document.
func EndpointsDocument(records []engine.Record) []byte {
	value, _ := json.Marshal(revision.EndpointList{Endpoints: records})
	return value
}

// NodeSettings returns the settings file of the i-th host.
func (s *Site) NodeSettings(i int) string {
	h := s.Hosts[i]
	var seeds []string
	for _, other := range s.Hosts {
		if other.ID != h.ID && len(seeds) < 3 {
			seeds = append(seeds, other.Peer)
		}
	}
	lines := []string{
		"[Node]", "Host = " + h.ID, "DataCentre = " + h.DataCentre, "Region = " + s.Config.Region,
		"CallerAddress = " + h.Caller, "PeerAddress = " + h.Peer, "OperatorAddress = " + h.Operator,
		"MetricsAddress = " + h.Metrics, "PlatformAddress = " + s.Platform, "FleetKey = " + FleetKey,
	}
	if len(seeds) > 0 {
		lines = append(lines, "Seeds = "+strings.Join(seeds, ", "))
	}
	if s.Config.Settings != "" {
		lines = append(lines, s.Config.Settings)
	}
	return strings.Join(lines, "\n") + "\n"
}

// ports hands out addresses on loopback. Free ones are held open until all are known, so that none comes twice.
type ports struct {
	base int
	held []net.Listener
	err  error
}

func (p *ports) next() string {
	if p.base > 0 {
		p.base++
		return fmt.Sprintf("127.0.0.1:%d", p.base-1)
	}
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		p.err = err
		return ""
	}
	p.held = append(p.held, listener)
	return listener.Addr().String()
}

func (p *ports) close() {
	for _, listener := range p.held {
		_ = listener.Close()
	}
}
