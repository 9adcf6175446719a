package fleet_test

import (
	"errors"
	"fmt"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"filbertusher/internal/standin/fleet"
)

// counterPath names the environment variable with the path of the file in which the
// test binary counts in place of running tests.
const counterPath = "FLEET_TEST_COUNTER"

func TestMain(m *testing.M) {
	if path := os.Getenv(counterPath); path != "" {
		count(path)
	}
	os.Exit(m.Run())
}

// count keeps many threads busy, all of which append to the file.
func count(path string) {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_APPEND, 0)
	if err != nil {
		panic(err)
	}
	fmt.Println("event=counting")
	var total atomic.Uint64
	for range 32 {
		go func() {
			for {
				if total.Add(1)%64 == 0 {
					if _, err := file.Write([]byte{1}); err != nil {
						panic(err)
					}
				}
			}
		}()
	}
	select {}
}

// A process does nothing more once Freeze has returned, and goes on after Resume, also
// on a machine that is busy with other processes that do the same.
func TestFreeze(t *testing.T) {
	binary, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	var processes []*fleet.Process
	var paths []string
	for i := range 12 {
		path := fmt.Sprintf("%s/%d", t.TempDir(), i)
		if err := os.WriteFile(path, nil, 0o600); err != nil {
			t.Fatal(err)
		}
		t.Setenv(counterPath, path)
		process, err := fleet.Start(fmt.Sprint("counter-", i), binary)
		if err != nil {
			t.Fatal(err)
		}
		defer process.Kill()
		if _, err := process.Await(t.Context(), "counting"); err != nil {
			t.Fatal(err)
		}
		processes, paths = append(processes, process), append(paths, path)
	}
	size := func(i int) int64 {
		info, err := os.Stat(paths[i])
		if err != nil {
			t.Fatal(err)
		}
		return info.Size()
	}
	for i, process := range processes {
		for range 3 {
			if err := process.Freeze(); err != nil {
				t.Fatal(err)
			}
			frozen := size(i)
			time.Sleep(20 * time.Millisecond)
			if later := size(i); later != frozen {
				t.Errorf("%s wrote %d bytes after it was suspended", process.Name, later-frozen)
			}
			process.Resume()
			for deadline := time.Now().Add(10 * time.Second); size(i) == frozen; time.Sleep(time.Millisecond) {
				if time.Now().After(deadline) {
					t.Fatalf("%s did not go on", process.Name)
				}
			}
		}
	}
	processes[0].Kill()
	failed := new(fleet.FreezeError)
	if err := processes[0].Freeze(); !errors.As(err, &failed) {
		t.Errorf("a process that has exited: %v", err)
	}
}
