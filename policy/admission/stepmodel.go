package admission

import "time"

const (
	// tbtHeadroom is the fraction of the target for the time between tokens that a step may take.
	tbtHeadroom = 0.9
	// stepGain is the weight of a new measurement in the moving average of the scale.
	stepGain = 0.05
	minScale = 0.1
	maxScale = 10
	// maxOutlier bounds one measurement, relative to the nominal step time: a stalled stream is
	// not a slow step.
	maxOutlier = 4
)

// stepModel models the time of one decode step: base + perRun × batch size, scaled to fit the
// measured times.
type stepModel struct {
	base, perRun time.Duration
	scale        float64
}

// stepTime returns the time of a step with a batch of n runs.
func (s *stepModel) stepTime(n int) time.Duration {
	return time.Duration(s.scale * float64(s.base+time.Duration(n)*s.perRun))
}

// observe updates the scale with the measured time of a step with a batch of n runs.
func (s *stepModel) observe(n int, took time.Duration) {
	model := s.base + time.Duration(n)*s.perRun
	if model <= 0 || took <= 0 {
		return
	}
	s.scale += stepGain * (min(float64(took)/float64(model), maxOutlier) - s.scale)
	s.scale = min(max(s.scale, minScale), maxScale)
}

// maxBatch returns the largest batch, up to slots, that meets a target for the time between
// tokens; 0 when even a batch of one does not.
func (s *stepModel) maxBatch(tbt time.Duration, slots int) int {
	if tbt == 0 || s.perRun == 0 && s.stepTime(1) <= tbt {
		return slots
	}
	if s.perRun == 0 {
		return 0
	}
	budget := float64(tbt)*tbtHeadroom/s.scale - float64(s.base)
	return min(max(int(budget/float64(s.perRun)), 0), slots)
}
