// Package settings reads a node's settings file and lists every fault in it at once.
package settings

import (
	"os"
	"time"

	"balsamknot.org/fleet/host"
	"balsamknot.org/fleet/inifile"
)

// Node is everything that a process learns from its settings. Keys in the file have the fields' names.
type Node struct {
	Host       host.ID
	DataCentre host.DataCentre
	Region     host.Region
	// CallerAddress, PeerAddress, OperatorAddress and MetricsAddress are ip:port to listen on.
	CallerAddress   string
	PeerAddress     string
	OperatorAddress string
	MetricsAddress  string
	// PlatformAddress is the ip:port of the platform's service of documents.
	PlatformAddress string
	// Seeds are peer addresses to ask at start while the platform is down or stale.
	Seeds []string
	// FleetKey is the secret by which nodes know each other, at least 16 bytes in hexadecimal.
	FleetKey []byte
	// KeyLifetime is how long an idempotency key may run. It must be the same on all nodes.
	KeyLifetime time.Duration
	// ClockSkew bounds the difference between any two clocks. It must be the same on all nodes.
	ClockSkew time.Duration
	// ElectorGrace is how long a change of the host list stands before electors change.
	ElectorGrace time.Duration
	// DrainGrace is how long a stopping node still takes requests while the balancer notices.
	DrainGrace time.Duration
	// DrainLimit is how long a stopping node waits for requests in flight.
	DrainLimit time.Duration
	// Routing names the policy of choice, Balsamknot unless a measurement sets a baseline.
	Routing Routing
}

// Routing is a policy of choice.
type Routing string

// Policies of choice. All but the first are baselines for measurements.
const (
	RoutingBalsamknot  Routing = "Balsamknot"
	RoutingRandom      Routing = "Random"
	RoutingLeastLoaded Routing = "LeastLoaded"
	RoutingHashOnly    Routing = "HashOnly"
)

// Faults is everything wrong with a settings file.
type Faults = inifile.Faults

// Defaults of a node's settings.
const (
	defaultKeyLifetime  = 10 * time.Minute
	defaultClockSkew    = 2 * time.Second
	defaultElectorGrace = 10 * time.Second
	defaultDrainGrace   = 3 * time.Second
	defaultDrainLimit   = time.Hour
	minimumFleetKey     = 16
)

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
		"FleetKey":        inifile.Secret(&n.FleetKey, minimumFleetKey),
		"KeyLifetime":     inifile.Duration(&n.KeyLifetime, time.Second),
		"ClockSkew":       inifile.Duration(&n.ClockSkew, 0),
		"ElectorGrace":    inifile.Duration(&n.ElectorGrace, 0),
		"DrainGrace":      inifile.Duration(&n.DrainGrace, 0),
		"DrainLimit":      inifile.Duration(&n.DrainLimit, 0),
		"Routing":         inifile.OneOf(&n.Routing, RoutingBalsamknot, RoutingRandom, RoutingLeastLoaded, RoutingHashOnly),
	}
}

var required = []string{
	"Host", "DataCentre", "Region", "CallerAddress", "PeerAddress", "OperatorAddress", "MetricsAddress",
	"PlatformAddress", "FleetKey",
}

// Default returns settings with every default and nothing else.
func Default() Node {
	return Node{
		KeyLifetime: defaultKeyLifetime, ClockSkew: defaultClockSkew, ElectorGrace: defaultElectorGrace,
		DrainGrace: defaultDrainGrace, DrainLimit: defaultDrainLimit, Routing: RoutingBalsamknot,
	}
}

// Load reads a settings file.
func Load(path string) (Node, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return Node{}, Faults{{File: path, Key: "file", Message: err.Error()}}
	}
	return Parse(path, content)
}

// Parse reads settings: one section [Node] of Key = value. The error is a Faults with every fault found.
func Parse(path string, content []byte) (Node, error) {
	n := Default()
	schema := inifile.Schema{Section: "Node", Setters: n.setters(), Required: required}
	if err := schema.Parse(path, content); err != nil {
		return Node{}, err
	}
	return n, nil
}
