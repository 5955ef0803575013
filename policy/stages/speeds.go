package stages

import "math"

// RelativeTimes combines the times per token of engines, in seconds by ID, learned where they prefill and where they
// decode. Each is divided by the fastest of its kind, so that engines of both kinds can be compared. It returns nil
// unless engines differ by minRatio or more, so that the speed counts in no move.
func RelativeTimes(prefill, decode map[string]float64, minRatio float64) map[string]float64 {
	out := make(map[string]float64, len(prefill)+len(decode))
	slowest := 1.0
	for _, times := range []map[string]float64{prefill, decode} {
		fastest := math.Inf(1)
		for _, t := range times {
			fastest = min(fastest, t)
		}
		for id, t := range times {
			out[id] = t / fastest
			slowest = max(slowest, out[id])
		}
	}
	if slowest < minRatio {
		return nil
	}
	return out
}
