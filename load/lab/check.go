package lab

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/hibiscusspur/hibiscusspur/engine"
	"github.com/hibiscusspur/hibiscusspur/internal/sleep"
	"github.com/hibiscusspur/hibiscusspur/invariant"
	"github.com/hibiscusspur/hibiscusspur/load"
	"github.com/hibiscusspur/hibiscusspur/outcome"
	"github.com/hibiscusspur/hibiscusspur/standin/service"
)

// Checker checks the invariants of an experiment: answers as their callers see them, calls
// of plain services by their idempotency keys, and engine memory that is still held after
// all callers have finished. It can't tell which request a run in an engine belongs to.
type Checker struct {
	recorder *invariant.Recorder
}

// NewChecker returns a checker without any events.
func NewChecker() *Checker { return &Checker{recorder: invariant.NewRecorder()} }

// Sent implements load.Observer.
func (c *Checker) Sent(r *load.Request) {
	c.recorder.Add(invariant.Event{
		Kind: invariant.RequestSent, Request: r.ID, Key: r.ID, Want: strings.Join(r.Answer, ""),
		Unrepeatable: r.Class.Unrepeatable || isPost(r.Class),
	})
}

func isPost(c *load.Class) bool { return c.Service != nil && c.Service.Method == http.MethodPost }

// Ended implements load.Observer.
func (c *Checker) Ended(r *load.Request, res load.Result) {
	e := invariant.Event{Kind: invariant.ResponseReceived, Request: r.ID}
	switch {
	case res.Verdict.Completed():
		e.Outcome, e.Text = outcome.Completed, strings.Join(r.Answer[:min(res.Tokens, len(r.Answer))], "")
	case res.Verdict == load.NotRun:
		e.Outcome = outcome.NotRun
	case res.Verdict == load.Failed:
		e.Outcome = outcome.Failed
	case res.Verdict == load.Unknown:
		e.Outcome = outcome.Unknown
	default:
		e.Kind = invariant.ConnectionLost
	}
	c.recorder.Add(e)
}

// readStandIns records the calls and runs that the stand-ins report after all requests of
// l have ended.
func (c *Checker) readStandIns(ctx context.Context, l *Lab) error {
	for name, url := range l.ServiceURLs {
		var s service.State
		if err := getJSON(ctx, url+service.PathState, &s); err != nil {
			return err
		}
		for id, n := range s.Calls {
			for range n {
				c.recorder.Add(invariant.Event{Kind: invariant.RunStarted, Request: id, Node: name})
			}
		}
	}
	return c.checkMemory(ctx, l)
}

// checkMemory waits for as long as engines may hold memory for departed callers, and
// records the runs that still hold memory.
func (c *Checker) checkMemory(ctx context.Context, l *Lab) error {
	const left = "left"
	c.recorder.Add(invariant.Event{Kind: invariant.RequestSent, Request: left})
	c.recorder.Add(invariant.Event{Kind: invariant.CallerGone, Request: left})
	sleep.For(ctx, invariant.DefaultBounds().Memory+time.Second)
	for _, e := range l.Engines {
		var runs []engine.Run
		if e.proc.exited() {
			continue
		}
		if err := getJSON(ctx, e.URL+engine.PathRuns, &runs); err != nil {
			return err
		}
		for _, r := range runs {
			c.recorder.Add(invariant.Event{Kind: invariant.MemoryHeld, Request: left, Node: fmt.Sprintf("%s %s", e.ID, r.ID)})
		}
	}
	return nil
}

// Breaches returns the breached invariants.
func (c *Checker) Breaches() []invariant.Violation {
	return invariant.Check(c.recorder.Events(), invariant.DefaultBounds())
}
