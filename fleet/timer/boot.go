package timer

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot returns the time on a clock that starts with the machine, runs while it is suspended and is never set.
// Ages that must hold through a suspension are measured with it; it says nothing of the time of day.
func Boot() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Now()
	}
	return time.Unix(ts.Unix())
}
