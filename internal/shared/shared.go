// Package shared makes calls one at a time and shares each among those that were waiting for one.
package shared

import (
	"context"
	"time"
)

// Call is a call that one goroutine makes for all that wait for its effect. It is safe for concurrent use.
type Call struct {
	clock func() time.Duration
	// turn holds a token while no call is made; it guards last.
	turn chan struct{}
	// last is when the last successful call began.
	last time.Duration
}

// New returns a Call whose times are those of a clock.
func New(clock func() time.Duration) *Call {
	c := &Call{clock: clock, turn: make(chan struct{}, 1)}
	c.turn <- struct{}{}
	return c
}

// Do calls f with the time at which it is called, unless a successful call has begun since Do was called. f reports whether the
// call counts as successful for others; its error is returned. No two calls are made at once.
func (c *Call) Do(ctx context.Context, f func(began time.Duration) (ok bool, err error)) error {
	requested := c.clock()
	select {
	case <-c.turn:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { c.turn <- struct{}{} }()
	if c.last >= requested {
		return nil
	}
	began := c.clock()
	ok, err := f(began)
	if ok {
		c.last = began
	}
	return err
}
