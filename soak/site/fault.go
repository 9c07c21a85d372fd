package site

import (
	"context"
	"syscall"
	"time"

	"balsamknot.org/fleet/timer"
	"balsamknot.org/soak/promise"
	"balsamknot.org/soak/schedule"
	"balsamknot.org/standin/network"
)

// Play applies the faults at their times and returns once the last one has ended.
func (s *Site) Play(ctx context.Context, faults []schedule.Fault) {
	start := s.Now()
	done := make(chan struct{}, len(faults))
	played := 0
	for _, f := range faults {
		if !timer.Sleep(ctx, max(start+f.At-s.Now(), 0)) {
			break
		}
		played++
		go func() {
			defer func() { done <- struct{}{} }()
			s.apply(ctx, f)
		}()
	}
	for range played {
		<-done
	}
}

// apply carries out one fault from its beginning to its end.
func (s *Site) apply(ctx context.Context, f schedule.Fault) {
	p, e := s.hosts[f.Host], s.endpoints[f.Endpoint]
	hold := func() { timer.Sleep(ctx, f.For) }
	switch f.Action {
	case schedule.KillHost, schedule.StopHost:
		s.restart(p, f.Action, hold)
	case schedule.PauseHost:
		defer s.disturb(f.Host)()
		defer p.pause()()
		hold()
	case schedule.ReloadHost:
		p.reload()
	case schedule.ImpairLink, schedule.BreakLink, schedule.SilenceLink:
		s.harm(f, hold)
	case schedule.CrashEndpoint:
		defer s.disturbEndpoint(e.name)()
		defer e.startAnew()
		defer e.link.Impair(network.Fault{Cut: true})()
		e.crash()
		hold()
	case schedule.LeaveEndpoint:
		defer e.leave(e.RegisterDraining)()
		hold()
	case schedule.LapseEndpoint:
		defer e.leave(e.Deregister)()
		hold()
	case schedule.SwapEndpoint:
		defer s.disturbEndpoint(e.name)()
		e.link.SetTarget(s.endpoints[(f.Endpoint+1)%len(s.endpoints)].Listener.Addr().String())
		defer e.link.SetTarget(e.Listener.Addr().String())
		e.link.Break()
		hold()
	case schedule.SickenEndpoint:
		defer s.disturbEndpoint(e.name)()
		e.sick.Store(int64(f.Sickness))
		defer e.sick.Store(0)
		hold()
	default:
		s.operate(f, hold)
	}
}

// operate carries out what concerns the store and what it holds.
func (s *Site) operate(f schedule.Fault, hold func()) {
	switch f.Action {
	case schedule.StopStore:
		defer s.disturb(promise.All)()
		s.outage(1)
		defer s.outage(-1)
		hold()
	case schedule.ForgetHistory:
		defer s.disturb(promise.All)()
		s.store.DropHistory()
	case schedule.MoveRoute:
		s.change(func() { s.moved++ })
	case schedule.RevokeKey:
		s.change(func() { s.keys++ })
	default:
	}
}

// outage begins or ends an outage of the store; outages may overlap.
func (s *Site) outage(change int) {
	s.operator.Lock()
	defer s.operator.Unlock()
	s.outages += change
	s.store.SetDown(s.outages > 0)
}

// change publishes the set after a change.
func (s *Site) change(f func()) {
	s.operator.Lock()
	defer s.operator.Unlock()
	f()
	s.publish()
}

// restart ends a host's process and starts it again.
func (s *Site) restart(p *process, action schedule.Action, hold func()) {
	defer s.disturb(p.number)()
	signal := syscall.SIGKILL
	if action == schedule.StopHost {
		signal = syscall.SIGTERM
	}
	p.end(signal)
	hold()
	if err := p.start(); err != nil {
		s.tell(promise.ProcessEnded{Host: p.number, Why: err.Error()})
	}
}

// harm impairs, breaks or silences a link.
func (s *Site) harm(f schedule.Fault, hold func()) {
	l := s.linksOf(f)
	if f.Place == schedule.Endpoints {
		defer s.disturbEndpoint(s.endpoints[f.Endpoint].name)()
	} else {
		defer s.disturb(f.Host)()
	}
	switch f.Action {
	case schedule.BreakLink:
		for _, link := range l.streams {
			link.Break()
		}
		return
	case schedule.SilenceLink:
		for _, link := range l.streams {
			link.Silence()
		}
	default:
		fault := f.Link
		if f.Place == schedule.Peers && f.Peer >= 0 {
			defer s.disturb(f.Peer)()
			fault.From = s.address(1, f.Peer)
		}
		defer l.impair(fault)()
	}
	hold()
}

func (s *Site) linksOf(f schedule.Fault) links {
	switch f.Place {
	case schedule.Callers:
		return s.hosts[f.Host].callers
	case schedule.Store:
		return s.hosts[f.Host].store
	case schedule.Peers:
		return s.hosts[f.Host].peers
	case schedule.Endpoints:
	}
	return links{streams: []*network.Link{s.endpoints[f.Endpoint].link}}
}

// disturb tells that a fault of a host begins; the function that it returns tells its end.
func (s *Site) disturb(host int) (calm func()) {
	s.tell(promise.Disturbed{Host: host})
	return func() { s.tell(promise.Calmed{Host: host}) }
}

func (s *Site) disturbEndpoint(name string) (calm func()) {
	s.tell(promise.EndpointDisturbed{Endpoint: name})
	return func() { s.tell(promise.EndpointCalmed{Endpoint: name}) }
}

// Recover waits until no request failed for settled and every host is ready, and notes when that takes too long.
func (s *Site) Recover(ctx context.Context) time.Duration {
	start := s.Now()
	for timer.Sleep(ctx, readyInterval) {
		now := s.Now()
		var troubled promise.Time
		s.Judged(func(j *promise.Judge) { troubled = j.Troubled() })
		if now-start >= settled && now-troubled >= settled && s.Ready(ctx, readyInterval) {
			return max(troubled-start, 0)
		}
		if now-start > promise.RecoverWithin {
			s.Judged(func(j *promise.Judge) { j.Unrecovered(now, "requests fail or hosts are not ready") })
			return now - start
		}
	}
	return 0
}

// settled is how long nothing may fail after the last fault.
const settled = 1500 * time.Millisecond
