package node

import (
	"errors"
	"time"

	"github.com/rs/zerolog"

	"balsamknot.org/balsamknot/event"
	"balsamknot.org/entry/connection"
	"balsamknot.org/fleet/pool"
	"balsamknot.org/fleet/site"
	"balsamknot.org/fleet/timer"
)

// registrationDelay bounds how long after its start a process is registered, and its registration is part of the newest state of the store that
// hosts have read.
const registrationDelay = 3 * time.Second

// boundProcess returns the process that must get a request of a stream that may go on later: the registered one, whose version is recorded. What
// the local copy of the store says of a connection's process holds if the copy is younger than the connection by registrationDelay. For a new
// stream, the process is asked only where the endpoint ended connections of this host in that time, failed, by what its keeper was told by all hosts,
// or ran nothing: the end of a process that runs nothing is told by nobody.
func (n *Node) boundProcess(now time.Time, q *request, grant pool.Grant) connection.Process {
	begins, target := q.version == "", grant.Endpoint
	if q.set.Services[q.service].Engine == nil || begins && q.route.RetryMode != site.Resumable {
		return connection.Process{}
	}
	wasIdle := grant.Decision.Running == 0
	return connection.Process{
		Instance: target.Instance, KnownBefore: now.Add(-n.storeView.age(now) - registrationDelay), IfEnded: begins && !grant.Decision.Suspect && !wasIdle,
	}
}

// noteOtherProcess logs a request that was not sent, since another process was found at the endpoint's address than the registered one.
func (n *Node) noteOtherProcess(q *request, err error) {
	if !errors.Is(err, connection.ErrOtherProcess) {
		return
	}
	q.logEvent(n.log, zerolog.WarnLevel, event.ProcessNotRegistered).Str("Endpoint", string(q.endpoint)).Int64("StartedAt", q.instance.StartedAt).
		Str("Software", string(q.software)).Dur("BeliefMs", n.storeView.age(timer.BootClock())).Err(err).Send()
}

// noteReport counts a report of a process that was asked for, and logs one that tells nothing.
func (n *Node) noteReport(address string, result connection.ReportResult, err error) {
	n.meter.recordReport(result)
	if result == connection.ReportAbsent || result == connection.ReportLost {
		event.LogText(n.log, zerolog.DebugLevel, event.ReportMissing).Str("Address", address).Str("Result", string(result)).Err(err).Send()
	}
}
