package site

import (
	"context"
	"sync"
	"syscall"
	"time"

	"balsamknot.org/fleet/timer"
	"balsamknot.org/soak/checker"
	"balsamknot.org/soak/schedule"
	"balsamknot.org/standin/network"
)

// InjectFaults applies the faults, which must be ordered by start time, and returns once all have ended.
func (s *Site) InjectFaults(ctx context.Context, faults []schedule.Fault) {
	start := s.Now()
	done := make(chan struct{}, len(faults))
	started := 0
	for _, f := range faults {
		if !timer.Sleep(ctx, max(start+f.At-s.Now(), 0)) {
			break
		}
		started++
		go func() {
			defer func() { done <- struct{}{} }()
			s.apply(ctx, f)
		}()
	}
	for range started {
		<-done
	}
}

// apply starts a fault, waits for its duration and ends it.
func (s *Site) apply(ctx context.Context, f schedule.Fault) {
	e := s.endpoints[f.Endpoint]
	wait := func() { timer.Sleep(ctx, f.For) }
	switch f.Action {
	case schedule.KillHost, schedule.StopHost, schedule.PauseHost, schedule.ReloadHost, schedule.KillAllHosts:
		s.applyToHosts(f, wait)
	case schedule.ImpairLink, schedule.BreakLink, schedule.SilenceLink:
		s.disruptLink(f, wait)
	case schedule.CrashEndpoint:
		defer s.startEndpointFault(e.name)()
		e.crash()
		wait()
		e.restart()
	case schedule.LeaveEndpoint:
		defer e.startDraining(e.RegisterDraining)()
		wait()
	case schedule.LapseEndpoint:
		defer e.startDraining(e.Deregister)()
		wait()
	case schedule.SwapEndpoint:
		defer s.startEndpointFault(e.name)()
		e.link.SetTarget(s.endpoints[(f.Endpoint+1)%len(s.endpoints)].Listener.Addr().String())
		defer e.link.SetTarget(e.Listener.Addr().String())
		e.link.Break()
		wait()
	case schedule.SickenEndpoint:
		defer s.startEndpointFault(e.name)()
		e.misbehaviour.Store(int64(f.Sickness))
		defer e.misbehaviour.Store(0)
		wait()
	case schedule.LimitEndpoint:
		defer e.startLimit(f.PerSecond)()
		wait()
	case schedule.SendPoison, schedule.SendPoisonBurst:
		s.sendPoison(ctx, f)
	case schedule.SendPoisonPart:
		s.sendPoisonPart(ctx, f)
	case schedule.AskRest, schedule.SayLeaving, schedule.MakeBrittle:
		s.applyStatement(f, e, wait)
	case schedule.EndEndpoint, schedule.SilenceEndpoints, schedule.ReplaceEndpoint, schedule.LapseService,
		schedule.DelayCacheLists, schedule.ReturnCold, schedule.TurnCold:
		s.applyToProcesses(f, e, wait)
	case schedule.SwitchEngine, schedule.SickenEngines:
		s.applyToEngines(f, wait)
	case schedule.SurgeLoad:
		s.surge(ctx, s.Now()+f.For)
	default:
		s.applyToStore(f, wait)
	}
}

// applyToHosts applies a fault of one host, or of all.
func (s *Site) applyToHosts(f schedule.Fault, wait func()) {
	p := s.hosts[f.Host]
	switch f.Action {
	case schedule.KillHost, schedule.StopHost:
		s.restartHost(p, f.Action, wait)
	case schedule.PauseHost:
		defer s.startHostFault(f.Host)()
		defer p.pause()()
		wait()
	case schedule.ReloadHost:
		p.reload()
	case schedule.KillAllHosts:
		s.restartAllHosts(wait)
	default:
	}
}

// applyToStore applies a fault of the store or a change of the configuration in it.
func (s *Site) applyToStore(f schedule.Fault, wait func()) {
	switch f.Action {
	case schedule.StopStore:
		defer s.startHostFault(checker.AllHosts)()
		s.addOutage(1)
		defer s.addOutage(-1)
		wait()
	case schedule.ForgetHistory:
		defer s.startHostFault(checker.AllHosts)()
		s.store.DropHistory()
	case schedule.ReturnStore:
		s.returnStore(f, wait)
	case schedule.WriteForeignEntry:
		defer s.endpoints[f.Endpoint].WriteForeignEntry()()
		wait()
	case schedule.MoveRoute:
		s.publishChange(func() { s.routeMoves++ })
	case schedule.RevokeKey:
		s.publishChange(func() { s.oldestKey++ })
	default:
	}
}

// slowWriteInterval is the time between two changes that are written again slowly.
const slowWriteInterval = 150 * time.Millisecond

// returnStore makes the store return from an older copy. The operator writes its configuration again at once, endpoints follow.
func (s *Site) returnStore(f schedule.Fault, wait func()) {
	defer s.startHostFault(checker.AllHosts)()
	if f.For > 0 {
		s.addOutage(1)
		wait()
	}
	s.publishMu.Lock()
	lost := s.store.ReturnFromCopy(f.Lost, 0)
	for _, change := range lost {
		if change.IsSet() {
			s.store.WriteAgain(change)
		}
	}
	s.publishMu.Unlock()
	if f.For > 0 {
		s.addOutage(-1)
	}
	if !f.Slow {
		s.store.WriteOthers(f.Lost)
	}
	for _, change := range lost {
		if f.Slow {
			time.Sleep(slowWriteInterval)
		}
		s.store.WriteAgain(change)
	}
}

// addOutage starts (delta 1) or ends (delta -1) an outage of the store. Outages may overlap.
func (s *Site) addOutage(delta int) {
	s.publishMu.Lock()
	defer s.publishMu.Unlock()
	s.activeOutages += delta
	s.store.SetDown(s.activeOutages > 0)
}

// publishChange calls update, which changes the fields of s that publish reads, and publishes the resulting configuration.
func (s *Site) publishChange(update func()) {
	s.publishMu.Lock()
	defer s.publishMu.Unlock()
	update()
	s.publish()
}

// restartHost stops a host's process, by SIGTERM or SIGKILL, and starts it again after the duration of the fault.
func (s *Site) restartHost(p *process, action schedule.Action, wait func()) {
	defer s.startHostFault(p.number)()
	signal := syscall.SIGKILL
	if action == schedule.StopHost {
		signal = syscall.SIGTERM
	}
	p.terminate(signal)
	wait()
	if err := p.start(); err != nil {
		s.record(checker.ProcessFailed{Host: p.number, Reason: err.Error()})
	}
}

// restartAllHosts kills all hosts at one moment and starts them again after the duration of the fault.
func (s *Site) restartAllHosts(wait func()) {
	var wg sync.WaitGroup
	for _, p := range s.hosts {
		wg.Go(func() { s.restartHost(p, schedule.KillHost, wait) })
	}
	wg.Wait()
}

// disruptLink impairs, breaks or silences the links that a fault affects. Connections that it silences stay silent.
func (s *Site) disruptLink(f schedule.Fault, wait func()) {
	l := s.affectedLinks(f)
	if f.Place == schedule.EndpointLink {
		name := s.endpoints[f.Endpoint].name
		defer s.startEndpointFault(name)()
		s.record(checker.EndpointLinkFaultStarted{Endpoint: name})
		defer func() { s.record(checker.EndpointLinkFaultEnded{Endpoint: name}) }()
	} else {
		defer s.startHostFault(f.Host)()
	}
	switch f.Action {
	case schedule.BreakLink:
		for _, link := range l.tcpLinks {
			link.Break()
		}
		return
	case schedule.SilenceLink:
		for _, link := range l.tcpLinks {
			link.Silence()
		}
	default:
		fault := f.Link
		if f.Place == schedule.PeerLink && f.Peer >= 0 {
			defer s.startHostFault(f.Peer)()
			fault.From = s.address(1, f.Peer)
		}
		defer l.impair(fault)()
	}
	wait()
}

func (s *Site) affectedLinks(f schedule.Fault) links {
	switch f.Place {
	case schedule.CallerLink:
		return s.hosts[f.Host].callerLinks
	case schedule.StoreLink:
		return s.hosts[f.Host].storeLinks
	case schedule.PeerLink:
		return s.hosts[f.Host].peerLinks
	case schedule.EndpointLink:
	}
	return links{tcpLinks: []*network.Link{s.endpoints[f.Endpoint].link}}
}

// startHostFault records the start of a fault of a host. The returned function records its end.
func (s *Site) startHostFault(host int) (end func()) {
	s.record(checker.HostFaultStarted{Host: host})
	return func() { s.record(checker.HostFaultEnded{Host: host}) }
}

func (s *Site) startEndpointFault(name string) (end func()) {
	s.record(checker.EndpointFaultStarted{Endpoint: name})
	return func() { s.record(checker.EndpointFaultEnded{Endpoint: name}) }
}

// Recover waits until every host is ready and no request with a valid key has failed for quietPeriod, and returns how long
// requests went on failing. If the site takes longer than checker.RecoverLimit, it records a violation.
func (s *Site) Recover(ctx context.Context) time.Duration {
	start := s.Now()
	for timer.Sleep(ctx, pollInterval) {
		now := s.Now()
		var lastFailure checker.Time
		s.WithChecker(func(c *checker.Checker) { lastFailure = c.LastFailure() })
		if now-start >= quietPeriod && now-lastFailure >= quietPeriod && s.WaitReady(ctx, pollInterval) {
			return max(lastFailure-start, 0)
		}
		if now-start > checker.RecoverLimit {
			s.WithChecker(func(c *checker.Checker) { c.AddUnrecovered(now, "requests fail or hosts are not ready") })
			return now - start
		}
	}
	return 0
}

// quietPeriod is how long no request may fail before a site is considered recovered.
const quietPeriod = 1500 * time.Millisecond
