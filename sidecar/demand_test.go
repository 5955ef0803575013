package sidecar

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/policy/limit"
	"github.com/hibiscusspur/hibiscusspur/wire"
)

func TestDemandIsReported(t *testing.T) {
	s := &Server{demand: limit.NewMeter(), runs: map[wire.Key]*run{}}
	mine := &session{entry: &wire.Hello{Incarnation: "mine"}}
	near := &wire.Terms{Customer: "near", WeightMilli: 5000, TellRateMilli: 400, TellRunning: 2}
	for _, terms := range []*wire.Terms{near, {Customer: "near"}, {Customer: "far", WeightMilli: 1000, TellRateMilli: 1000}, {Customer: "busy", WeightMilli: 1000, TellRunning: 2}} {
		s.recordDemand(terms)
	}
	for i, r := range []*run{
		{owner: "mine", phase: phaseRunning}, {owner: "other", phase: phaseRunning},
		{owner: "other", phase: phaseReserved}, {owner: "other", phase: phaseEnded},
	} {
		r.terms = &wire.Terms{Customer: "busy"}
		s.runs[wire.Key{Attempt: uint32(i)}] = r
	}
	f, now := &wire.SidecarFrame{}, time.Now()
	s.addDemand(mine, f, now)
	assert.Equal(t, len(f.Demands), 2)
	for _, d := range f.Demands {
		switch d.GetCustomer() {
		case "near":
			assert.Assert(t, d.GetRateMilli() > 400 && d.GetRateMilli() <= 500, "five requests over ten seconds")
			assert.Equal(t, d.GetRunning(), uint32(0))
		case "busy":
			assert.Equal(t, d.GetRunning(), uint32(2), "only requests in progress from other entries")
		default:
			t.Error("customer is not near a limit:", d.GetCustomer())
		}
	}
	again := &wire.SidecarFrame{}
	s.addDemand(mine, again, now.Add(minDemandInterval-1))
	assert.Equal(t, len(again.Demands), 0, "at most once per interval")
}
