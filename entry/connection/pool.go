// Package connection is an HTTP/1.1 client for endpoints with a pool of persistent connections.
//
// It differs from net/http.Transport in three ways: it never sends a request twice, its errors distinguish whether the endpoint
// may have run the request, and it discards answers that carry the ID of another request.
package connection

import (
	"bufio"
	"context"
	"errors"
	"io"
	"maps"
	"math"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"

	"balsamknot.org/entry/reset"
	"balsamknot.org/fleet/host"
	"balsamknot.org/fleet/timer"
)

// Config holds the dialer, time-outs and limits of a pool.
type Config struct {
	Dialer Dialer
	// IdleTimeout is how long an idle connection is kept if its endpoint's answers state no keep-alive time-out.
	IdleTimeout time.Duration
	// MaxIdlePerEndpoint is the largest number of idle connections to one address.
	MaxIdlePerEndpoint int
	// OnReport is called with what was learnt from each report of a process. Nil means that it is not called.
	OnReport func(address string, result ReportResult, err error)
}

// Errors of Pool.Do.
var (
	// ErrNotSent means that no connection could be established, so that the endpoint did not receive the request.
	ErrNotSent = errors.New("endpoint not reached")
	// ErrIncomplete means that sending the request or reading its answer failed. The endpoint may have run the request.
	ErrIncomplete = errors.New("answer broke off")
)

// Pool holds idle connections to endpoints by address. It is safe for concurrent use.
type Pool struct {
	cfg Config

	mu   sync.Mutex
	idle map[string][]*pooledConn
	// inUse holds the connections of exchanges by address.
	inUse map[string]map[*pooledConn]bool
	// sentinels holds the sentinels by address.
	sentinels map[string]*sentinel
	// endedAt holds when an endpoint last ended a connection, or refused one, other than after an answer, by address and timer.BootClock.
	endedAt map[string]time.Time
	// startedAt holds the latest start time of a process that was registered at an address to which there are connections.
	startedAt map[string]int64
	// dials counts the connections that were established.
	dials int64
	// closed is true after Close.
	closed bool
}

// pooledConn is a connection to an endpoint, idle in the pool or in use by one Exchange.
type pooledConn struct {
	net.Conn
	address string
	// reader buffers what limited reads from the connection.
	reader  *bufio.Reader
	limited *limitedReader
	pool    *Pool
	// relay is the host through which the connection leads; empty for a direct one.
	relay host.ID
	// single is true if the connection is not to be used for another request.
	single atomic.Bool
	// heardAt is when the last bytes arrived, in nanoseconds of timer.BootClock.
	heardAt atomic.Int64
	// peerEnded is true once it was found that the endpoint ended the connection, or sent something unasked.
	peerEnded atomic.Bool
	// outlived is the last sentinel of the address after whose end the connection was open.
	outlived atomic.Pointer[sentinel]
	// connectedAt is when the connection was established, by timer.BootClock.
	connectedAt time.Time
	// writes remembers a reset of which a write was told.
	writes reset.Watch
	// asked is true once a report was asked for over the connection. startedAt is the start time that it stated, 0 if none, and misdirected is
	// true if an endpoint with another ID answered.
	asked, misdirected bool
	startedAt          int64
	// idleSince is when the connection became idle, by timer.BootClock; zero while it is in use.
	idleSince time.Time
	// expires is the time from which the connection is not used again, because the endpoint may be closing it.
	expires time.Time
}

// readerSize is the size of a connection's read buffer, in bytes.
const readerSize = 4096

// New returns an empty pool. Close closes its idle connections.
func New(cfg Config) *Pool {
	return &Pool{
		cfg: cfg, idle: make(map[string][]*pooledConn), inUse: make(map[string]map[*pooledConn]bool), sentinels: make(map[string]*sentinel),
		endedAt: make(map[string]time.Time), startedAt: make(map[string]int64),
	}
}

// Relayed is implemented by connections that lead through another host, the relay.
type Relayed interface{ Relay() host.ID }

// get returns an idle connection that is still usable, or a new one. A connection through a relay is one that MayRelay allows in ctx.
func (p *Pool) get(ctx context.Context, address string) (*pooledConn, error) {
	for {
		c := p.popIdle(ctx, address)
		if c == nil {
			return p.dialForUse(ctx, address)
		}
		if c.silentWhileIdle() {
			p.use(c)
			return c, nil
		}
		c.peerEnded.Store(true)
		p.noteEnded(address)
		_ = c.Close()
	}
}

// endingMemory is how long it is remembered that an endpoint ended a connection.
const endingMemory = 10 * time.Second

// noteEnded notes that an endpoint ended a connection, or refused one, other than after an answer.
func (p *Pool) noteEnded(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endedAt[address] = timer.BootClock()
}

// EndedSince reports whether an endpoint has since ended a connection, or refused one, other than after an answer: another process may listen at
// its address.
func (p *Pool) EndedSince(address string, since time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	at, ended := p.endedAt[address]
	return ended && !at.Before(since)
}

// popIdle returns the idle connection that was used last among those that a request in ctx may use; nil if there is none.
func (p *Pool) popIdle(ctx context.Context, address string) *pooledConn {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[address]
	for i, c := range slices.Backward(conns) {
		if c.relay != "" && !MayRelay(ctx, c.relay) {
			continue
		}
		conns = slices.Delete(conns, i, i+1)
		p.idle[address] = conns
		if now.Before(c.expires) {
			return c
		}
		_ = c.Conn.Close()
	}
	return nil
}

func (p *Pool) dialForUse(ctx context.Context, address string) (*pooledConn, error) {
	c, err := p.dial(ctx, address)
	if err == nil {
		p.use(c)
	}
	return c, err
}

// use notes that an exchange uses a connection, until it is closed or idle.
func (p *Pool) use(c *pooledConn) {
	c.heardAt.Store(timer.BootClock().UnixNano())
	p.mu.Lock()
	defer p.mu.Unlock()
	c.idleSince = time.Time{}
	if p.inUse[c.address] == nil {
		p.inUse[c.address] = make(map[*pooledConn]bool)
	}
	p.inUse[c.address][c] = true
}

// unuse notes that no exchange uses a connection any more.
func (p *Pool) unuse(c *pooledConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if delete(p.inUse[c.address], c); len(p.inUse[c.address]) == 0 {
		delete(p.inUse, c.address)
	}
}

// Close closes the connection.
func (c *pooledConn) Close() error {
	c.pool.unuse(c)
	return c.Conn.Close()
}

func (p *Pool) dial(ctx context.Context, address string) (*pooledConn, error) {
	conn, err := p.cfg.Dialer.Dial(ctx, address)
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			p.noteEnded(address)
		}
		return nil, eris.Wrapf(errors.Join(ErrNotSent, err), "connect to endpoint %s", address)
	}
	p.mu.Lock()
	p.dials++
	p.mu.Unlock()
	c := &pooledConn{Conn: conn, address: address, pool: p, connectedAt: timer.BootClock()}
	if relayed, ok := conn.(Relayed); ok {
		c.relay = relayed.Relay()
	}
	c.limited = &limitedReader{r: conn, left: unlimited, heardAt: &c.heardAt, peerEnded: &c.peerEnded}
	c.reader = bufio.NewReaderSize(c.limited, readerSize)
	return c, nil
}

// limitedReader reads at most left bytes of r and then fails with errHeadTooLong.
type limitedReader struct {
	r    io.Reader
	left int64
	// heardAt and peerEnded are those of pooledConn.
	heardAt   *atomic.Int64
	peerEnded *atomic.Bool
}

// unlimited is the value of limitedReader.left without a limit.
const unlimited = math.MaxInt64

var errHeadTooLong = errors.New("the status line and headers exceed the size limit")

// Read implements io.Reader.
func (l *limitedReader) Read(p []byte) (int, error) {
	if l.left <= 0 {
		return 0, errHeadTooLong
	}
	n, err := l.r.Read(p[:min(int64(len(p)), l.left)])
	l.left -= int64(n)
	if n > 0 {
		l.heardAt.Store(timer.BootClock().UnixNano())
	}
	if endedByPeer(err) {
		l.peerEnded.Store(true)
	}
	return n, err
}

// silentWhileIdle reports whether nothing was received while the connection was idle: no stray bytes, no end of stream, no error.
// Only then does the next answer belong to the next request.
func (c *pooledConn) silentWhileIdle() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	var buf [1]byte
	silent := false
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		silent = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && silent
}

// idleMargin is how long before the endpoint's keep-alive time-out a connection is no longer used, so that the endpoint does not
// close it while a request is in transit.
const idleMargin = 400 * time.Millisecond

// putIdle adds a connection to the pool after a complete answer. idle is the endpoint's keep-alive time-out, 0 if unknown.
func (p *Pool) putIdle(c *pooledConn, idle time.Duration) {
	lifetime := p.cfg.IdleTimeout
	if idle > 0 {
		lifetime = idle - idleMargin
	}
	_ = c.SetDeadline(time.Time{})
	c.expires = time.Now().Add(lifetime)
	p.unuse(c)
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.single.Load() || len(p.idle[c.address]) >= p.cfg.MaxIdlePerEndpoint {
		_ = c.Conn.Close()
		return
	}
	c.idleSince = timer.BootClock()
	p.idle[c.address] = append(p.idle[c.address], c)
}

// Sweep closes idle connections that have expired, and sentinels that are not needed. It is called periodically.
func (p *Pool) Sweep() {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweepSentinels(timer.BootClock())
	maps.DeleteFunc(p.endedAt, func(_ string, at time.Time) bool { return timer.BootClock().Sub(at) > endingMemory })
	for address, conns := range p.idle {
		unexpired := conns[:0]
		for _, c := range conns {
			if now.Before(c.expires) {
				unexpired = append(unexpired, c)
				continue
			}
			_ = c.Conn.Close()
		}
		clear(conns[len(unexpired):])
		p.idle[address] = unexpired
		if len(unexpired) == 0 {
			delete(p.idle, address)
		}
	}
	p.forgetProcesses()
}

// DropIdle closes the connections to an address that no request uses. A sentinel that guards an answer stays.
func (p *Pool) DropIdle(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropSentinel(address)
	for _, c := range p.idle[address] {
		_ = c.Conn.Close()
	}
	delete(p.idle, address)
}

// DropThrough closes the idle connections that lead through a host, and those in use when their exchanges have ended.
func (p *Pool) DropThrough(relay host.ID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, conns := range p.idle {
		p.idle[address] = slices.DeleteFunc(conns, func(c *pooledConn) bool {
			if c.relay == relay {
				_ = c.Conn.Close()
			}
			return c.relay == relay
		})
	}
	for _, conns := range p.inUse {
		for c := range conns {
			if c.relay == relay {
				c.single.Store(true)
			}
		}
	}
}

// AbortSilent closes the direct connections to an address that are in use and have received nothing for d, so that their exchanges
// fail with ErrIncomplete.
func (p *Pool) AbortSilent(now time.Time, address string, d time.Duration) {
	p.mu.Lock()
	var silent []*pooledConn
	for c := range p.inUse[address] {
		if c.relay == "" && now.UnixNano()-c.heardAt.Load() > int64(d) {
			silent = append(silent, c)
		}
	}
	p.mu.Unlock()
	for _, c := range silent {
		_ = c.Conn.Close()
	}
}

// Dials returns the number of connections established since New.
func (p *Pool) Dials() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dials
}

// Close closes all idle connections. Connections in use are not affected.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conns := range p.idle {
		for _, c := range conns {
			_ = c.Conn.Close()
		}
	}
	clear(p.idle)
	p.closed = true
	for address := range p.sentinels {
		p.closeSentinel(address)
	}
}
