// Package logbook writes log lines without ever holding up who logs: lines wait in a bounded buffer, a goroutine of its
// own writes them out, and what exceeds the budget is dropped and counted by event.
package logbook

import (
	"bytes"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// Config is what a book is built from.
type Config struct {
	Out io.Writer
	// Rate is the budget in bytes a second, and Burst what may be saved up of it.
	Rate, Burst int
	// Pending bounds the lines that wait for a slow reader, in bytes.
	Pending int
	// Interval is the time between two writes, and between two reports of what was dropped at least.
	Interval time.Duration
	Now      func() time.Time
}

// Book is a zerolog.LevelWriter. It is safe for concurrent use.
type Book struct {
	cfg Config

	mu      sync.Mutex
	pending []byte
	saved   float64
	last    time.Time
	dropped map[string]int
	stopped bool

	done chan struct{}
	over chan struct{}
}

// plainShare is the part of the burst that plain lines leave to warnings and errors.
const plainShare = 0.3

// New returns a book that writes until Close.
func New(cfg Config) *Book {
	b := &Book{
		cfg: cfg, saved: float64(cfg.Burst), last: cfg.Now(), dropped: make(map[string]int),
		done: make(chan struct{}), over: make(chan struct{}),
	}
	go func() {
		defer close(b.over)
		ticker := time.NewTicker(cfg.Interval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				b.flush()
			case <-b.done:
				b.flush()
				return
			}
		}
	}()
	return b
}

// Write takes a line of no level.
func (b *Book) Write(line []byte) (int, error) { return b.WriteLevel(zerolog.InfoLevel, line) }

// WriteLevel takes a line, or drops it. Plain lines are dropped before warnings.
func (b *Book) WriteLevel(level zerolog.Level, line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.cfg.Now()
	b.saved = min(float64(b.cfg.Burst), b.saved+now.Sub(b.last).Seconds()*float64(b.cfg.Rate))
	b.last = now
	floor, room := 0.0, b.cfg.Pending
	if level < zerolog.WarnLevel {
		floor = plainShare * float64(b.cfg.Burst)
		room = int((1 - plainShare) * float64(room))
	}
	if b.saved-float64(len(line)) < floor || len(b.pending)+len(line) > room {
		b.dropped[eventOf(line)]++
		return len(line), nil
	}
	b.saved -= float64(len(line))
	b.pending = append(b.pending, line...)
	return len(line), nil
}

var eventKey = []byte(`"Event":"`)

// eventOf reads the number of a line's event.
func eventOf(line []byte) string {
	_, rest, found := bytes.Cut(line, eventKey)
	number, _, ended := bytes.Cut(rest, []byte{'"'})
	if !found || !ended {
		return "none"
	}
	return string(number)
}

// flush writes what waits, and a line on what was dropped. A write that fails loses its lines: there is nowhere to say so.
func (b *Book) flush() {
	b.mu.Lock()
	out := b.pending
	b.pending = nil
	if len(b.dropped) > 0 {
		out = append(out, b.report()...)
		clear(b.dropped)
	}
	b.mu.Unlock()
	if len(out) > 0 {
		_, _ = b.cfg.Out.Write(out)
	}
}

// report is the line on what was dropped since the last one.
func (b *Book) report() string {
	var counts []string
	for _, number := range slices.Sorted(maps.Keys(b.dropped)) {
		counts = append(counts, fmt.Sprintf("%q:%d", number, b.dropped[number]))
	}
	return fmt.Sprintf(`{"level":"warn","Event":"BK1902","Dropped":{%s},"message":"log lines dropped"}`+"\n", strings.Join(counts, ","))
}

// closeLimit is how long Close waits for a reader.
const closeLimit = 200 * time.Millisecond

// Close writes what waits and ends. A reader that does not take it is not waited for long.
func (b *Book) Close() {
	b.mu.Lock()
	stopped := b.stopped
	b.stopped = true
	b.mu.Unlock()
	if !stopped {
		close(b.done)
	}
	select {
	case <-b.over:
	case <-time.After(closeLimit):
	}
}
