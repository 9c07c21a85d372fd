// Package timer runs periodic callbacks and provides the clocks that the hosts use: the wall clock with its monotonic reading,
// and a clock that keeps running while the machine is suspended.
package timer

import (
	"context"
	"sync"
	"time"
)

// Scheduler runs callbacks at fixed intervals and ends them together. Inside a testing/synctest bubble it follows the virtual
// time. It is safe for concurrent use.
type Scheduler struct {
	mu      sync.Mutex
	stopped bool
	cancels map[int]func()
	nextID  int
	wg      sync.WaitGroup
}

// New returns a scheduler without callbacks. Stop must be called to end those added later.
func New() *Scheduler {
	return &Scheduler{cancels: make(map[int]func())}
}

// Now returns the current wall clock time with its monotonic reading. The monotonic clock stops while the machine is suspended;
// BootClock does not.
func (s *Scheduler) Now() time.Time {
	return time.Now()
}

// Every calls fn once per interval, in a goroutine of its own, with the current time and the time since the previous call
// started. That time is far above the interval when the process was paused or fn was slow: of the ticks that fall due meanwhile
// at most one is kept. The returned function ends the calls without waiting for one in progress. After Stop, Every does not
// call fn at all.
func (s *Scheduler) Every(interval time.Duration, fn func(now time.Time, elapsed time.Duration)) (cancel func()) {
	done := make(chan struct{})
	var once sync.Once
	cancelSubscription := func() { once.Do(func() { close(done) }) }
	if !s.register(cancelSubscription) {
		return cancelSubscription
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
	return cancelSubscription
}

// Stop ends the calls of all callbacks and waits for those in progress.
func (s *Scheduler) Stop() {
	s.mu.Lock()
	s.stopped = true
	for _, cancel := range s.cancels {
		cancel()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

// register adds a callback's cancel function for Stop to call. It reports false after Stop.
func (s *Scheduler) register(cancel func()) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return false
	}
	s.wg.Add(1)
	s.cancels[s.nextID] = cancel
	s.nextID++
	return true
}

// Sleep waits for d and reports true, or reports false when ctx ends first.
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
