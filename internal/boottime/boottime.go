// Package boottime reads a monotonic clock that also advances while the machine is
// suspended. The monotonic clock of package time stops during suspension, so it
// can't bound the age of data that other machines may have changed meanwhile.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Time is a reading of the clock in nanoseconds. It is only meaningful within the
// process that took it.
type Time int64

// Now returns the current time. If the kernel lacks CLOCK_BOOTTIME, it falls back
// to the monotonic clock of package time.
func Now() Time {
	var timespec unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &timespec); err != nil {
		return Time(time.Since(processStart))
	}
	return Time(timespec.Nano())
}

var processStart = time.Now()

// Sub returns the duration t - earlier.
func (t Time) Sub(earlier Time) time.Duration { return time.Duration(t - earlier) }

// Add returns t + d.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }

// Since returns the time elapsed since t.
func Since(t Time) time.Duration { return Now().Sub(t) }
