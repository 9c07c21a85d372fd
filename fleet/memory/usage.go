package memory

import (
	"slices"
	"time"
)

const (
	// windowLength is the time for which one peak of each workspace is recorded, and windows how many peaks are kept. What a workspace
	// usually holds is their median, so that a surge counts as usual only after half of the windows.
	windowLength = 15 * time.Second
	windows      = 12
	// firstWindowLength is the length of the first window, since nothing is known to be usual before its end.
	firstWindowLength = 5 * time.Second
)

// usage is what a workspace holds and held.
type usage struct {
	held Bytes
	// peak is the most that it held in the current window, and peaks that of the windows before, the oldest first.
	peak  Bytes
	peaks []Bytes
	// usual is the median of peaks; 0 before the end of the workspace's first window.
	usual Bytes
}

// advance ends the windows that are over at now.
func (l *Ledger) advance(now time.Time) {
	if now.Before(l.windowEnd) {
		return
	}
	if l.windowEnd.IsZero() {
		l.windowEnd = now.Add(firstWindowLength)
		return
	}
	ended := min(int(now.Sub(l.windowEnd)/windowLength)+1, windows)
	l.windowEnd = now.Add(windowLength)
	for name, u := range l.workspaces {
		for range ended {
			u.endWindow()
		}
		if u.held == 0 && slices.Max(u.peaks) == 0 {
			delete(l.workspaces, name)
		}
	}
	l.level, l.windowEnded = l.fairLevel(), true
}

func (u *usage) endWindow() {
	if len(u.peaks) == windows {
		u.peaks = slices.Delete(u.peaks, 0, 1)
	}
	u.peaks = append(u.peaks, u.peak)
	u.peak = u.held
	sorted := slices.Sorted(slices.Values(u.peaks))
	u.usual = sorted[(len(sorted)-1)/2]
}

// fairLevel returns the largest share at which the shares of all workspaces fit below the ceiling of large bodies. Who usually holds less
// has all of it as its share, the others have the level.
func (l *Ledger) fairLevel() Bytes {
	demands := make([]Bytes, 0, len(l.workspaces))
	for _, u := range l.workspaces {
		demands = append(demands, u.usual)
	}
	slices.Sort(demands)
	left := l.largeBodyCeiling()
	for i, demand := range demands {
		level := left / Bytes(len(demands)-i)
		if demand > level {
			return level
		}
		left -= demand
	}
	return l.cfg.Budget
}
