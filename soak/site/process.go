package site

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"balsamknot.org/fleet/timer"
	"balsamknot.org/platform"
	"balsamknot.org/soak/checker"
	"balsamknot.org/standin/network"
)

// Ports on which a host listens. They are the same for all hosts, since each has its own address.
const (
	peerPort    = 17100
	metricsPort = 17103
	readyPort   = 17104
	callerPort  = 17105
)

const (
	// drainLimit is how long a host may take to finish its requests after SIGTERM, and exitSlack how much longer the soak
	// waits for the process to exit.
	drainLimit = 5 * time.Second
	exitSlack  = time.Second
	// pollInterval is how often the readiness of a host is polled, and pollTimeout how long it has to respond. After
	// maxFailedPolls failures in a row, it is considered not ready.
	pollInterval   = 100 * time.Millisecond
	pollTimeout    = 300 * time.Millisecond
	maxFailedPolls = 2
	// signalDelay is the time after its start during which a process gets no SIGHUP. Until a process has installed a handler,
	// SIGHUP terminates it.
	signalDelay = 50 * time.Millisecond
)

// process is one entry host: the operating-system process that runs its program, which can be stopped and started again, and
// the links to and from the host.
type process struct {
	site   *Site
	number int
	// callerLinks are the links from callers to the host, storeLinks those from the host to the store, and peerLinks those from
	// other hosts to it.
	callerLinks, storeLinks, peerLinks links
	ready                              atomic.Bool

	mu sync.Mutex
	// cmd is nil while no process runs. exited is closed when the process has exited.
	cmd    *exec.Cmd
	exited chan struct{}
	// startedAt is when the current process was started, and starts the number of starts so far.
	startedAt time.Time
	starts    uint64
	// stopRequested is true once the process has been signalled to stop. pauses is the number of active faults that suspend
	// it. Once closed is true, no process is started any more.
	stopRequested bool
	pauses        int
	closed        bool
}

func (s *Site) newProcess(number int) (*process, error) {
	p := &process{site: s, number: number}
	listenIP, publishedIP := s.address(1, number), s.address(2, number)
	var err error
	link := func(address, target string) *network.Link {
		l, linkErr := network.NewLinkAt(address, target)
		if linkErr != nil && err == nil {
			err = eris.Wrapf(linkErr, "link to %s", target)
		}
		return l
	}
	callerLink := link("127.0.0.1:0", fmt.Sprintf("%s:%d", listenIP, callerPort))
	storeLink := link("127.0.0.1:0", s.store.Address())
	peerTCP := link(fmt.Sprintf("%s:%d", publishedIP, peerPort+1), fmt.Sprintf("%s:%d", listenIP, peerPort+1))
	peerUDP, relayErr := network.NewRelay(fmt.Sprintf("%s:%d", publishedIP, peerPort), fmt.Sprintf("%s:%d", listenIP, peerPort))
	if relayErr != nil && err == nil {
		err = eris.Wrapf(relayErr, "relay to host %d", number)
	}
	if err != nil {
		return nil, err
	}
	p.callerLinks, p.storeLinks = links{tcpLinks: []*network.Link{callerLink}}, links{tcpLinks: []*network.Link{storeLink}}
	p.peerLinks = links{tcpLinks: []*network.Link{peerTCP}, udpRelay: peerUDP}
	return p, os.WriteFile(p.settingsFile(), []byte(p.settings(listenIP, publishedIP)), 0o600)
}

func (p *process) settingsFile() string { return p.site.filePath("host-%d.ini", p.number) }

func (p *process) settings(listenIP, publishedIP string) string {
	return fmt.Sprintf(`[Host]
Host = host-%d
DataCentre = z1
Region = r1
Address = %s
PublishedAddress = %s
CallerAddress = %s:%d
ReadyAddress = %s:%d
MetricsAddress = %s:%d
PeerPorts = %d-%d
Cores = 1
Seeds = %s:%d
StoreAddress = %s
DrainLimit = %s
RevokeLimit = 5s
`, p.number, listenIP, publishedIP, listenIP, callerPort, listenIP, readyPort, listenIP, metricsPort, peerPort, peerPort+2,
		p.site.address(2, 0), peerPort, p.storeLinks.tcpLinks[0].Address(), drainLimit)
}

// release returns the program of the n-th start of a host.
func (c Config) release(host int, n uint64) string {
	if c.Previous != "" && rand.New(rand.NewPCG(c.Seed, uint64(host)<<32|n)).IntN(2) == 0 {
		return c.Previous
	}
	return c.Program
}

// start starts the process unless it runs already or the host is closed. If the process later exits without having been
// signalled to stop, that is recorded as checker.ProcessFailed.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil || p.closed {
		return nil
	}
	log, err := openLog(p.site.filePath("host-%d.log", p.number))
	if err != nil {
		return err
	}
	program := p.site.cfg.release(p.number, p.starts)
	cmd := exec.CommandContext(context.Background(), program, "--settings", p.settingsFile())
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Env = append(os.Environ(), coldEnvironment()...)
	if err := cmd.Start(); err != nil {
		_ = log.Close()
		return eris.Wrapf(err, "start host %d", p.number)
	}
	p.cmd, p.exited, p.stopRequested, p.startedAt = cmd, make(chan struct{}), false, timer.BootClock()
	p.starts++
	p.site.wg.Go(func() {
		err := cmd.Wait()
		_ = log.Close()
		p.mu.Lock()
		stopRequested := p.stopRequested
		p.cmd = nil
		close(p.exited)
		p.mu.Unlock()
		if !stopRequested {
			p.site.record(checker.ProcessFailed{Host: p.number, Reason: fmt.Sprint("exited without being stopped: ", err)})
		}
	})
	return nil
}

// terminate sends a signal to the process and waits until it has exited. If it does not exit in time, terminate kills it and
// records the failure.
func (p *process) terminate(signal syscall.Signal) {
	p.mu.Lock()
	cmd, exited := p.cmd, p.exited
	if cmd != nil {
		p.stopRequested = true
		_ = cmd.Process.Signal(signal)
	}
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	if p.waitExit(exited, timer.BootClock()) {
		return
	}
	_ = cmd.Process.Kill()
	<-exited
	p.site.record(checker.ProcessFailed{Host: p.number, Reason: "did not exit in time after SIGTERM and was killed"})
}

// waitExit waits until the process has exited and returns false if it has not after drainLimit and exitSlack. The limit starts
// again when a fault that suspended the process ends, since a suspended process can't exit.
func (p *process) waitExit(exited <-chan struct{}, since time.Time) bool {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-exited:
			return true
		case <-ticker.C:
		}
		p.mu.Lock()
		if p.pauses > 0 {
			since = timer.BootClock()
		}
		overdue := timer.BootClock().Sub(since) > drainLimit+exitSlack
		p.mu.Unlock()
		if overdue {
			return false
		}
	}
}

// reload sends SIGHUP to the process, unless it was started less than signalDelay ago.
func (p *process) reload() {
	p.mu.Lock()
	handlesSignals := timer.BootClock().Sub(p.startedAt) > signalDelay
	p.mu.Unlock()
	if handlesSignals {
		p.signal(syscall.SIGHUP)
	}
}

// signal sends a signal to the process, if it runs.
func (p *process) signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(signal)
	}
}

// pause suspends the process. The returned function resumes it, unless another fault still suspends it.
func (p *process) pause() (resume func()) {
	p.mu.Lock()
	p.pauses++
	p.mu.Unlock()
	p.signal(syscall.SIGSTOP)
	return func() {
		p.mu.Lock()
		p.pauses--
		resumed := p.pauses == 0
		p.mu.Unlock()
		if resumed {
			p.signal(syscall.SIGCONT)
		}
	}
}

// pollReadiness polls the readiness of the host, as a load balancer does.
func (p *process) pollReadiness(ctx context.Context) {
	client := &http.Client{Timeout: pollTimeout}
	url := fmt.Sprintf("http://%s:%d%s", p.site.address(1, p.number), readyPort, platform.ReadyPath)
	failures := 0
	for timer.Sleep(ctx, pollInterval) {
		if checkReady(ctx, client, url) {
			failures = 0
			p.ready.Store(true)
			continue
		}
		if failures++; failures >= maxFailedPolls {
			p.ready.Store(false)
		}
	}
}

func (p *process) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.terminate(syscall.SIGKILL)
	p.callerLinks.close()
	p.storeLinks.close()
	p.peerLinks.close()
}
