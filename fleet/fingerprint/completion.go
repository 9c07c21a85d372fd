package fingerprint

import "time"

// maxCompletions limits the completions in one generation of completionMemory.
const maxCompletions = 2048

// completionMemory holds when requests last ran to their end here, whether or not crashes are recorded for them. It keeps between
// maxCompletions and twice as many: when the current generation is full, the previous one is dropped.
type completionMemory struct {
	current, previous map[Fingerprint]time.Time
}

func newCompletionMemory() completionMemory {
	return completionMemory{current: make(map[Fingerprint]time.Time)}
}

// note records a completion at time at, unless a later one is known.
func (m *completionMemory) note(at time.Time, fp Fingerprint) {
	if !at.After(m.last(fp)) {
		return
	}
	if len(m.current) >= maxCompletions {
		m.current, m.previous = make(map[Fingerprint]time.Time, maxCompletions), m.current
	}
	m.current[fp] = at
}

// last returns the time of the last completion; zero if none is remembered.
func (m *completionMemory) last(fp Fingerprint) time.Time {
	if at, ok := m.current[fp]; ok {
		return at
	}
	return m.previous[fp]
}
