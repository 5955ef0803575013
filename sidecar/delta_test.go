package sidecar

import (
	"io"
	"testing"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/dissemination"
	"github.com/hibiscusspur/hibiscusspur/engine"
	"github.com/hibiscusspur/hibiscusspur/metrics"
)

// TestOwnRecordAbsentFromAFullDelta checks that a server whose own record is missing
// from a full configuration takes no new work, as if its removal had been reported.
func TestOwnRecordAbsentFromAFullDelta(t *testing.T) {
	set := DefaultSettings()
	set.ID = "vm-1"
	l := &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
	s := NewServer(set, nil, engine.Info{}, "i", l, metrics.NewSet())
	defer s.Close()
	own := dissemination.Record{Key: dissemination.BackendPrefix + "vm-1", Revision: 2, Value: []byte("id: vm-1")}
	assert.NilError(t, s.Configure(dissemination.Delta{Head: 2, Records: []dissemination.Record{own}}))
	assert.Assert(t, !s.leaving.Leaving())
	assert.NilError(t, s.Configure(dissemination.Delta{From: 8, Head: 9, Full: true}))
	assert.Assert(t, s.leaving.Leaving())
}
