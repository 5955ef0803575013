package runcopy_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/policy/runcopy"
)

// Runs that can't be recovered otherwise are backed up, unless the copy would take memory that requests wait for.
func TestBackupWanted(t *testing.T) {
	for _, c := range []struct {
		name string
		in   runcopy.Backup
		want bool
	}{
		{"not resumable", runcopy.Backup{AttemptsLeft: 1, Remaining: time.Second}, true},
		{"last attempt", runcopy.Backup{Resumable: true, Remaining: time.Second}, true},
		{"can be resumed", runcopy.Backup{Resumable: true, AttemptsLeft: 1, Remaining: time.Second}, false},
		{"memory short", runcopy.Backup{MemoryShort: true, Remaining: time.Second}, false},
		{"ends soon", runcopy.Backup{Remaining: 499 * time.Millisecond}, false},
	} {
		assert.Equal(t, c.in.Wanted(), c.want, c.name)
	}
}

// A run leaves its engine when it would be cut there or end too late, and not more often than the links carry.
func TestMoveDue(t *testing.T) {
	late := runcopy.Forecast{Generated: 100, EndsHere: 0.1, EndsThere: 0.9, Left: 5 * time.Second}
	change := func(f func(*runcopy.Forecast)) runcopy.Forecast {
		c := late
		f(&c)
		return c
	}
	for _, c := range []struct {
		name string
		in   runcopy.Move
		want runcopy.Reason
	}{
		{"stays", runcopy.Move{}, ""},
		{"outlives its engine", runcopy.Move{Leaving: true, EndsBefore: 0.8}, runcopy.Leaving},
		{"ends before its engine leaves", runcopy.Move{Leaving: true, EndsBefore: 0.95}, ""},
		{"moved often", runcopy.Move{Leaving: true, Begun: runcopy.MaxMoves, Since: time.Minute}, ""},
		{"moved just now", runcopy.Move{Leaving: true, Begun: 1, Since: 299 * time.Millisecond}, ""},
		{"moved before", runcopy.Move{Leaving: true, Begun: 1, Since: runcopy.MoveInterval}, runcopy.Leaving},
		{"late here", runcopy.Move{Forecast: late}, runcopy.Late},
		{"late there too", runcopy.Move{Forecast: change(func(f *runcopy.Forecast) { f.EndsThere = 0.3 })}, ""},
		{"in time here", runcopy.Move{Forecast: change(func(f *runcopy.Forecast) { f.EndsHere = 0.6 })}, ""},
		{"too late to move", runcopy.Move{Forecast: change(func(f *runcopy.Forecast) { f.Left = time.Second })}, ""},
		{"not begun", runcopy.Move{Forecast: change(func(f *runcopy.Forecast) { f.Generated = 0 })}, ""},
	} {
		got, due := c.in.Due()
		assert.Equal(t, got, c.want, c.name)
		assert.Equal(t, due, c.want != "", c.name)
	}
	assert.Equal(t, runcopy.ServesFor(0), 2*time.Second)
	assert.Equal(t, runcopy.ServesFor(5*time.Second), time.Duration(0))
}

// TestBusyEngineHasNotStoppedRun guards against a complete stream that is continued at the copy: the engine answered that
// another call was in progress, the run ended by itself, and the next call found no run.
func TestBusyEngineHasNotStoppedRun(t *testing.T) {
	for _, c := range []struct {
		name   string
		events []runcopy.Event
		last   runcopy.Action
	}{
		{"run ends before the second call", []runcopy.Event{runcopy.MoveDue, runcopy.Copied, runcopy.InProgress, runcopy.StreamWhole, runcopy.NoRun}, runcopy.Complete},
		{"busy twice", []runcopy.Event{runcopy.MoveDue, runcopy.Copied, runcopy.InProgress, runcopy.StreamWhole, runcopy.InProgress}, runcopy.Complete},
		{"first response lost", []runcopy.Event{runcopy.MoveDue, runcopy.Copied, runcopy.NoResponse, runcopy.StreamWhole, runcopy.NoRun}, runcopy.ContinueAtCopy},
	} {
		t.Run(c.name, func(t *testing.T) {
			var r runcopy.Run
			var step runcopy.Step
			for _, e := range c.events {
				step = r.On(e)
			}
			assert.Equal(t, step.Do, c.last)
		})
	}
}
