// Package settings reads a node's settings file and lists every fault in it at once.
package settings

import (
	"cmp"
	"encoding/hex"
	"fmt"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
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

// Fault is one thing wrong with a settings file.
type Fault struct {
	File string
	// Line counts from 1; 0 when a setting is missing.
	Line    int
	Key     string
	Message string
}

// Faults is everything wrong with a settings file.
type Faults []Fault

// Error implements error, one line a fault.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fmt.Sprintf("%s:%d: %s: %s", fault.File, fault.Line, fault.Key, fault.Message)
	}
	return strings.Join(lines, "\n")
}

// Defaults of a node's settings.
const (
	defaultKeyLifetime  = 10 * time.Minute
	defaultClockSkew    = 2 * time.Second
	defaultElectorGrace = 10 * time.Second
	defaultDrainGrace   = 3 * time.Second
	defaultDrainLimit   = time.Hour
	minimumFleetKey     = 16
)

type setter func(value string) error

func (n *Node) setters() map[string]setter {
	return map[string]setter{
		"Host":            text(&n.Host),
		"DataCentre":      text(&n.DataCentre),
		"Region":          text(&n.Region),
		"CallerAddress":   address(&n.CallerAddress),
		"PeerAddress":     address(&n.PeerAddress),
		"OperatorAddress": address(&n.OperatorAddress),
		"MetricsAddress":  address(&n.MetricsAddress),
		"PlatformAddress": address(&n.PlatformAddress),
		"Seeds":           addresses(&n.Seeds),
		"FleetKey":        secret(&n.FleetKey),
		"KeyLifetime":     duration(&n.KeyLifetime, time.Second),
		"ClockSkew":       duration(&n.ClockSkew, 0),
		"ElectorGrace":    duration(&n.ElectorGrace, 0),
		"DrainGrace":      duration(&n.DrainGrace, 0),
		"DrainLimit":      duration(&n.DrainLimit, 0),
		"Routing":         oneOf(&n.Routing, RoutingBalsamknot, RoutingRandom, RoutingLeastLoaded, RoutingHashOnly),
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
	setters := n.setters()
	seen := make(map[string]bool)
	var faults Faults
	for i, line := range strings.Split(string(content), "\n") {
		line = strings.TrimSpace(line)
		if inifile.Blank(line) || line == "[Node]" {
			continue
		}
		key, value, ok := inifile.Setting(line)
		fault := Fault{File: path, Line: i + 1, Key: key}
		set, known := setters[key]
		switch {
		case !ok:
			fault.Key, fault.Message = line, "not a setting; write Key = value below [Node]"
		case !known:
			fault.Message = "unknown setting"
		case seen[key]:
			fault.Message = "set twice"
		default:
			seen[key] = true
			if err := set(value); err != nil {
				fault.Message = err.Error()
			}
		}
		if fault.Message != "" {
			faults = append(faults, fault)
		}
	}
	for _, key := range required {
		if !seen[key] {
			faults = append(faults, Fault{File: path, Key: key, Message: "setting is missing"})
		}
	}
	if len(faults) > 0 {
		slices.SortStableFunc(faults, func(a, b Fault) int { return cmp.Compare(a.Line, b.Line) })
		return Node{}, faults
	}
	return n, nil
}

func text[T ~string](into *T) setter {
	return func(value string) error {
		if value == "" {
			return fmt.Errorf("is empty")
		}
		*into = T(value)
		return nil
	}
}

func address(into *string) setter {
	return func(value string) error {
		if err := checkAddress(value); err != nil {
			return err
		}
		*into = value
		return nil
	}
}

func addresses(into *[]string) setter {
	return func(value string) error {
		for part := range strings.SplitSeq(value, ",") {
			part = strings.TrimSpace(part)
			if err := checkAddress(part); err != nil {
				return err
			}
			*into = append(*into, part)
		}
		return nil
	}
}

func checkAddress(value string) error {
	ip, port, err := net.SplitHostPort(value)
	if err != nil || net.ParseIP(ip) == nil {
		return fmt.Errorf("%q is not ip:port", value)
	}
	if _, err := strconv.ParseUint(port, 10, 16); err != nil {
		return fmt.Errorf("%q has no port from 0 to 65535", value)
	}
	return nil
}

func secret(into *[]byte) setter {
	return func(value string) error {
		raw, err := hex.DecodeString(value)
		if err != nil || len(raw) < minimumFleetKey {
			return fmt.Errorf("is not at least %d bytes in hexadecimal", minimumFleetKey)
		}
		*into = raw
		return nil
	}
}

func duration(into *time.Duration, least time.Duration) setter {
	return func(value string) error {
		d, err := time.ParseDuration(value)
		if err != nil || d < least {
			return fmt.Errorf("%q is not a time of at least %s, such as 10s", value, least)
		}
		*into = d
		return nil
	}
}

func oneOf[T ~string](into *T, allowed ...T) setter {
	return func(value string) error {
		if !slices.Contains(allowed, T(value)) {
			return fmt.Errorf("%q is not one of %v", value, allowed)
		}
		*into = T(value)
		return nil
	}
}
