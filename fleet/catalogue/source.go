package catalogue

import (
	"slices"
	"time"

	"balsamknot.org/fleet/host"
)

// SourceConfig is what a Source is built from.
type SourceConfig struct {
	Self host.ID
	// Pause is how long a reader that failed is not asked, and how long the platform is left alone after a read that failed.
	Pause time.Duration
}

// Source decides from whom a host learns next. A few hosts read the platform; the others ask them, and read it themselves
// when that does not keep their knowledge fresh.
type Source struct {
	cfg    SourceConfig
	failed map[host.ID]time.Time
	// refused is when the platform last failed to answer.
	refused time.Time
}

// NewSource returns a source that met no failure.
func NewSource(cfg SourceConfig) *Source {
	return &Source{cfg: cfg, failed: make(map[host.ID]time.Time)}
}

// Step is what to do next: ask Reader, or read the platform when it is empty, or wait.
type Step struct {
	Reader host.ID
	// Wait is set when nothing is to be done yet.
	Wait time.Duration
}

// Next returns the next step of a host. One that is not a reader reads the platform only when every reader failed it of
// late: did not answer, or knew nothing new enough. A reader asks the others while it knows nothing itself, which spares the
// platform many pages, and when the platform turns it away.
func (s *Source) Next(now time.Time, readers []host.ID, known bool) Step {
	others := slices.DeleteFunc(slices.Clone(readers), func(id host.ID) bool {
		return id == s.cfg.Self || now.Sub(s.failed[id]) < s.cfg.Pause
	})
	reads := slices.Contains(readers, s.cfg.Self)
	turnedAway := !s.refused.IsZero() && now.Sub(s.refused) < s.cfg.Pause
	switch {
	case len(others) > 0 && (!reads || !known || turnedAway):
		return Step{Reader: others[0]}
	case turnedAway:
		return Step{Wait: s.cfg.Pause - now.Sub(s.refused)}
	}
	return Step{}
}

// Failed notes that a step brought nothing.
func (s *Source) Failed(now time.Time, step Step) {
	if step.Reader != "" {
		s.failed[step.Reader] = now
		return
	}
	s.refused = now
}

// Done notes that a step brought knowledge.
func (s *Source) Done(step Step) {
	if step.Reader != "" {
		delete(s.failed, step.Reader)
		return
	}
	s.refused = time.Time{}
}
