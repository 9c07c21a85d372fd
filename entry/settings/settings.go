// Package settings reads the settings of an entry host and lists every fault in them at once.
package settings

import (
	"os"
	"time"

	"balsamknot.org/fleet/host"
	"balsamknot.org/fleet/inifile"
)

// Host is everything that an entry host learns from its settings. Keys in the file have the fields' names.
type Host struct {
	Host       host.ID
	DataCentre host.DataCentre
	Region     host.Region
	// Address is the host's own IP address.
	Address string
	// PublishedAddress is the IP address at which other hosts reach this one; Address if it is empty.
	PublishedAddress string
	// CallerAddress, ReadyAddress and PeerAddress are ip:port to listen on.
	CallerAddress string
	ReadyAddress  string
	PeerAddress   string
	// MetricsAddress is the ip:port where counters are served; empty for none.
	MetricsAddress string
	// FirstPort and LastPort are free for messages between hosts, on every host alike.
	FirstPort, LastPort uint16
	// Cores is the processor time that the host has, in cores.
	Cores float64
	// Seeds are peer addresses of some hosts; they may be stale.
	Seeds []string
	// StoreAddress is the ip:port of the platform's store.
	StoreAddress string
	// DrainLimit is how long the process may live after SIGTERM.
	DrainLimit time.Duration
	// RevokeLimit is how long after its removal a key may still be used.
	RevokeLimit time.Duration
	// RetryRatio, RetryWindow and RetrySlack bound the repeats of a service.
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64
	// LoadFactor bounds an engine's load against its service's mean.
	LoadFactor float64
}

// Defaults of a host's settings.
const (
	defaultDrainLimit  = 8 * time.Second
	defaultRevokeLimit = 5 * time.Second
	defaultRetryRatio  = 0.2
	defaultRetryWindow = 10 * time.Second
	defaultRetrySlack  = 50
	defaultLoadFactor  = 2
)

// Default returns settings with every default and nothing else.
func Default() Host {
	return Host{
		DrainLimit: defaultDrainLimit, RevokeLimit: defaultRevokeLimit, RetryRatio: defaultRetryRatio,
		RetryWindow: defaultRetryWindow, RetrySlack: defaultRetrySlack, LoadFactor: defaultLoadFactor,
	}
}

var required = []string{"Host", "DataCentre", "Region", "Address", "CallerAddress", "ReadyAddress", "PeerPorts", "StoreAddress"}

func (h *Host) setters() map[string]inifile.Setter {
	return map[string]inifile.Setter{
		"Host":             inifile.Text(&h.Host),
		"DataCentre":       inifile.Text(&h.DataCentre),
		"Region":           inifile.Text(&h.Region),
		"Address":          inifile.Text(&h.Address),
		"PublishedAddress": inifile.Optional(inifile.Text(&h.PublishedAddress)),
		"CallerAddress":    inifile.Address(&h.CallerAddress),
		"ReadyAddress":     inifile.Address(&h.ReadyAddress),
		"PeerAddress":      inifile.Optional(inifile.Address(&h.PeerAddress)),
		"MetricsAddress":   inifile.Optional(inifile.Address(&h.MetricsAddress)),
		"PeerPorts":        inifile.Ports(&h.FirstPort, &h.LastPort),
		"Cores":            inifile.Optional(inifile.Number(&h.Cores, 0)),
		"Seeds":            inifile.Optional(inifile.Addresses(&h.Seeds)),
		"StoreAddress":     inifile.Address(&h.StoreAddress),
		"DrainLimit":       inifile.Optional(inifile.Duration(&h.DrainLimit, time.Second)),
		"RevokeLimit":      inifile.Optional(inifile.Duration(&h.RevokeLimit, time.Second)),
		"RetryRatio":       inifile.Optional(inifile.Number(&h.RetryRatio, 0)),
		"RetryWindow":      inifile.Optional(inifile.Duration(&h.RetryWindow, time.Second)),
		"RetrySlack":       inifile.Optional(inifile.Number(&h.RetrySlack, 0)),
		"LoadFactor":       inifile.Optional(inifile.Number(&h.LoadFactor, 1)),
	}
}

// Load reads a settings file.
func Load(path string) (Host, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return Host{}, inifile.Faults{{File: path, Key: "file", Message: err.Error()}}
	}
	return Parse(path, content)
}

// Parse reads settings: one section [Host] of Key = value. The error is inifile.Faults with every fault found.
func Parse(path string, content []byte) (Host, error) {
	h := Default()
	schema := inifile.Schema{Section: "Host", Setters: h.setters(), Required: required}
	if err := schema.Parse(path, content); err != nil {
		return Host{}, err
	}
	return h, nil
}
