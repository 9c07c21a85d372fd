package catalogue

import (
	"slices"
	"time"

	"balsamknot.org/fleet/host"
)

// SourceConfig is what a Source is built from.
type SourceConfig struct {
	Self host.ID
	// Readers is how many hosts, the first of the ranked ones, read the platform all the time.
	Readers int
	// Direct is the age of its knowledge at which a host that is not ranked reads the platform itself when no ranked host can.
	// The other ranked hosts are backups: they read it as soon as none before them can.
	Direct time.Duration
	// First is how long a new process that knows nothing waits for others before it reads the platform itself; one that reads
	// it all the time waits for Soon.
	First time.Duration
	// Retry is how long the platform is left alone after a read that failed while other hosts help.
	Retry time.Duration
	// Pause is how long a source that failed is left alone otherwise, Soon how long a host that knows nothing yet either, and
	// Again the time to the next look when nothing can be done.
	Pause, Soon, Again time.Duration
}

// Source decides from whom a host learns next. A few hosts read the platform; the others ask them, and read it themselves
// only when that does not keep their knowledge fresh, so that an outage of the platform does not bring all of them to it.
type Source struct {
	cfg SourceConfig
	// rests holds until when a host is not asked again.
	rests map[host.ID]time.Time
	// refused is when the platform last failed to answer.
	refused time.Time
}

// NewSource returns a source that met no failure.
func NewSource(cfg SourceConfig) *Source {
	return &Source{cfg: cfg, rests: make(map[host.ID]time.Time)}
}

// Step is what to do next: ask Reader, or read the platform when it is empty, or wait.
type Step struct {
	Reader host.ID
	// Wait is set when nothing is to be done yet.
	Wait time.Duration
}

// Next returns the next step of a host. ranked are the hosts to learn from, in order; known is false while this one knows
// nothing, and age says how old its knowledge is, or how old the process when it knows nothing.
func (s *Source) Next(now time.Time, ranked []host.ID, known bool, age time.Duration) Step {
	rank := slices.Index(ranked, s.cfg.Self)
	reads := rank >= 0 && rank < s.cfg.Readers || len(ranked) == 0
	for _, id := range s.helpers(now, ranked, rank, known, age) {
		if id != s.cfg.Self && !now.Before(s.rests[id]) {
			return Step{Reader: id}
		}
	}
	if s.refusedWithin(now, s.cfg.Pause) || s.holdsOff(now, ranked, known, age) || (!reads && age < s.patience(rank, known)) {
		return Step{Wait: s.cfg.Again}
	}
	return Step{}
}

// helpers returns the hosts that one of this rank asks before it reads the platform itself. A backup asks those before it
// only: two backups that asked each other would both stop reading, and the others would learn nothing until they noticed.
func (s *Source) helpers(now time.Time, ranked []host.ID, rank int, known bool, age time.Duration) []host.ID {
	switch {
	case s.refusedWithin(now, s.cfg.Retry):
		return ranked
	case !known && age >= s.patience(rank, known):
		return nil
	case rank < 0 || !known:
		return ranked
	case rank < s.cfg.Readers:
		return nil
	}
	return ranked[:rank]
}

// holdsOff reports whether a host waits for others a little longer, rather than ask a platform again that did not answer of late.
func (s *Source) holdsOff(now time.Time, ranked []host.ID, known bool, age time.Duration) bool {
	return known && age < s.cfg.Direct && len(ranked) > 1 && s.refusedWithin(now, s.cfg.Retry)
}

func (s *Source) refusedWithin(now time.Time, d time.Duration) bool {
	return !s.refused.IsZero() && now.Sub(s.refused) < d
}

// patience is the age of its knowledge up to which a host that no other helps leaves the platform alone.
func (s *Source) patience(rank int, known bool) time.Duration {
	switch {
	case !known && rank >= 0 && rank < s.cfg.Readers:
		return s.cfg.Soon
	case !known:
		return s.cfg.First
	case rank >= 0:
		return 0
	}
	return s.cfg.Direct
}

// Failed notes that a step brought nothing.
func (s *Source) Failed(now time.Time, step Step) {
	if step.Reader != "" {
		s.rests[step.Reader] = now.Add(s.cfg.Pause)
		return
	}
	s.refused = now
}

// New notes that a step asked a host that has just started, too: it knows nothing yet, but may soon.
func (s *Source) New(now time.Time, step Step) { s.rests[step.Reader] = now.Add(s.cfg.Soon) }

// Done notes that a step brought knowledge.
func (s *Source) Done(step Step) {
	if step.Reader != "" {
		delete(s.rests, step.Reader)
		return
	}
	s.refused = time.Time{}
}
