// Package settings reads the INI settings file of an entry host. It reports all faults in the file at once.
package settings

import (
	"os"
	"time"

	"balsamknot.org/fleet/host"
	"balsamknot.org/fleet/inifile"
	"balsamknot.org/fleet/memory"
	"balsamknot.org/fleet/pool"
)

// Host holds the settings of an entry host. The keys in the file have the names of the fields, except for PeerPorts, which sets
// FirstPort and LastPort.
type Host struct {
	Host       host.ID
	DataCentre host.DataCentre
	Region     host.Region
	// Address is the IP address on which the host listens for messages of other hosts.
	Address string
	// PublishedAddress is the IP address at which other hosts reach this one. If it is empty, Address is used.
	PublishedAddress string
	// CallerAddress and ReadyAddress are the ip:port to listen on for callers and for readiness checks. PeerAddress is an ip:port
	// too. It is accepted but not used: hosts listen for each other on Address and FirstPort.
	CallerAddress string
	ReadyAddress  string
	PeerAddress   string
	// MetricsAddress is the ip:port to serve metrics on. If it is empty, metrics are not served.
	MetricsAddress string
	// FirstPort and LastPort limit the range of ports reserved for messages between hosts. All hosts have the same range.
	FirstPort, LastPort uint16
	// Cores is the CPU time that the host may use, in cores; it need not be a whole number.
	Cores float64
	// MemoryMB is the memory of the host, in units of 2^20 bytes. Its default comes from the environment, see MemoryVariable, or is
	// defaultMemoryMB.
	MemoryMB float64
	// MemoryBudget is how many bytes the bodies, answers, streams and connections of callers may take together; 0 for five eighths of MemoryMB.
	// Changes of both take effect at the next start.
	MemoryBudget float64
	// Seeds are the ip:port addresses of hosts to contact first; some may be out of date. Only the IP address is used, with
	// FirstPort.
	Seeds []string
	// StoreAddress is the ip:port of the platform's store, which publishes configuration and endpoints.
	StoreAddress string
	// DrainLimit is the longest time between SIGTERM and the end of the process.
	DrainLimit time.Duration
	// RevokeLimit is the longest time for which an API key may be accepted after it was revoked.
	RevokeLimit time.Duration
	// RetryRatio and RetrySlack limit the retries of a service within RetryWindow to RetryRatio times its requests, plus
	// RetrySlack.
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64
	// LoadFactor limits the requests running at an endpoint, as a multiple of the mean of its service.
	LoadFactor float64
	// ColdFactor and ColdSlack limit the requests that a cold endpoint gets within a second to ColdFactor times its ColdRate (see site.Service), plus
	// ColdSlack.
	ColdFactor float64
	ColdSlack  float64
	// ColdBound is pool.Config.ColdBound.
	ColdBound pool.ColdBound
	// Regions holds the region of each data centre. If it is empty, all are in Region; else those that it lacks are in none. A change takes effect
	// at the next start.
	Regions host.Regions
}

// Default values.
const (
	defaultDrainLimit  = 8 * time.Second
	defaultRevokeLimit = 5 * time.Second
	defaultRetryRatio  = 0.2
	defaultRetryWindow = 10 * time.Second
	defaultRetrySlack  = 50
	defaultLoadFactor  = 2
	defaultColdFactor  = 1
	// defaultMemoryMB is the memory of a host of which the deployment gives none, in units of 2^20 bytes.
	defaultMemoryMB = 256
)

// minMemoryMB is the least memory of a host, in units of 2^20 bytes.
const minMemoryMB = 32

// Default returns settings in which only the fields with a default value are set.
func Default() Host {
	return Host{
		DrainLimit: defaultDrainLimit, RevokeLimit: defaultRevokeLimit, RetryRatio: defaultRetryRatio,
		RetryWindow: defaultRetryWindow, RetrySlack: defaultRetrySlack, LoadFactor: defaultLoadFactor, ColdFactor: defaultColdFactor, ColdBound: pool.ColdBoundKnown, MemoryMB: defaultMemoryMB,
	}
}

// Memory returns the memory of the host.
func (h *Host) Memory() memory.Bytes { return memory.Bytes(h.MemoryMB * float64(memory.MiB)) }

// RequestMemory returns the memory budget of callers' requests. The default leaves the rest for the program itself, the buffers of the
// kernel and what the garbage collector has not freed yet.
func (h *Host) RequestMemory() memory.Bytes {
	if h.MemoryBudget > 0 {
		return memory.Bytes(h.MemoryBudget)
	}
	return h.Memory() / 8 * 5
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
		"MemoryMB":         inifile.Optional(inifile.Number(&h.MemoryMB, minMemoryMB)),
		"MemoryBudget":     inifile.Optional(inifile.Number(&h.MemoryBudget, 0)),
		"Seeds":            inifile.Optional(inifile.Addresses(&h.Seeds)),
		"StoreAddress":     inifile.Address(&h.StoreAddress),
		"DrainLimit":       inifile.Optional(inifile.Duration(&h.DrainLimit, time.Second)),
		"RevokeLimit":      inifile.Optional(inifile.Duration(&h.RevokeLimit, time.Second)),
		"RetryRatio":       inifile.Optional(inifile.Number(&h.RetryRatio, 0)),
		"RetryWindow":      inifile.Optional(inifile.Duration(&h.RetryWindow, time.Second)),
		"RetrySlack":       inifile.Optional(inifile.Number(&h.RetrySlack, 0)),
		"LoadFactor":       inifile.Optional(inifile.Number(&h.LoadFactor, 1)),
		"ColdFactor":       inifile.Optional(inifile.Number(&h.ColdFactor, 0)),
		"ColdSlack":        inifile.Optional(inifile.Number(&h.ColdSlack, 0)),
		"ColdBound":        inifile.Optional(inifile.OneOf(&h.ColdBound, pool.ColdBoundKnown, pool.ColdBoundAll)),
		"Regions":          inifile.Optional(regions(&h.Regions)),
	}
}

// Environment variables with the defaults of MemoryMB, ColdFactor and ColdSlack; see also RegionsVariable. They are no keys of the deployment's settings file, since releases
// before them refuse files with keys that they don't know, and may run beside this one. An empty variable counts as unset.
const (
	MemoryVariable     = "ENTRY_MEMORY_MB"
	ColdFactorVariable = "ENTRY_COLD_FACTOR"
	ColdSlackVariable  = "ENTRY_COLD_SLACK"
)

// Load reads and parses the settings file at path, with the environment variables. The error is inifile.Faults, also when the file cannot be read.
func Load(path string) (Host, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return Host{}, inifile.Faults{{File: path, Key: "file", Message: err.Error()}}
	}
	defaults := Default()
	if faults := defaults.readEnvironment(path); len(faults) > 0 {
		return Host{}, faults
	}
	return parse(path, content, defaults)
}

// readEnvironment sets the fields that have environment variables. path is only used in error messages.
func (h *Host) readEnvironment(path string) inifile.Faults {
	var faults inifile.Faults
	for _, v := range []struct {
		name string
		set  inifile.Setter
	}{
		{MemoryVariable, inifile.Number(&h.MemoryMB, minMemoryMB)},
		{ColdFactorVariable, inifile.Number(&h.ColdFactor, 0)},
		{ColdSlackVariable, inifile.Number(&h.ColdSlack, 0)},
		{RegionsVariable, regions(&h.Regions)},
	} {
		text := os.Getenv(v.name)
		if text == "" {
			continue
		}
		if err := v.set(text); err != nil {
			faults = append(faults, inifile.Fault{File: path, Key: v.name, Message: err.Error()})
		}
	}
	return faults
}

// Parse parses the content of a settings file: one section [Host] with lines of the form Key = value. path is only used in error
// messages. The error is inifile.Faults with all faults found.
func Parse(path string, content []byte) (Host, error) { return parse(path, content, Default()) }

func parse(path string, content []byte, h Host) (Host, error) {
	schema := inifile.Schema{Section: "Host", Setters: h.setters(), Required: required}
	if err := schema.Parse(path, content); err != nil {
		return Host{}, err
	}
	return h, nil
}
