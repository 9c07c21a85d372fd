// Package logwriter writes log lines without blocking the goroutines that log. Lines go to a bounded buffer that a separate
// goroutine writes out. Lines that exceed the rate limit or the buffer are dropped and counted by event.
package logwriter

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

// Config holds the output and the limits of a Writer.
type Config struct {
	Out io.Writer
	// Rate is how many bytes may be logged per second, and Burst how many at once after a quiet time (token bucket).
	Rate, Burst int
	// BufferSize is the largest number of bytes that wait while Out is blocked or between two flushes.
	BufferSize int
	// FlushInterval is the time between two flushes. Each flush writes at most one report of dropped lines.
	FlushInterval time.Duration
	Now           func() time.Time
}

// Writer is a zerolog.LevelWriter with a rate limit. It is safe for concurrent use and never blocks the caller, except Close.
type Writer struct {
	cfg Config

	mu         sync.Mutex
	buffer     []byte
	tokens     float64
	refilledAt time.Time
	dropped    map[string]int
	closed     bool

	closing chan struct{}
	exited  chan struct{}
}

// warningReserve is the fraction of the burst and of the buffer that only lines at warning level or above may use, so that a
// flood of lower lines does not displace warnings and errors.
const warningReserve = 0.3

// New returns a writer and starts its goroutine, which runs until Close.
func New(cfg Config) *Writer {
	w := &Writer{
		cfg: cfg, tokens: float64(cfg.Burst), refilledAt: cfg.Now(), dropped: make(map[string]int),
		closing: make(chan struct{}), exited: make(chan struct{}),
	}
	go func() {
		defer close(w.exited)
		ticker := time.NewTicker(cfg.FlushInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				w.flush()
			case <-w.closing:
				w.flush()
				return
			}
		}
	}()
	return w
}

// Write handles a line without a level like one at info level.
func (w *Writer) Write(line []byte) (int, error) { return w.WriteLevel(zerolog.InfoLevel, line) }

// WriteLevel buffers a line, or drops and counts it when a limit is exceeded. Lines below warning level are dropped first, see
// warningReserve. It always reports success: the caller can do nothing about a dropped line.
func (w *Writer) WriteLevel(level zerolog.Level, line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.cfg.Now()
	w.tokens = min(float64(w.cfg.Burst), w.tokens+now.Sub(w.refilledAt).Seconds()*float64(w.cfg.Rate))
	w.refilledAt = now
	minTokens, maxBuffered := 0.0, w.cfg.BufferSize
	if level < zerolog.WarnLevel {
		minTokens = warningReserve * float64(w.cfg.Burst)
		maxBuffered = int((1 - warningReserve) * float64(maxBuffered))
	}
	if w.tokens-float64(len(line)) < minTokens || len(w.buffer)+len(line) > maxBuffered {
		w.dropped[eventOf(line)]++
		return len(line), nil
	}
	w.tokens -= float64(len(line))
	w.buffer = append(w.buffer, line...)
	return len(line), nil
}

var eventKey = []byte(`"Event":"`)

// eventOf returns the event number in a JSON log line, or "none".
func eventOf(line []byte) string {
	_, rest, found := bytes.Cut(line, eventKey)
	number, _, terminated := bytes.Cut(rest, []byte{'"'})
	if !found || !terminated {
		return "none"
	}
	return string(number)
}

// flush writes the buffered lines and a report of the dropped ones. When the write fails, these lines are lost and the error is
// ignored: there is no other place to report it.
func (w *Writer) flush() {
	w.mu.Lock()
	out := w.buffer
	w.buffer = nil
	if len(w.dropped) > 0 {
		out = append(out, w.dropReport()...)
		clear(w.dropped)
	}
	w.mu.Unlock()
	if len(out) > 0 {
		_, _ = w.cfg.Out.Write(out)
	}
}

// dropReport returns a log line with the number of lines dropped since the last report, by event; mu is held.
func (w *Writer) dropReport() string {
	var counts []string
	for _, number := range slices.Sorted(maps.Keys(w.dropped)) {
		counts = append(counts, fmt.Sprintf("%q:%d", number, w.dropped[number]))
	}
	return fmt.Sprintf(`{"level":"warn","Event":"BK1902","Dropped":{%s},"message":"log lines dropped"}`+"\n", strings.Join(counts, ","))
}

// closeTimeout is how long Close waits for a blocked Out.
const closeTimeout = 200 * time.Millisecond

// Close flushes what is buffered and stops the goroutine. When Out stays blocked, Close returns after closeTimeout; lines may
// then be lost, and the goroutine runs until Out returns. It may be called more than once.
func (w *Writer) Close() {
	w.mu.Lock()
	alreadyClosed := w.closed
	w.closed = true
	w.mu.Unlock()
	if !alreadyClosed {
		close(w.closing)
	}
	select {
	case <-w.exited:
	case <-time.After(closeTimeout):
	}
}
