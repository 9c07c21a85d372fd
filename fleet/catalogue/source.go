package catalogue

import (
	"time"

	"balsamknot.org/fleet/host"
)

// SourceConfig is what a Source is built from.
type SourceConfig struct {
	Self host.ID
	// Direct is the age of the knowledge at which a host reads the platform itself, whatever its readers say.
	Direct time.Duration
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

// Next returns the next step of a host whose knowledge has the given age.
func (s *Source) Next(now time.Time, readers []host.ID, age time.Duration) Step {
	reads := len(readers) == 0
	for _, id := range readers {
		reads = reads || id == s.cfg.Self
	}
	for _, id := range readers {
		if reads || age > s.cfg.Direct {
			break
		}
		if now.Sub(s.failed[id]) >= s.cfg.Pause {
			return Step{Reader: id}
		}
	}
	if since := now.Sub(s.refused); !s.refused.IsZero() && since < s.cfg.Pause {
		for _, id := range readers {
			if id != s.cfg.Self && now.Sub(s.failed[id]) >= s.cfg.Pause {
				return Step{Reader: id}
			}
		}
		return Step{Wait: s.cfg.Pause - since}
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
