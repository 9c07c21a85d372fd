// Package site lays out a simulated site on 127.0.0.1: it assigns addresses to hosts, engines and runners, produces the
// documents in which the platform lists them and the settings file of each host's node, and serves everything but the nodes.
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

// FleetKey is the secret, in hexadecimal, with which the nodes of a simulated site authenticate each other.
const FleetKey = "62616c73616d6b6e6f742d7374616e64"

// Config holds the parameters of a site.
type Config struct {
	// Hosts, Engines and Runners are the numbers of each; engines run models, runners run the actions of a plain service.
	Hosts   int
	Engines int
	Runners int
	// EnginePool and RunnerPool are the names of the engine pools in the published set to which engines and runners belong.
	EnginePool, RunnerPool string
	Region                 string
	// DataCentres are filled in turn, with hosts as with engines and runners; there must be at least one.
	DataCentres []string
	// BasePort is the first of the consecutive ports that are used; 0 picks free ones.
	BasePort int
	// ExtraSettings is appended to the [Node] section of every settings file.
	ExtraSettings string
}

// Host holds the ID and the data centre of a host, and the host:port addresses on which its node listens.
type Host struct {
	ID, DataCentre, CallerAddress, PeerAddress, OperatorAddress, MetricsAddress string
}

// Endpoint is an engine or runner, the engine pool it belongs to and the host:port address on which it listens.
type Endpoint struct {
	ID, Pool, DataCentre, Address string
}

// Site holds the addresses of a simulated site. Nothing listens on them before Start.
type Site struct {
	Config          Config
	PlatformAddress string
	Hosts           []Host
	Engines         []Endpoint
	Runners         []Endpoint
}

// New assigns addresses to a site. It returns an error if cfg names no data centre or no free port is left.
func New(cfg Config) (*Site, error) {
	if len(cfg.DataCentres) == 0 {
		return nil, fmt.Errorf("site: DataCentres is empty")
	}
	addresses := &addressAllocator{nextPort: cfg.BasePort}
	defer addresses.close()
	s := &Site{Config: cfg, PlatformAddress: addresses.allocate()}
	for i := range cfg.Hosts {
		s.Hosts = append(s.Hosts, Host{
			ID: fmt.Sprintf("host-%d", i+1), DataCentre: s.dataCentre(i),
			CallerAddress: addresses.allocate(), PeerAddress: addresses.allocate(), OperatorAddress: addresses.allocate(), MetricsAddress: addresses.allocate(),
		})
	}
	for i := range cfg.Engines {
		s.Engines = append(s.Engines, Endpoint{fmt.Sprintf("engine-%d", i+1), cfg.EnginePool, s.dataCentre(i), addresses.allocate()})
	}
	for i := range cfg.Runners {
		s.Runners = append(s.Runners, Endpoint{fmt.Sprintf("runner-%d", i+1), cfg.RunnerPool, s.dataCentre(i), addresses.allocate()})
	}
	return s, addresses.err
}

func (s *Site) dataCentre(i int) string { return s.Config.DataCentres[i%len(s.Config.DataCentres)] }

// HostRecords returns the hosts in the form in which the platform lists them.
func (s *Site) HostRecords() []host.Record {
	var records []host.Record
	for _, h := range s.Hosts {
		records = append(records, host.Record{
			ID: host.ID(h.ID), DataCentre: host.DataCentre(h.DataCentre), Region: host.Region(s.Config.Region), PeerAddress: h.PeerAddress,
		})
	}
	return records
}

// EndpointRecords returns engines and runners in the form in which the platform lists endpoints.
func (s *Site) EndpointRecords() []engine.Record {
	var records []engine.Record
	for _, e := range append(append([]Endpoint(nil), s.Engines...), s.Runners...) {
		records = append(records, engine.Record{
			ID: engine.ID(e.ID), Pool: e.Pool, DataCentre: host.DataCentre(e.DataCentre), Region: host.Region(s.Config.Region), Address: e.Address,
		})
	}
	return records
}

// HostsDocument encodes a list of hosts as the platform's document revision.DocumentHosts.
func HostsDocument(records []host.Record) []byte {
	value, _ := json.Marshal(revision.HostList{Hosts: records})
	return value
}

// EndpointsDocument encodes a list of endpoints as the platform's document revision.DocumentEndpoints.
func EndpointsDocument(records []engine.Record) []byte {
	value, _ := json.Marshal(revision.EndpointList{Endpoints: records})
	return value
}

// NodeSettings returns the text of the settings file for Hosts[i]. Its seeds are the peer addresses of up to three other
// hosts.
func (s *Site) NodeSettings(i int) string {
	h := s.Hosts[i]
	var seeds []string
	for _, other := range s.Hosts {
		if other.ID != h.ID && len(seeds) < 3 {
			seeds = append(seeds, other.PeerAddress)
		}
	}
	lines := []string{
		"[Node]", "Host = " + h.ID, "DataCentre = " + h.DataCentre, "Region = " + s.Config.Region,
		"CallerAddress = " + h.CallerAddress, "PeerAddress = " + h.PeerAddress, "OperatorAddress = " + h.OperatorAddress,
		"MetricsAddress = " + h.MetricsAddress, "PlatformAddress = " + s.PlatformAddress, "FleetKey = " + FleetKey,
	}
	if len(seeds) > 0 {
		lines = append(lines, "Seeds = "+strings.Join(seeds, ", "))
	}
	if s.Config.ExtraSettings != "" {
		lines = append(lines, s.Config.ExtraSettings)
	}
	return strings.Join(lines, "\n") + "\n"
}

// addressAllocator assigns addresses on 127.0.0.1: consecutive ports from nextPort on or, if that is 0, free ones. It keeps
// listening on free ports until close, so that the kernel does not assign a port twice. err is the last failure to listen.
type addressAllocator struct {
	nextPort  int
	listeners []net.Listener
	err       error
}

func (a *addressAllocator) allocate() string {
	if a.nextPort > 0 {
		a.nextPort++
		return fmt.Sprintf("127.0.0.1:%d", a.nextPort-1)
	}
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		a.err = err
		return ""
	}
	a.listeners = append(a.listeners, listener)
	return listener.Addr().String()
}

func (a *addressAllocator) close() {
	for _, listener := range a.listeners {
		_ = listener.Close()
	}
}
