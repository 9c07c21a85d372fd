package catalogue

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"balsamknot.org/fleet/host"
)

// SourceSelectorConfig holds the identity and the time limits of a SourceSelector.
type SourceSelectorConfig struct {
	Self host.ID
	// ActiveReaders is how many of the ranked hosts, counted from the first, read the platform continuously. The ranked hosts
	// after them are backup readers: each reads the platform as soon as it can query no reader ranked before it.
	ActiveReaders int
	// DirectReadAge is the age of its copy from which an unranked host reads the platform itself when it can query no reader.
	DirectReadAge time.Duration
	// FirstReadDelay is how long a new process without a copy waits for other hosts before it reads the platform itself. An
	// active reader waits for StartupBackoff instead.
	FirstReadDelay time.Duration
	// PlatformBackoff is the time after a failed read of the platform in which a host queries the other ranked hosts first. While
	// its copy is also younger than DirectReadAge, and there are other ranked hosts, it does not read the platform at all.
	PlatformBackoff time.Duration
	// FailureBackoff is how long a source that failed, whether a reader or the platform, is not used. StartupBackoff is how
	// long a reader that has no copy yet is not queried again. RecheckInterval is the wait until the next call of Next when no
	// source can be used.
	FailureBackoff, StartupBackoff, RecheckInterval time.Duration
}

// SourceSelector chooses the source from which a host refreshes its copy next. A few hosts read the platform; the others query
// those, and read the platform themselves only when that does not keep their copy fresh, so that an outage of the platform
// does not make all hosts read it at once. It is not safe for concurrent use.
type SourceSelector struct {
	cfg SourceSelectorConfig
	// retryAt holds the time before which a reader is not queried again.
	retryAt map[host.ID]time.Time
	// platformFailedAt is when a read of the platform last failed; zero after a read that succeeded.
	platformFailedAt time.Time
}

// NewSourceSelector returns a selector that has no failures on record.
func NewSourceSelector(cfg SourceSelectorConfig) *SourceSelector {
	return &SourceSelector{cfg: cfg, retryAt: make(map[host.ID]time.Time)}
}

// Step is the next action of a host: wait when Wait is positive, otherwise query Reader, or read the platform when Reader is
// empty.
type Step struct {
	Reader host.ID
	// Wait is the time until Next is to be called again; zero when there is a source to use now.
	Wait time.Duration
}

// Next returns the next step of this host. ranked lists the readers in order of preference. loaded is false while this host
// has no copy; age is the age of its copy or, without one, of its process.
func (s *SourceSelector) Next(now time.Time, ranked []host.ID, loaded bool, age time.Duration) Step {
	rank := slices.Index(ranked, s.cfg.Self)
	activeReader := rank >= 0 && rank < s.cfg.ActiveReaders || len(ranked) == 0
	for _, id := range s.candidates(now, ranked, rank, loaded, age) {
		if id != s.cfg.Self && !now.Before(s.retryAt[id]) {
			return Step{Reader: id}
		}
	}
	if s.platformFailedWithin(now, s.cfg.FailureBackoff) || s.shouldWaitForReaders(now, ranked, loaded, age) ||
		(!activeReader && age < s.directReadAge(rank, loaded)) {
		return Step{Wait: s.cfg.RecheckInterval}
	}
	return Step{}
}

// candidates returns the hosts that a host of this rank queries before it reads the platform itself; rank is negative for an
// unranked host. A backup reader queries only those ranked before it: two backups that queried each other would both stop
// reading the platform, and the other hosts would receive no changes until both found that the other's copy was stale.
func (s *SourceSelector) candidates(now time.Time, ranked []host.ID, rank int, loaded bool, age time.Duration) []host.ID {
	switch {
	case s.platformFailedWithin(now, s.cfg.PlatformBackoff):
		return ranked
	case !loaded && age >= s.directReadAge(rank, loaded):
		return nil
	case rank < 0:
		return s.ownReaderFirst(ranked)
	case !loaded:
		return ranked
	case rank < s.cfg.ActiveReaders:
		return nil
	}
	return ranked[:rank]
}

// ownReaderFirst returns the ranked hosts with one of the active readers, chosen by this host's ID, before the others, so that the active
// readers share the unranked hosts.
func (s *SourceSelector) ownReaderFirst(ranked []host.ID) []host.ID {
	active := min(s.cfg.ActiveReaders, len(ranked))
	if active == 0 {
		return ranked
	}
	own := int(xxhash.Sum64String(string(s.cfg.Self)) % uint64(active))
	return slices.Concat(ranked[own:active], ranked[:own], ranked[active:])
}

// shouldWaitForReaders reports whether a host waits a little longer for other readers instead of reading a platform that
// failed recently.
func (s *SourceSelector) shouldWaitForReaders(now time.Time, ranked []host.ID, loaded bool, age time.Duration) bool {
	return loaded && age < s.cfg.DirectReadAge && len(ranked) > 1 && s.platformFailedWithin(now, s.cfg.PlatformBackoff)
}

// platformFailedWithin reports whether the last read of the platform failed less than d ago.
func (s *SourceSelector) platformFailedWithin(now time.Time, d time.Duration) bool {
	return !s.platformFailedAt.IsZero() && now.Sub(s.platformFailedAt) < d
}

// directReadAge returns the age of the copy, or of the process while there is no copy, from which a host of this rank reads
// the platform itself when it can query no reader.
func (s *SourceSelector) directReadAge(rank int, loaded bool) time.Duration {
	switch {
	case !loaded && rank >= 0 && rank < s.cfg.ActiveReaders:
		return s.cfg.StartupBackoff
	case !loaded:
		return s.cfg.FirstReadDelay
	case rank >= 0:
		return 0
	}
	return s.cfg.DirectReadAge
}

// RecordFailure starts the backoff of the source that a step used: the step failed, the reader's copy is stale, or the reader
// reported that it does not read the platform itself.
func (s *SourceSelector) RecordFailure(now time.Time, step Step) {
	if step.Reader != "" {
		s.retryAt[step.Reader] = now.Add(s.cfg.FailureBackoff)
		return
	}
	s.platformFailedAt = now
}

// RecordStarting starts the shorter StartupBackoff of a reader that has no copy yet because it has just started; it may have
// one soon.
func (s *SourceSelector) RecordStarting(now time.Time, step Step) {
	s.retryAt[step.Reader] = now.Add(s.cfg.StartupBackoff)
}

// RecordSuccess ends the backoff of the source that a step used.
func (s *SourceSelector) RecordSuccess(step Step) {
	if step.Reader != "" {
		delete(s.retryAt, step.Reader)
		return
	}
	s.platformFailedAt = time.Time{}
}
