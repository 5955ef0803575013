package engine

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"github.com/hibiscusspur/hibiscusspur/engine"
)

const gigabyte = 1e9

func importReq(id string) engine.DecodeRequest {
	r := decodeReq(id, 10)
	r.Handle, r.Source = "h-"+id, "peer"
	return r
}

// newDecodeSim returns a decode engine with a link of a gigabyte per second.
func newDecodeSim() sim {
	return newSim(func(c *Config) { c.Role = engine.RoleDecode; c.LinkRate = gigabyte })
}

func (s sim) beginImport(t *testing.T, id string, bytes int64, ttl time.Duration) {
	t.Helper()
	s.mustDecode(t, importReq(id))
	s.Claimed(id, ClaimReply{Bytes: bytes, TTL: ttl, Computed: 7}, nil)
}

// confirmTransfers confirms the completed transfers and returns their run ids.
func (s sim) confirmTransfers() []string {
	out := []string{}
	for _, a := range s.takeActions() {
		if a.kind == actionComplete {
			out = append(out, a.runID)
			s.Confirmed(a.runID, nil)
		}
	}
	return out
}

func TestImportsShareTheLink(t *testing.T) {
	s := newDecodeSim()
	s.beginImport(t, "a", gigabyte/10, time.Minute)
	s.advanceTo(50 * time.Millisecond)
	s.beginImport(t, "b", gigabyte/10, time.Minute)
	s.advanceTo(149 * time.Millisecond)
	assert.DeepEqual(t, s.confirmTransfers(), []string{})
	s.advanceTo(151 * time.Millisecond)
	assert.DeepEqual(t, s.confirmTransfers(), []string{"a"})
	s.advanceTo(199 * time.Millisecond)
	assert.DeepEqual(t, s.confirmTransfers(), []string{})
	s.advanceTo(201 * time.Millisecond)
	assert.DeepEqual(t, s.confirmTransfers(), []string{"b"})
	s.advanceTo(time.Second)
	assert.Equal(t, s.counters.Completed, 2)
}

func TestImportFaults(t *testing.T) {
	for _, tc := range []struct {
		name string
		do   func(s sim)
		want error
	}{
		{"rejected by the source engine", func(s sim) { s.Claimed("a", ClaimReply{}, engine.ErrNotFound) }, engine.ErrNotFound},
		{"evicted during the transfer", func(s sim) {
			s.Claimed("a", ClaimReply{Bytes: gigabyte, TTL: 800 * time.Millisecond}, nil)
		}, engine.ErrNotFound},
		{"stalled link", func(s sim) {
			s.SetFactors(1, 0)
			s.Claimed("a", ClaimReply{Bytes: 1000, TTL: 800 * time.Millisecond}, nil)
		}, engine.ErrNotFound},
		{"evicted before the confirmation", func(s sim) {
			s.Claimed("a", ClaimReply{Bytes: 1000, TTL: time.Second}, nil)
			s.advanceTo(time.Millisecond)
			s.Confirmed("a", engine.ErrNotFound)
		}, engine.ErrNotFound},
		{"cancelled", func(s sim) {
			s.Claimed("a", ClaimReply{Bytes: 1000, TTL: time.Second}, nil)
			s.Cancel("a")
		}, engine.ErrNotFound},
		{"cancelled before the claim was answered", func(s sim) {
			s.Cancel("a")
			s.Claimed("a", ClaimReply{Bytes: 1000, TTL: time.Second}, nil)
		}, engine.ErrNotFound},
	} {
		s := newDecodeSim()
		s.mustDecode(t, importReq("a"))
		r := s.runs["a"]
		tc.do(s)
		s.advanceTo(time.Second)
		assert.Assert(t, r.ended(), tc.name)
		assert.ErrorIs(t, r.err, tc.want, tc.name)
		assert.Equal(t, s.slotsUsed, 0, tc.name)
		assert.Assert(t, cmp.Len(s.imports, 0), tc.name)
		assert.Equal(t, s.counters.Begun, 0, tc.name)
	}
}

func TestRejectedClaimFreesTheRunID(t *testing.T) {
	s := newDecodeSim()
	s.mustDecode(t, importReq("a"))
	s.Claimed("a", ClaimReply{}, engine.ErrNotFound)
	s.mustDecode(t, importReq("a"))
	assert.Equal(t, s.accepted["a"], 1)
}

func TestClaimChecksThePrompt(t *testing.T) {
	s := newSim(func(c *Config) { c.Role = engine.RolePrefill })
	j := s.mustPrefill(t, "p", "prompt so far", 0)
	s.runUntilIdle()
	h := j.kv.Handle
	for _, tc := range []struct {
		name  string
		claim Claim
		want  error
	}{
		{"same prompt", Claim{h, []uint64{textHash(model, "prompt so far")}}, nil},
		{"with prior output", Claim{h, []uint64{textHash(model, "prompt"), textHash(model, "prompt so far")}}, nil},
		{"another prompt", Claim{h, []uint64{textHash(model, "other")}}, engine.ErrInvalid},
		{"another model", Claim{h, []uint64{textHash("other", "prompt so far")}}, engine.ErrInvalid},
		{"unknown handle", Claim{"no", nil}, engine.ErrNotFound},
	} {
		_, err := s.Claim(tc.claim)
		assert.Assert(t, cmp.ErrorIs(err, tc.want), tc.name)
	}
	s.advanceTo(time.Hour)
	_, err := s.Claim(Claim{h, []uint64{textHash(model, "prompt so far")}})
	assert.ErrorIs(t, err, engine.ErrNotFound)
}
