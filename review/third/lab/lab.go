// Package lab runs entry hosts as separate processes on loopback addresses, before the stand-ins of package standin, for the cases of this
// review.
package lab

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
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

// Trouble reports whether the case runs with its disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Record writes what was sent, answered and run to a file, with the time since its start in seconds. It is safe for concurrent use.
type Record struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
	out   *bufio.Writer
}

// NewRecord creates the file that the environment variable RECORD names, or record.txt.
func NewRecord() *Record {
	path := os.Getenv("RECORD")
	if path == "" {
		path = "record.txt"
	}
	file, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "create the record:", err)
		os.Exit(ExitNotRun)
	}
	return &Record{start: time.Now(), file: file, out: bufio.NewWriter(file)}
}

// Printf writes a line.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

// Say writes a line and prints it.
func (r *Record) Say(format string, args ...any) {
	r.Printf(format, args...)
	fmt.Printf("%8.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

// Close writes what is buffered.
func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}

// Site is a small deployment: a store and entry hosts.
type Site struct {
	Store  *standin.Store
	Hosts  []*Host
	Record *Record

	dir       string
	firstPort int
	program   string
}

// Host is one entry host.
type Host struct {
	Name          string
	CallerAddress string
	ReadyAddress  string

	site     *Site
	settings string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	// startedAt is when the current process was started.
	startedAt time.Time
}

// Config describes a site.
type Config struct {
	Hosts int
}

// portsPerHost is how many ports each host gets from the first one on; all hosts have the same.
const portsPerHost = 8

// NewSite starts a store and writes the settings of the hosts. It does not start them.
func NewSite(record *Record, cfg Config) (*Site, error) {
	program := os.Getenv("ENTRY")
	if program == "" {
		program = "../../target/entry"
	}
	program, err := filepath.Abs(program)
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "case-")
	if err != nil {
		return nil, err
	}
	s := &Site{Store: standin.NewStore(), Record: record, dir: dir, program: program}
	go s.endOnSignal()
	network := 100 + rand.IntN(100)
	for range 50 {
		if s.firstPort = 20000 + rand.IntN(1500)*portsPerHost; s.portsFree(network, cfg.Hosts) {
			break
		}
	}
	for i := range cfg.Hosts {
		if err := s.addHost(network, i, cfg.Hosts); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// endOnSignal ends all processes if this one is told to end.
func (s *Site) endOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	s.Close()
	s.Record.Close()
	os.Exit(ExitNotRun)
}

func hostIP(network, i int) string { return fmt.Sprintf("127.%d.1.%d", network, 10+i) }

func (s *Site) portsFree(network, hosts int) bool {
	for i := range hosts {
		for port := range portsPerHost {
			l, err := net.Listen("tcp", net.JoinHostPort(hostIP(network, i), strconv.Itoa(s.firstPort+port)))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func (s *Site) addHost(network, i, hosts int) error {
	ip := hostIP(network, i)
	var seeds []string
	for seed := range min(hosts, 3) {
		seeds = append(seeds, fmt.Sprintf("%s:%d", hostIP(network, seed), s.firstPort+6))
	}
	h := &Host{
		Name: fmt.Sprintf("front-%d", i+1), site: s, settings: filepath.Join(s.dir, fmt.Sprintf("host-%d.ini", i+1)),
		CallerAddress: fmt.Sprintf("%s:%d", ip, s.firstPort+5), ReadyAddress: fmt.Sprintf("%s:%d", ip, s.firstPort+4),
	}
	text := fmt.Sprintf(`[Host]
Host = %s
DataCentre = z%d
Region = r1
Address = %s
CallerAddress = %s
ReadyAddress = %s
PeerAddress = %s:%d
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
`, h.Name, i%4+1, ip, h.CallerAddress, h.ReadyAddress, ip, s.firstPort+6, ip, s.firstPort+7, s.firstPort, s.firstPort+3,
		strings.Join(seeds, ","), s.Store.Address())
	s.Hosts = append(s.Hosts, h)
	return os.WriteFile(h.settings, []byte(text), 0o600)
}

// Start starts all hosts and waits until they are ready.
func (s *Site) Start() error {
	for _, h := range s.Hosts {
		if err := h.Start(); err != nil {
			return err
		}
	}
	return s.AwaitReady(10 * time.Second)
}

// AwaitReady waits until all hosts are ready.
func (s *Site) AwaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, h := range s.Hosts {
		for !h.Ready() {
			if time.Now().After(end) {
				return fmt.Errorf("host %s is not ready", h.Name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// Close ends all processes that the site started.
func (s *Site) Close() {
	for _, h := range s.Hosts {
		h.Kill()
	}
	s.Store.CloseClientConnections()
	s.Store.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Println("logs:", s.dir)
	}
}

// Start starts the host's process.
func (h *Host) Start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	log, err := os.OpenFile(h.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.CommandContext(context.Background(), h.site.program, "--settings", h.settings)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Env = append(os.Environ(), "ENTRY_MEMORY_MB=284")
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	h.cmd, h.exited, h.startedAt = cmd, exited, time.Now()
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(exited)
	}()
	return nil
}

// Signal sends a signal to the host's process.
func (h *Host) Signal(signal os.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd != nil {
		_ = h.cmd.Process.Signal(signal)
	}
}

// Running reports whether the host's process runs.
func (h *Host) Running() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd == nil {
		return false
	}
	select {
	case <-h.exited:
		return false
	default:
		return true
	}
}

// Kill kills the host's process and waits for its end.
func (h *Host) Kill() {
	h.Signal(syscall.SIGCONT)
	h.Signal(syscall.SIGKILL)
	h.await()
}

// Terminate stops the host as planned and waits for its end; after limit it is killed.
func (h *Host) Terminate(limit time.Duration) {
	h.Signal(syscall.SIGTERM)
	h.mu.Lock()
	exited := h.exited
	h.mu.Unlock()
	select {
	case <-exited:
	case <-time.After(limit):
		h.Kill()
	}
}

func (h *Host) await() {
	h.mu.Lock()
	exited := h.exited
	h.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// UpFor returns for how long the host's process has run.
func (h *Host) UpFor() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Since(h.startedAt)
}

// Ready reports whether the host says that it is ready.
func (h *Host) Ready() bool {
	conn, err := net.DialTimeout("tcp", h.ReadyAddress, 300*time.Millisecond)
	if err != nil {
		return false
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(500 * time.Millisecond))
	fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", platform.ReadyPath)
	line, _ := bufio.NewReader(conn).ReadString('\n')
	return strings.Contains(line, " 200 ")
}

// KillAll kills the processes of all hosts at the same moment and starts them again after a time.
func (s *Site) KillAll(downTime time.Duration) {
	s.Record.Say("kill all hosts")
	var wg sync.WaitGroup
	for _, h := range s.Hosts {
		wg.Go(h.Kill)
	}
	wg.Wait()
	time.Sleep(downTime)
	for _, h := range s.Hosts {
		if err := h.Start(); err != nil {
			s.Record.Say("start %s: %v", h.Name, err)
		}
	}
	s.Record.Say("all hosts are started")
}
