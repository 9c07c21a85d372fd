package site

import (
	"context"
	"fmt"
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
	"balsamknot.org/soak/promise"
	"balsamknot.org/standin/network"
)

// Ports of every host; each has an address of its own.
const (
	peerPort    = 17100
	metricsPort = 17103
	readyPort   = 17104
	callerPort  = 17105
)

const (
	// grace is how long a process may live after SIGTERM, and graceSlack how much longer the soak waits for its end.
	grace      = 5 * time.Second
	graceSlack = time.Second
	// readyInterval is how often a host is asked whether it takes callers, readyLimit how long it has to answer, and misses
	// how many answers in a row take it out.
	readyInterval = 100 * time.Millisecond
	readyLimit    = 300 * time.Millisecond
	misses        = 2
	// signalsAfter is how long after its start a process gets its first SIGHUP: before its runtime is up any process ends.
	signalsAfter = 50 * time.Millisecond
)

// process is one host: a process, started anew after it ended, and the links to and from it.
type process struct {
	s      *Site
	number int
	// callers, store and peers are links from callers, to the store, and from other hosts.
	callers, store, peers links
	ready                 atomic.Bool

	mu sync.Mutex
	// cmd is nil while no process runs, and over is closed at its end.
	cmd  *exec.Cmd
	over chan struct{}
	// started is when it was started.
	started time.Time
	// told is true once the process was told to end, and paused counts the faults that suspend it.
	told   bool
	paused int
	closed bool
}

func (s *Site) newProcess(number int) (*process, error) {
	p := &process{s: s, number: number}
	own, published := s.address(1, number), s.address(2, number)
	var err error
	link := func(address, target string) *network.Link {
		l, lerr := network.NewLinkAt(address, target)
		if lerr != nil && err == nil {
			err = eris.Wrapf(lerr, "link to %s", target)
		}
		return l
	}
	callers := link("127.0.0.1:0", fmt.Sprintf("%s:%d", own, callerPort))
	store := link("127.0.0.1:0", s.store.Address())
	knowledge := link(fmt.Sprintf("%s:%d", published, peerPort+1), fmt.Sprintf("%s:%d", own, peerPort+1))
	relay, rerr := network.NewRelay(fmt.Sprintf("%s:%d", published, peerPort), fmt.Sprintf("%s:%d", own, peerPort))
	if rerr != nil && err == nil {
		err = eris.Wrapf(rerr, "relay to host %d", number)
	}
	if err != nil {
		return nil, err
	}
	p.callers, p.store = links{streams: []*network.Link{callers}}, links{streams: []*network.Link{store}}
	p.peers = links{streams: []*network.Link{knowledge}, relay: relay}
	return p, os.WriteFile(p.settingsFile(), []byte(p.settings(own, published)), 0o600)
}

func (p *process) settingsFile() string { return p.s.file("host-%d.ini", p.number) }

func (p *process) settings(own, published string) string {
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
`, p.number, own, published, own, callerPort, own, readyPort, own, metricsPort, peerPort, peerPort+2,
		p.s.address(2, 0), peerPort, p.store.streams[0].Address(), grace)
}

// start starts the process unless one runs.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil || p.closed {
		return nil
	}
	log, err := openLog(p.s.file("host-%d.log", p.number))
	if err != nil {
		return err
	}
	cmd := exec.CommandContext(context.Background(), p.s.cfg.Program, "--settings", p.settingsFile())
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		_ = log.Close()
		return eris.Wrapf(err, "start host %d", p.number)
	}
	p.cmd, p.over, p.told, p.started = cmd, make(chan struct{}), false, timer.Boot()
	p.s.work.Go(func() {
		err := cmd.Wait()
		_ = log.Close()
		p.mu.Lock()
		told := p.told
		p.cmd = nil
		close(p.over)
		p.mu.Unlock()
		if !told {
			p.s.tell(promise.ProcessFailed{Host: p.number, Reason: fmt.Sprint("ended by itself: ", err)})
		}
	})
	return nil
}

// end tells the process to end, by force or not, and waits until it has.
func (p *process) end(signal syscall.Signal) {
	p.mu.Lock()
	cmd, over := p.cmd, p.over
	if cmd != nil {
		p.told = true
		_ = cmd.Process.Signal(signal)
	}
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	if p.awaitEnd(over, timer.Boot()) {
		return
	}
	_ = cmd.Process.Kill()
	<-over
	p.s.tell(promise.ProcessFailed{Host: p.number, Reason: "did not end in time after SIGTERM"})
}

// awaitEnd waits until the process has ended, for as long as it may take; the time in which it is suspended doesn't count.
func (p *process) awaitEnd(over <-chan struct{}, since time.Time) bool {
	ticker := time.NewTicker(readyInterval)
	defer ticker.Stop()
	for {
		select {
		case <-over:
			return true
		case <-ticker.C:
		}
		p.mu.Lock()
		if p.paused > 0 {
			since = timer.Boot()
		}
		late := timer.Boot().Sub(since) > grace+graceSlack
		p.mu.Unlock()
		if late {
			return false
		}
	}
}

// reload sends SIGHUP to a process that is up.
func (p *process) reload() {
	p.mu.Lock()
	up := timer.Boot().Sub(p.started) > signalsAfter
	p.mu.Unlock()
	if up {
		p.signal(syscall.SIGHUP)
	}
}

// signal sends a signal to the process if one runs.
func (p *process) signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(signal)
	}
}

// pause suspends the process; the function that it returns lets it go on, once no other fault suspends it.
func (p *process) pause() (resume func()) {
	p.mu.Lock()
	p.paused++
	p.mu.Unlock()
	p.signal(syscall.SIGSTOP)
	return func() {
		p.mu.Lock()
		p.paused--
		resumed := p.paused == 0
		p.mu.Unlock()
		if resumed {
			p.signal(syscall.SIGCONT)
		}
	}
}

// poll asks the host again and again whether it takes callers, as a balancer does.
func (p *process) poll(ctx context.Context) {
	client := &http.Client{Timeout: readyLimit}
	url := fmt.Sprintf("http://%s:%d%s", p.s.address(1, p.number), readyPort, platform.ReadyPath)
	missed := 0
	for timer.Sleep(ctx, readyInterval) {
		if readyOf(ctx, client, url) {
			missed = 0
			p.ready.Store(true)
			continue
		}
		if missed++; missed >= misses {
			p.ready.Store(false)
		}
	}
}

func (p *process) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.end(syscall.SIGKILL)
	p.callers.close()
	p.store.close()
	p.peers.close()
}
