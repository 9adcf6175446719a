package command

import (
	"sync"

	"golang.org/x/sync/errgroup"
)

// components runs the components of a process concurrently. When one fails, the others
// keep running until the process has finished its requests: it stops as if by a signal,
// but returns the error, so that the platform starts it again.
type components struct {
	group    errgroup.Group
	failOnce sync.Once
	// failed is closed once cause, the first error of a component, is set.
	failed chan struct{}
	cause  error
}

func newComponents() *components { return &components{failed: make(chan struct{})} }

// run starts a component.
func (c *components) run(component func() error) {
	c.group.Go(func() error {
		err := component()
		if err != nil {
			c.failOnce.Do(func() {
				c.cause = err
				close(c.failed)
			})
		}
		return err
	})
}

// runUntilDone starts a component that can't fail.
func (c *components) runUntilDone(component func()) {
	c.run(func() error { component(); return nil })
}

// wait waits until all components have returned and returns the first error.
func (c *components) wait() error { return c.group.Wait() }
