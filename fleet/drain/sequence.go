package drain

import "time"

// Step is a part of a stop.
type Step struct {
	// Name is the name of the step in the log.
	Name string
	// Limit is the longest time for which the step is waited for.
	Limit time.Duration
	// Run does the step. It may go on after Limit, beside the steps that follow.
	Run func()
}

// StepResult is how a step ended.
type StepResult struct {
	Step string
	// Took is how long the step was waited for, and Completed is false if it had not ended by then.
	Took      time.Duration
	Completed bool
}

// SequenceConfig holds the parameters of a Sequence.
type SequenceConfig struct {
	Now func() time.Time
	// End is the time after which steps are started but not waited for.
	End time.Time
	// Report is called after each step.
	Report func(StepResult)
}

// Sequence runs the steps of a stop in their order. A step that hangs delays the others by its limit at most.
type Sequence struct{ cfg SequenceConfig }

// NewSequence returns a sequence without steps.
func NewSequence(cfg SequenceConfig) *Sequence { return &Sequence{cfg: cfg} }

// Run runs steps one after another.
func (s *Sequence) Run(steps ...Step) {
	for _, step := range steps {
		begin := s.cfg.Now()
		completed := runWithin(step.Run, min(step.Limit, s.cfg.End.Sub(begin)))
		s.cfg.Report(StepResult{Step: step.Name, Took: s.cfg.Now().Sub(begin), Completed: completed})
	}
}

// runWithin starts fn, and waits for limit at most. It reports whether fn has ended.
func runWithin(fn func(), limit time.Duration) bool {
	done := make(chan struct{})
	go func() {
		defer close(done)
		fn()
	}()
	if limit <= 0 {
		return false
	}
	t := time.NewTimer(limit)
	defer t.Stop()
	select {
	case <-done:
		return true
	case <-t.C:
		return false
	}
}
