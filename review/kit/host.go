package kit

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Dir is a temporary folder of the run, and Network the start of its loopback addresses, 127.x.
var (
	Dir     string
	Network string
)

// Prepare creates the temporary folder and finds a range of loopback addresses that no other run uses.
func Prepare() {
	dir, err := os.MkdirTemp("", "case-")
	if err != nil {
		Unable("create a folder: %v", err)
	}
	Dir = dir
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		Unable("interrupted")
	}()
	AtEnd(func() { _ = os.RemoveAll(dir) })
	for i := range 100 {
		network := fmt.Sprintf("127.%d", 20+(os.Getpid()+i)%200)
		listener, err := net.Listen("tcp", network+".250.1:7340")
		if err != nil {
			continue
		}
		Network = network
		AtEnd(func() { _ = listener.Close() })
		return
	}
	Unable("no free range of loopback addresses")
}

// Host is an entry host, a process of the program that the deploy file builds.
type Host struct {
	Name, IP, Zone string
	settings       string
	store          string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// NewHost writes the settings of a host, with the deploy file's template. storeAddress is where the host reaches the store, and lines are
// further lines of the settings.
func NewHost(number int, zone, storeAddress string, seeds []string, lines ...string) *Host {
	h := &Host{Name: fmt.Sprintf("host-%d", number), IP: HostIP(number), Zone: zone, store: storeAddress}
	template, err := os.ReadFile("platform/host.ini.template")
	if err != nil {
		Unable("read the template of the settings: %v", err)
	}
	variables := map[string]string{"HOST": h.Name, "ZONE": zone, "IP": h.IP, "SEEDS": strings.Join(seeds, ","), "STORE": storeAddress}
	text := regexp.MustCompile(`\{\{([^}]*)\}\}`).ReplaceAllStringFunc(string(template), func(field string) string {
		return fill(Wire.Settings[strings.Trim(field, "{}")], variables)
	})
	text += "\n" + strings.Join(lines, "\n") + "\n"
	h.settings = filepath.Join(Dir, h.Name+".ini")
	if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
		Unable("write the settings: %v", err)
	}
	AtEnd(h.Kill)
	return h
}

// HostIP returns the IP address of a host, and Seed what its seeds entry is.
func HostIP(number int) string { return fmt.Sprintf("%s.1.%d", Network, number) }

// Seed returns the entry of a host in the list of seeds.
func Seed(number int) string { return HostIP(number) + ":8229" }

// Front and Ready are where callers and the load balancer reach the host.
func (h *Host) Front() string { return h.IP + ":8227" }

// Ready is where the load balancer asks whether the host is ready.
func (h *Host) Ready() string { return h.IP + ":8220" }

// Start starts the process with the command of the deploy file.
func (h *Host) Start() {
	h.mu.Lock()
	defer h.mu.Unlock()
	log, err := os.OpenFile(h.LogPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		Unable("open a log: %v", err)
	}
	cmd := exec.Command("target/entry", "--settings", h.settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		Unable("start %s: %v", h.Name, err)
	}
	exited := make(chan struct{})
	h.cmd, h.exited = cmd, exited
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(exited)
	}()
}

// LogPath is the file with the log of the host.
func (h *Host) LogPath() string {
	if dir := os.Getenv("CASE_LOGS"); dir != "" {
		return filepath.Join(dir, h.Name+".log")
	}
	return filepath.Join(Dir, h.Name+".log")
}

// Signal sends a signal to the process, if it runs.
func (h *Host) Signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd != nil {
		_ = h.cmd.Process.Signal(s)
	}
}

// PID returns the process id; 0 before the first start.
func (h *Host) PID() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd == nil {
		return 0
	}
	return h.cmd.Process.Pid
}

// Exited is closed when the current process has ended.
func (h *Host) Exited() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.exited
}

// Kill ends the process with SIGKILL, if it runs, and waits for its end.
func (h *Host) Kill() {
	h.mu.Lock()
	cmd, exited := h.cmd, h.exited
	h.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGCONT)
	_ = cmd.Process.Kill()
	<-exited
}

// IsReady asks the host whether it is ready.
func (h *Host) IsReady() bool {
	client := &http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + h.Ready() + Wire.Paths["Ready"])
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// AwaitReady waits until all hosts are ready; a failure ends the program.
func AwaitReady(hosts []*Host, limit time.Duration) {
	deadline := time.Now().Add(limit)
	for _, h := range hosts {
		for !h.IsReady() {
			if time.Now().After(deadline) {
				Unable("%s is not ready", h.Name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}
