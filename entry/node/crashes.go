package node

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"balsamknot.org/balsamknot/event"
	"balsamknot.org/entry/connection"
	"balsamknot.org/entry/peer"
	"balsamknot.org/fleet/answer"
	"balsamknot.org/fleet/crashlog"
	"balsamknot.org/fleet/endpoint"
	"balsamknot.org/fleet/engine"
	"balsamknot.org/fleet/fingerprint"
	"balsamknot.org/fleet/host"
	"balsamknot.org/fleet/interruption"
	"balsamknot.org/fleet/timer"
)

// crashTracker finds requests and parts of prompts that crash the endpoints that run them. Package interruption decides which
// interrupted runs were crashes, and package fingerprint what is blocked for them. It is safe for concurrent use.
type crashTracker struct {
	n *Node

	mu            sync.Mutex
	registry      *fingerprint.Registry
	interruptions *interruption.Tracker
	// lines bounds the lines of RequestSuspected.
	lines *crashlog.Log
	// nextRow is the index of the first row that the next gossip message contains.
	nextRow int
}

// minCrashInterval is the time that the crashes of a blocked request must span: endpoints that fail at the same moment may have
// another cause than the request, so that its copies run one after another until that is known.
const minCrashInterval = 400 * time.Millisecond

const (
	// crashGossipInterval is the time between two messages about crashes to a random host.
	crashGossipInterval = 300 * time.Millisecond
	// maxCrashesPerDatagram limits the crashes and completions in one datagram.
	maxCrashesPerDatagram = 16
	// maxCrashesPerJoin limits those that a host sends to one that has just joined.
	maxCrashesPerJoin = 256
)

// crashLogConfig lets a request with seven parts have all its lines, and keeps ends of many endpoints to a third of the log's rate.
var crashLogConfig = crashlog.Config{Window: time.Second, LinesPerEndpoint: 8, Lines: 64}

func newCrashTracker(n *Node) *crashTracker {
	return &crashTracker{
		n: n, registry: fingerprint.NewRegistry(minCrashInterval), interruptions: interruption.NewTracker(), lines: crashlog.New(crashLogConfig),
	}
}

// fingerprints returns the request's fingerprint, followed by those of the parts of its prompt that other requests may share.
func (q *request) fingerprints() []fingerprint.Fingerprint {
	if q.fps == nil {
		scope := strings.ToLower(q.route.Host) + " " + string(q.workspace)
		q.fps = append(q.fps, fingerprint.Of(scope, q.r.Method, q.r.RequestURI, q.bodyData()))
		for _, part := range q.call.Prompt.SharedParts() {
			q.fps = append(q.fps, fingerprint.OfPart(part.ID))
		}
	}
	return q.fps
}

// decide returns whether and how a request may run, and sets the cause of its refusal.
func (c *crashTracker) decide(now time.Time, q *request) fingerprint.Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.registry.Len() == 0 {
		return fingerprint.Decision{}
	}
	d := c.registry.Decide(now, q.fingerprints())
	if d.BlockedFor > 0 {
		q.cause = "request blocked: it crashed several endpoints"
		if d.Blocked.IsPart() {
			q.cause = "request blocked: part " + d.Blocked.PartName() + " of its prompt crashed several endpoints"
		}
		c.n.meter.recordBlocked(d.Blocked.IsPart())
	}
	return d
}

// recordAnswer records that an endpoint's answer to a request was read to its end. A success clears the crashes recorded for the
// request and the parts of its prompt, on all hosts, if the answer marks its end or the endpoint was seen to go on after it: otherwise the
// endpoint may have crashed there.
func (c *crashTracker) recordAnswer(q *request, x *connection.Exchange) {
	now := timer.BootClock()
	if !answer.EndMarked(x.Response) && !q.endConfirmed {
		q.cause = "the answer does not mark its end"
		c.recordInterruption(now, q, interruption.Interrupted{Unmarked: x.Response.StatusCode < http.StatusMultipleChoices})
		return
	}
	c.recordSignOfLife(now, q, x)
	c.mu.Lock()
	defer c.mu.Unlock()
	if x.Response.StatusCode < http.StatusMultipleChoices {
		c.recordCompletion(now, q.run())
	}
}

// recordSignOfLife records that an endpoint answered: it did not crash while the connection was open.
func (c *crashTracker) recordSignOfLife(now time.Time, q *request, x *connection.Exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.interruptions.AwaitsAnswers() {
		c.execute(now, c.interruptions.Update(now, interruption.Answered{Endpoint: q.instance, ConnectedAt: x.ConnectedAt()}))
	}
}

// recordCompletion clears the crashes recorded for a request that ran to its end at time at and for the parts of its prompt, and tells
// the other hosts. mu must be held.
func (c *crashTracker) recordCompletion(at time.Time, run interruption.Run) {
	var cleared []peer.Crash
	for _, fp := range fingerprintsOf(run) {
		crashes := c.registry.RecordCompletion(at, fp)
		if crashes == 0 {
			continue
		}
		event.LogText(c.n.log, zerolog.InfoLevel, event.CrashesCleared).Str("Request", run.Request).Uint64("Fingerprint", uint64(fp)).
			Str("Part", fp.PartName()).Int("Crashes", crashes).Send()
		cleared = append(cleared, peer.FromCrashRow(fingerprint.Row{Fingerprint: fp, Age: timer.BootClock().Sub(at)}))
	}
	c.broadcast(cleared)
}

// broadcast sends crashes and completions to all hosts.
func (c *crashTracker) broadcast(crashes []peer.Crash) {
	for chunk := range slices.Chunk(crashes, maxCrashesPerDatagram) {
		c.n.membership.broadcast(peer.Datagram{Crashes: chunk})
	}
}

// fingerprintsOf returns the fingerprints of the request of a run and of the parts of its prompt.
func fingerprintsOf(run interruption.Run) []fingerprint.Fingerprint {
	return append([]fingerprint.Fingerprint{run.Fingerprint}, run.Parts...)
}

// recordInterruption records the run of a request at its current endpoint, whose answer is missing or may be incomplete as e says. e.Run
// is left to recordInterruption.
func (c *crashTracker) recordInterruption(now time.Time, q *request, e interruption.Interrupted) {
	c.n.meter.recordInterruption()
	level := zerolog.InfoLevel
	if e.Broken {
		level = zerolog.WarnLevel
	}
	q.logEvent(c.n.log, level, event.RunInterrupted).Uint64("Fingerprint", uint64(q.fingerprints()[0])).Str("Endpoint", string(q.instance.ID)).
		Int64("StartedAt", q.instance.StartedAt).Bool("Broken", e.Broken).Dur("RanMs", now.Sub(q.sentAt)).
		Strs("Parts", q.sharedParts()).Str("Cause", q.cause).Send()
	e.Run = q.run()
	e.Run.EndedAt = now
	c.update(now, e)
}

// sharedParts returns the names of the parts of the prompt that other requests may share.
func (q *request) sharedParts() []string {
	var names []string
	for _, fp := range q.fingerprints()[1:] {
		names = append(names, fp.PartName())
	}
	return names
}

// run returns the run of the request at its current endpoint.
func (q *request) run() interruption.Run {
	fps := q.fingerprints()
	return interruption.Run{
		Request: q.call.ID, Fingerprint: fps[0], Parts: fps[1:], Trials: q.trials, Endpoint: q.instance, StartedAt: q.sentAt,
	}
}

// recordReceived records that the current endpoint sent a part of its answer.
func (c *crashTracker) recordReceived(q *request, x *connection.Exchange) {
	c.update(timer.BootClock(), interruption.Received{Request: q.call.ID, Endpoint: q.instance, ConnectedAt: x.ConnectedAt()})
}

// update passes an event about an endpoint to the state machine and executes the resulting commands.
func (c *crashTracker) update(now time.Time, e interruption.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.execute(now, c.interruptions.Update(now, e))
}

func (c *crashTracker) tick(now time.Time) {
	c.update(now, interruption.Tick{})
	c.mu.Lock()
	summaries := c.lines.Tick(now)
	c.mu.Unlock()
	for _, s := range summaries {
		event.LogText(c.n.log, zerolog.WarnLevel, event.CrashesSummarised).Str("Endpoint", string(s.Endpoint.ID)).
			Int64("StartedAt", s.Endpoint.StartedAt).Int("Requests", s.Requests).Int("Parts", s.Parts).Send()
	}
}

// execute carries out commands. mu must be held.
func (c *crashTracker) execute(now time.Time, commands []interruption.Command) {
	var recorded []peer.Crash
	for _, command := range commands {
		switch command := command.(type) {
		case interruption.Probe:
			c.n.wg.Go(func() { c.probe(command) })
		case interruption.Dropped:
			event.LogText(c.n.log, zerolog.InfoLevel, event.InterruptionDropped).Uint64("Fingerprint", uint64(command.Run.Fingerprint)).
				Str("Endpoint", string(command.Run.Endpoint.ID)).Str("Reason", command.Reason).Send()
		case interruption.Completed:
			c.recordCompletion(command.Run.EndedAt, command.Run)
		case interruption.Crashed:
			recorded = c.record(now, command.Run, false, recorded)
		case interruption.Silent:
			c.n.wg.Go(func() { c.recordSilence(command.Run) })
		}
	}
	c.logCrashes(now, c.n.cfg.Host, recorded)
	c.broadcast(recorded)
}

// recordSilence records an unconfirmed crash for a run at an endpoint that has sent nothing since, unless this host's own path to it is
// gone.
func (c *crashTracker) recordSilence(run interruption.Run) {
	address := c.n.slots.endpointAddress(run.Endpoint.ID)
	if address != "" && !c.n.paths.blames(address, run.StartedAt) {
		event.LogText(c.n.log, zerolog.InfoLevel, event.InterruptionDropped).Uint64("Fingerprint", uint64(run.Fingerprint)).
			Str("Endpoint", string(run.Endpoint.ID)).Str("Reason", "the path to the endpoint is gone").Send()
		return
	}
	now := timer.BootClock()
	run.EndedAt = now
	c.mu.Lock()
	defer c.mu.Unlock()
	recorded := c.record(now, run, true, nil)
	c.logCrashes(now, c.n.cfg.Host, recorded)
	c.broadcast(recorded)
}

// record merges a crash that this host observed, for the request and for the parts of its prompt, and appends what is new to recorded.
// mu must be held.
func (c *crashTracker) record(now time.Time, run interruption.Run, unconfirmed bool, recorded []peer.Crash) []peer.Crash {
	for _, fp := range fingerprintsOf(run) {
		row := fingerprint.Row{
			Fingerprint: fp, Age: now.Sub(run.EndedAt),
			Crash: fingerprint.Crash{
				Engine: engine.ID(run.Endpoint.ID), Incarnation: run.Endpoint.StartedAt, Ran: run.EndedAt.Sub(run.StartedAt),
				Alone: fp.IsPart() && slices.Contains(run.Trials, fp), Unconfirmed: unconfirmed,
			},
		}
		if c.registry.Merge(now, row) {
			recorded = append(recorded, peer.FromCrashRow(row))
		}
	}
	return recorded
}

// gossip sends some of the recorded crashes and completions to a random host, so that hosts to which a broadcast was lost get them.
func (c *crashTracker) gossip(now time.Time) {
	c.mu.Lock()
	rows := c.registry.Rows(now, true)
	var crashes []peer.Crash
	for range min(len(rows), maxCrashesPerDatagram) {
		crashes = append(crashes, peer.FromCrashRow(rows[c.nextRow%len(rows)]))
		c.nextRow++
	}
	c.mu.Unlock()
	if len(crashes) > 0 {
		c.n.membership.sendToRandomHost(peer.Datagram{Crashes: crashes})
	}
}

// sendTo sends the recorded crashes and completions to a host that has just joined. Rows beyond maxCrashesPerJoin, those of
// requests with the fewest crashes, are left to gossip.
func (c *crashTracker) sendTo(to host.ID) {
	c.mu.Lock()
	rows := c.registry.Rows(timer.BootClock(), false)
	c.mu.Unlock()
	var crashes []peer.Crash
	for _, row := range rows[:min(len(rows), maxCrashesPerJoin)] {
		crashes = append(crashes, peer.FromCrashRow(row))
	}
	for chunk := range slices.Chunk(crashes, maxCrashesPerDatagram) {
		c.n.membership.send(to, peer.Datagram{Crashes: chunk})
	}
}

// probe checks whether an endpoint still listens.
func (c *crashTracker) probe(p interruption.Probe) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout+relayDelay)
	defer cancel()
	listening, known := c.n.paths.listening(ctx, p.Address)
	if known {
		c.update(timer.BootClock(), interruption.Probed{Endpoint: p.Endpoint, Refused: !listening})
	}
}

// recordUnreachable records that a request could not connect to an endpoint.
func (c *crashTracker) recordUnreachable(now time.Time, q *request, err error) {
	c.update(now, interruption.Withdrawn{Request: q.call.ID, Endpoint: q.instance})
	var failed *pathError
	if errors.As(err, &failed) && failed.refused {
		c.update(now, interruption.Probed{Endpoint: q.instance, Refused: true})
	}
}

// logCrashes logs and counts crashes that the host from observed and that were recorded here. It is called once for several, since the
// first verdict after a change judges all fingerprints. Fingerprints that crashed most often come first, since lines are limited. mu must be held.
func (c *crashTracker) logCrashes(now time.Time, from host.ID, crashes []peer.Crash) {
	for _, crash := range c.mostCrashedFirst(crashes) {
		c.n.meter.recordCrash(from == c.n.cfg.Host)
		number := c.eventOf(now, crash.Fingerprint)
		instance := endpoint.Instance{ID: crash.Endpoint, StartedAt: crash.StartedAt}
		if number == event.RequestSuspected && !c.lines.Record(now, instance, crash.Fingerprint) {
			continue
		}
		evidence := c.registry.Evidence(now, crash.Fingerprint)
		event.LogText(c.n.log, zerolog.WarnLevel, number).Uint64("Fingerprint", uint64(crash.Fingerprint)).Str("Part", crash.Fingerprint.PartName()).
			Str("Endpoint", string(crash.Endpoint)).Int64("StartedAt", crash.StartedAt).Int64("RanMs", crash.RanMs).
			Bool("Unconfirmed", crash.Unconfirmed).Bool("Alone", crash.Alone).Str("From", string(from)).
			Int("Crashes", evidence.Crashes).Int("FailedTrials", evidence.FailedTrials).Dur("NextTrialMs", evidence.NextTrial).Send()
	}
}

// eventOf returns the event to log for a crash that was recorded for a fingerprint. mu must be held.
func (c *crashTracker) eventOf(now time.Time, fp fingerprint.Fingerprint) event.Number {
	switch {
	case c.registry.Verdict(now, fp) == fingerprint.Blocked:
		return event.RequestBlocked
	case c.registry.Limited(now, fp):
		return event.RequestLimited
	}
	return event.RequestSuspected
}

// mostCrashedFirst orders crashes by how many are recorded for their fingerprints, requests before parts of prompts. mu must be held.
func (c *crashTracker) mostCrashedFirst(crashes []peer.Crash) []peer.Crash {
	return slices.SortedStableFunc(slices.Values(crashes), func(a, b peer.Crash) int {
		if byCount := cmp.Compare(len(c.registry.Crashes(b.Fingerprint)), len(c.registry.Crashes(a.Fingerprint))); byCount != 0 {
			return byCount
		}
		switch {
		case a.Fingerprint.IsPart() == b.Fingerprint.IsPart():
			return 0
		case a.Fingerprint.IsPart():
			return 1
		}
		return -1
	})
}

// handle records the crashes in a datagram from another host. They are also evidence for the runs that were interrupted here.
func (c *crashTracker) handle(now time.Time, d peer.Datagram) {
	if len(d.Crashes) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var merged []peer.Crash
	var commands []interruption.Command
	for _, crash := range d.Crashes {
		row := crash.ToRow()
		if !c.registry.Merge(now, row) {
			continue
		}
		merged = append(merged, crash)
		if !crash.Unconfirmed {
			lost := endpoint.Instance{ID: crash.Endpoint, StartedAt: crash.StartedAt}
			commands = append(commands, c.interruptions.Update(now, interruption.ReportedLost{Endpoint: lost})...)
		}
	}
	c.logCrashes(now, d.From, merged)
	c.execute(now, commands)
}
