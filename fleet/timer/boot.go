package timer

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootClock returns the time of the kernel's CLOCK_BOOTTIME: it starts when the machine boots, keeps running while the machine is
// suspended and is never set. Use it for ages and deadlines that must stay correct across a suspension. Only differences between
// two readings have a meaning, not the date. It does not follow the virtual time of testing/synctest.
func BootClock() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Now()
	}
	return time.Unix(ts.Unix())
}
