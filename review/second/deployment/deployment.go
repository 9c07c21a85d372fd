// Package deployment starts the project's own program as separate processes on loopback, with settings like those of a small deployment, and
// records what was sent, answered and run.
package deployment

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"balsamknot.org/platform"
	"balsamknot.org/platform/standin"
)

// Exit codes of a case.
const (
	ExitHeld   = 0
	ExitBroken = 1
	ExitNotRun = 2
)

// Record is the file to which a case writes what happened.
type Record struct {
	mu    sync.Mutex
	out   *os.File
	start time.Time
}

// NewRecord creates the record at path.
func NewRecord(path string) (*Record, error) {
	out, err := os.Create(path)
	return &Record{out: out, start: time.Now()}, err
}

// Printf adds a line with the time since the start.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f  ", time.Since(r.start).Seconds()) + fmt.Sprintf(format, args...)
	_, _ = fmt.Fprintln(r.out, line)
	fmt.Println(line)
}

// Host is one entry host.
type Host struct {
	Name, Callers, ready, settings, log string
	// Process is the host's process.
	Process *exec.Cmd
	// Link carries the TCP connections of other hosts to this one, with Config.Links.
	Link    *Proxy
	program string
	memory  string
}

// Config describes the entry hosts of a deployment.
type Config struct {
	// Program is the path of the deployed program.
	Program string
	// Dir is a temporary folder.
	Dir   string
	Hosts int
	// DataCentres are given to the hosts in turn.
	DataCentres []string
	// StoreAddress returns the address of the store for a host.
	StoreAddress func(host int) string
	// Links is true if the hosts reach each other through proxies; see Host.Link.
	Links bool
	// MemoryMB is the memory of a host, in units of 2^20 bytes; 0 for that of the small sites.
	MemoryMB int
}

// Deployment is a set of running entry hosts.
type Deployment struct {
	cfg        Config
	Hosts      []*Host
	forwarders []*Forwarder
}

const (
	firstPeerPort = 0
	peerPorts     = 4
	metricsPort   = 5
	readyPort     = 6
	callerPort    = 7
	portsPerHost  = 8
)

// Start starts the hosts and waits until all are ready.
func Start(cfg Config) (*Deployment, error) {
	d := &Deployment{cfg: cfg}
	network, base, err := freeAddresses(cfg.Hosts)
	if err != nil {
		return nil, err
	}
	ip := func(i int) string { return fmt.Sprintf("127.%d.1.%d", network, i+1) }
	published := func(i int) string {
		if cfg.Links {
			return fmt.Sprintf("127.%d.2.%d", network, i+1)
		}
		return ip(i)
	}
	var seeds []string
	for i := range min(cfg.Hosts, 3) {
		seeds = append(seeds, fmt.Sprintf("%s:%d", published(i), base))
	}
	for i := range cfg.Hosts {
		h := &Host{
			Name: fmt.Sprintf("host-%d", i+1), Callers: fmt.Sprintf("%s:%d", ip(i), base+callerPort), ready: fmt.Sprintf("%s:%d", ip(i), base+readyPort),
			settings: filepath.Join(cfg.Dir, fmt.Sprintf("host-%d.ini", i+1)), log: filepath.Join(cfg.Dir, fmt.Sprintf("host-%d.log", i+1)),
			program: cfg.Program, memory: fmt.Sprint(max(cfg.MemoryMB, 0)),
		}
		if cfg.MemoryMB == 0 {
			h.memory = "284"
		}
		settings := fmt.Sprintf(`[Host]
Host = %s
DataCentre = %s
Region = r1
Address = %s
CallerAddress = %s
ReadyAddress = %s
MetricsAddress = %s:%d
PeerPorts = %d-%d
Cores = 0.4
Seeds = %s
StoreAddress = %s
DrainLimit = 8s
RevokeLimit = 5000ms
RetryRatio = 0.2
RetryWindow = 10s
RetrySlack = 56
LoadFactor = 2
`, h.Name, cfg.DataCentres[i%len(cfg.DataCentres)], ip(i), h.Callers, h.ready, ip(i), base+metricsPort, base+firstPeerPort, base+peerPorts,
			strings.Join(seeds, ","), cfg.StoreAddress(i))
		if cfg.Links {
			settings += "PublishedAddress = " + published(i) + "\n"
			if h.Link, err = NewProxyAt(fmt.Sprintf("%s:%d", published(i), base+firstPeerPort+1), fmt.Sprintf("%s:%d", ip(i), base+firstPeerPort+1)); err != nil {
				return d, err
			}
			forwarder, err := NewForwarder(fmt.Sprintf("%s:%d", published(i), base+firstPeerPort), fmt.Sprintf("%s:%d", ip(i), base+firstPeerPort))
			if err != nil {
				return d, err
			}
			d.forwarders = append(d.forwarders, forwarder)
		}
		if err := os.WriteFile(h.settings, []byte(settings), 0o600); err != nil {
			return d, err
		}
		d.Hosts = append(d.Hosts, h)
	}
	for _, h := range d.Hosts {
		if err := h.Start(); err != nil {
			return d, err
		}
	}
	for _, h := range d.Hosts {
		if !h.AwaitReady(15 * time.Second) {
			return d, fmt.Errorf("%s is not ready", h.Name)
		}
	}
	return d, nil
}

// freeAddresses returns the second byte of the hosts' addresses and the first of their ports, which are the same for all.
func freeAddresses(hosts int) (network, base int, err error) {
	for range 50 {
		network, base = 100+rand.IntN(100), 20000+portsPerHost*rand.IntN(1000)
		if allFree(network, base, hosts) {
			return network, base, nil
		}
	}
	return 0, 0, fmt.Errorf("no free ports")
}

func allFree(network, base, hosts int) bool {
	for i := range hosts {
		for port := base; port < base+portsPerHost; port++ {
			l, err := net.Listen("tcp", fmt.Sprintf("127.%d.1.%d:%d", network, i+1, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// Start starts the host's process by the command of the deploy file.
func (h *Host) Start() error {
	log, err := os.OpenFile(h.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	h.Process = exec.Command(h.program, "--settings", h.settings)
	h.Process.Stdout, h.Process.Stderr = log, log
	h.Process.Env = append(os.Environ(), "ENTRY_MEMORY_MB="+h.memory)
	endWithParent(h.Process)
	return h.Process.Start()
}

// AwaitReady waits until the host says that it is ready.
func (h *Host) AwaitReady(limit time.Duration) bool {
	client := &http.Client{Timeout: 300 * time.Millisecond}
	defer client.CloseIdleConnections()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + h.ready + platform.ReadyPath)
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// Kill ends the host's process with SIGKILL.
func (h *Host) Kill() {
	_ = h.Process.Process.Kill()
	_ = h.Process.Wait()
}

// Close ends all hosts.
func (d *Deployment) Close() {
	for _, h := range d.Hosts {
		if h.Process != nil && h.Process.Process != nil {
			h.Kill()
		}
		if h.Link != nil {
			h.Link.Close()
		}
	}
	for _, f := range d.forwarders {
		f.Close()
	}
}

// Logs returns the lines of a host's log that contain all of the given texts.
func (h *Host) Logs(texts ...string) []string {
	raw, _ := os.ReadFile(h.log)
	var lines []string
	for line := range strings.Lines(string(raw)) {
		matches := true
		for _, text := range texts {
			matches = matches && strings.Contains(line, text)
		}
		if matches {
			lines = append(lines, strings.TrimSpace(line))
		}
	}
	return lines
}

// Answer is what a client got for a request.
type Answer struct {
	Status int
	Seal   string
	Body   string
	// Err is set if no complete answer came.
	Err error
}

// Send sends a request to a host over a connection of its own, and reads the answer.
func Send(h *Host, method, path, id, key string, timeLeft time.Duration, set func(r *http.Request)) Answer {
	transport := &http.Transport{DisableCompression: true, DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	r := standin.NewCall(h.Callers, method, path, id, key, nil)
	standin.SetTimeLeft(r, timeLeft)
	if set != nil {
		set(r)
	}
	response, err := transport.RoundTrip(r)
	if err != nil {
		return Answer{Err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return Answer{Status: response.StatusCode, Seal: response.Header.Get(standin.SealHeader), Body: string(body), Err: err}
}
