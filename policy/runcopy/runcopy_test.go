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

// Silence is detected before the copy expires, but not within the usual intervals of a slow engine.
func TestSilenceLimit(t *testing.T) {
	ttl := 500 * time.Millisecond
	assert.Equal(t, runcopy.SilenceLimit(ttl, 100*time.Millisecond), 300*time.Millisecond)
	assert.Equal(t, runcopy.SilenceLimit(ttl, 200*time.Millisecond), 400*time.Millisecond)
	assert.Equal(t, runcopy.SilenceLimit(time.Minute, 0), 1500*time.Millisecond)
}
