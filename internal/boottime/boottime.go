// Package boottime is a steady clock that also counts the time for which the
// machine was suspended. The runtime's monotonic clock stops meanwhile, so it
// can't bound the age of something that others may have changed since.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Time is an instant of the clock. It has no meaning in another process.
type Time int64

// Now returns the current instant.
//
// Where the kernel lacks the clock the steady clock takes its place.
func Now() Time {
	var spec unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &spec); err != nil {
		return Time(time.Since(started))
	}
	return Time(spec.Nano())
}

var started = time.Now()

// Sub returns the time between two instants.
func (t Time) Sub(earlier Time) time.Duration { return time.Duration(t - earlier) }

// Add returns the instant a while after t.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }

// Since returns the time that has passed since t.
func Since(t Time) time.Duration { return Now().Sub(t) }
