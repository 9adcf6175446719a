package bench

import (
	"os"
	"strconv"
	"strings"
	"time"

	"filbertusher/internal/standin/fleet"
)

// clockTick is the unit of the CPU times in /proc: USER_HZ is 100 on Linux.
const clockTick = 10 * time.Millisecond

// Indexes of fields in /proc/PID/stat, counted from 0 at the field after the
// program's name.
const (
	fieldUserTime   = 11
	fieldSystemTime = 12
)

// StatError is returned for a file in /proc that does not have the expected
// format.
type StatError struct{ Path string }

// Error implements error.
func (e *StatError) Error() string { return "unexpected format of " + e.Path }

// cpuTime returns the CPU time that the processes have used so far, summed.
func cpuTime(members ...*fleet.Member) (time.Duration, error) {
	var total time.Duration
	for _, member := range members {
		path := "/proc/" + strconv.Itoa(member.PID()) + "/stat"
		text, err := os.ReadFile(path)
		if err != nil {
			return 0, err
		}
		_, rest, _ := strings.Cut(string(text), ") ")
		fields := strings.Fields(rest)
		if len(fields) <= fieldSystemTime {
			return 0, &StatError{Path: path}
		}
		for _, field := range []int{fieldUserTime, fieldSystemTime} {
			ticks, err := strconv.Atoi(fields[field])
			if err != nil {
				return 0, &StatError{Path: path}
			}
			total += time.Duration(ticks) * clockTick
		}
	}
	return total, nil
}

// residentMemory returns the resident set size of the process, in bytes.
func residentMemory(member *fleet.Member) (int64, error) {
	path := "/proc/" + strconv.Itoa(member.PID()) + "/statm"
	text, err := os.ReadFile(path)
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0, &StatError{Path: path}
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize()), err
}
