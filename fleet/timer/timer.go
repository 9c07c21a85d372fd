// Package timer is the one source of time: parts subscribe to it and never call the clock themselves.
package timer

import (
	"context"
	"sync"
	"time"
)

// Service tells the time and calls subscribers. It follows testing/synctest's virtual time inside a bubble.
type Service struct {
	mu      sync.Mutex
	stopped bool
	stops   map[int]func()
	next    int
	wg      sync.WaitGroup
}

// New returns a running service.
func New() *Service {
	return &Service{stops: make(map[int]func())}
}

// Now returns the current time with its monotonic reading.
func (s *Service) Now() time.Time {
	return time.Now()
}

// Every calls fn each interval with the time and with the time since the call before,
// which is far above the interval when the process was paused.
// The function returned ends the subscription.
func (s *Service) Every(interval time.Duration, fn func(now time.Time, elapsed time.Duration)) (cancel func()) {
	done := make(chan struct{})
	var once sync.Once
	stop := func() { once.Do(func() { close(done) }) }
	if !s.register(stop) {
		return stop
	}
	go func() {
		defer s.wg.Done()
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		last := time.Now()
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
				now := time.Now()
				fn(now, now.Sub(last))
				last = now
			}
		}
	}()
	return stop
}

// Stop ends all subscriptions and waits for calls in progress.
func (s *Service) Stop() {
	s.mu.Lock()
	s.stopped = true
	for _, stop := range s.stops {
		stop()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

func (s *Service) register(stop func()) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return false
	}
	s.wg.Add(1)
	s.stops[s.next] = stop
	s.next++
	return true
}

// Sleep waits for d and reports whether it passed before ctx ended.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
