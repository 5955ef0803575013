package drain

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var epoch = time.Unix(1_000_000, 0)

// step makes one report to a Tracker.
type step func(t *Tracker, now time.Time)

func record(revision uint64, retired bool) step {
	return func(t *Tracker, now time.Time) { t.Retired(now, revision, retired) }
}

func list(reader string, leaving bool) step {
	return func(t *Tracker, now time.Time) { t.Listed(now, reader, leaving) }
}

func signal(t *Tracker, now time.Time) { t.Signalled(now) }

func TestLeaving(t *testing.T) {
	live, leaving, unreadable := list("a", false), list("a", true), list("b", false)
	cases := []struct {
		name  string
		steps []step // one per second
		want  Sources
	}{
		{"nothing known", nil, 0},
		{"record undone", []step{record(5, true), record(6, false)}, 0},
		{"late older record", []step{record(5, true), record(4, false)}, Record},
		{"list taken back", []step{leaving, live}, 0},
		{"list flaps", []step{leaving, live, leaving}, List},
		{"reader that cannot read the list", []step{leaving, unreadable, unreadable}, List},
		{"reader gone", []step{leaving, unreadable, unreadable, unreadable, unreadable}, 0},
		{"signal is final", []step{signal, record(9, false), live}, Signal},
		{"all", []step{leaving, record(2, true), signal}, Record | List | Signal},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tr := New(3 * time.Second)
			for i, s := range c.steps {
				s(tr, epoch.Add(time.Duration(i)*time.Second))
			}
			assert.Equal(t, tr.Reported(), c.want)
			assert.Equal(t, tr.Leaving(), c.want != 0)
			assert.Equal(t, tr.Drained(0), c.want != 0)
		})
	}
}

func TestOverrun(t *testing.T) {
	tr := New(time.Second)
	tr.Accepted(epoch)
	tr.Retired(epoch.Add(time.Second), 1, true)
	assert.Equal(t, tr.Overrun(), time.Duration(0))
	tr.Accepted(epoch.Add(3 * time.Second))
	assert.Equal(t, tr.Overrun(), 2*time.Second)
}
