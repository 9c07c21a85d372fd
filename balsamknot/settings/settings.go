// Package settings reads the settings file of a node and reports all faults in it together.
package settings

import (
	"os"
	"time"

	"balsamknot.org/fleet/host"
	"balsamknot.org/fleet/inifile"
)

// Node holds the settings of a node. The keys in the file are the names of the fields.
type Node struct {
	Host       host.ID
	DataCentre host.DataCentre
	Region     host.Region
	// CallerAddress, PeerAddress, OperatorAddress and MetricsAddress are the ip:port of the node's listeners.
	CallerAddress   string
	PeerAddress     string
	OperatorAddress string
	MetricsAddress  string
	// PlatformAddress is the ip:port of the platform's document service.
	PlatformAddress string
	// Seeds are addresses of peers that the node queries for documents at startup, so that it can start while the platform is
	// down or serves old versions.
	Seeds []string
	// FleetKey is the shared secret with which nodes authenticate to each other; in the file at least 16 bytes in
	// hexadecimal.
	FleetKey []byte
	// KeyLifetime is how long after its creation an idempotency key may be run. It must be the same on all nodes.
	KeyLifetime time.Duration
	// ClockSkew is the maximum difference between any two clocks of callers and hosts. It must be the same on all nodes.
	ClockSkew time.Duration
	// ElectorGrace is how long a change of the host list must persist before the set of electors follows it. An elector is a
	// host that votes on which host may run a request with an idempotency key.
	ElectorGrace time.Duration
	// DrainGrace is how long a stopping node still accepts requests, until the load balancer no longer sends any.
	DrainGrace time.Duration
	// DrainLimit is the maximum time that a stopping node waits for requests in flight, after DrainGrace.
	DrainLimit time.Duration
	// Routing selects how the node picks endpoints; it is Balsamknot except in benchmarks.
	Routing Routing
}

// Routing names an algorithm that picks the endpoints for a request.
type Routing string

// The routing algorithms. RoutingBalsamknot tries several endpoints in rendezvous order, subject to their load. The others
// are baselines for benchmarks and pick a single endpoint without a load bound: at random, the one with the lowest reported
// load, or the first in rendezvous order.
const (
	RoutingBalsamknot  Routing = "Balsamknot"
	RoutingRandom      Routing = "Random"
	RoutingLeastLoaded Routing = "LeastLoaded"
	RoutingHashOnly    Routing = "HashOnly"
)

// Faults holds all problems in a settings file; Load and Parse return it as their error.
type Faults = inifile.Faults

// Defaults of a node's settings.
const (
	defaultKeyLifetime   = 10 * time.Minute
	defaultClockSkew     = 2 * time.Second
	defaultElectorGrace  = 10 * time.Second
	defaultDrainGrace    = 3 * time.Second
	defaultDrainLimit    = time.Hour
	minimumFleetKeyBytes = 16
)

// setters returns the setter of each key, which stores into n.
func (n *Node) setters() map[string]inifile.Setter {
	return map[string]inifile.Setter{
		"Host":            inifile.Text(&n.Host),
		"DataCentre":      inifile.Text(&n.DataCentre),
		"Region":          inifile.Text(&n.Region),
		"CallerAddress":   inifile.Address(&n.CallerAddress),
		"PeerAddress":     inifile.Address(&n.PeerAddress),
		"OperatorAddress": inifile.Address(&n.OperatorAddress),
		"MetricsAddress":  inifile.Address(&n.MetricsAddress),
		"PlatformAddress": inifile.Address(&n.PlatformAddress),
		"Seeds":           inifile.Addresses(&n.Seeds),
		"FleetKey":        inifile.Secret(&n.FleetKey, minimumFleetKeyBytes),
		"KeyLifetime":     inifile.Duration(&n.KeyLifetime, time.Second),
		"ClockSkew":       inifile.Duration(&n.ClockSkew, 0),
		"ElectorGrace":    inifile.Duration(&n.ElectorGrace, 0),
		"DrainGrace":      inifile.Duration(&n.DrainGrace, 0),
		"DrainLimit":      inifile.Duration(&n.DrainLimit, 0),
		"Routing":         inifile.OneOf(&n.Routing, RoutingBalsamknot, RoutingRandom, RoutingLeastLoaded, RoutingHashOnly),
	}
}

var requiredKeys = []string{
	"Host", "DataCentre", "Region", "CallerAddress", "PeerAddress", "OperatorAddress", "MetricsAddress",
	"PlatformAddress", "FleetKey",
}

// Default returns the settings that apply when the file has none of the optional keys; required ones are empty.
func Default() Node {
	return Node{
		KeyLifetime: defaultKeyLifetime, ClockSkew: defaultClockSkew, ElectorGrace: defaultElectorGrace,
		DrainGrace: defaultDrainGrace, DrainLimit: defaultDrainLimit, Routing: RoutingBalsamknot,
	}
}

// Load reads and parses the settings file at path. The error is of type Faults, also when the file can't be read.
func Load(path string) (Node, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return Node{}, Faults{{File: path, Key: "file", Message: err.Error()}}
	}
	return Parse(path, content)
}

// Parse parses settings: a single section [Node] with lines Key = value. The error is of type Faults and holds all faults
// found; path only names the file in them.
func Parse(path string, content []byte) (Node, error) {
	n := Default()
	schema := inifile.Schema{Section: "Node", Setters: n.setters(), Required: requiredKeys}
	if err := schema.Parse(path, content); err != nil {
		return Node{}, err
	}
	return n, nil
}
