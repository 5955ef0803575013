package exclusion

import (
	"math"
	"time"
)

// outcomes are the exponentially decayed numbers of requests of this router, from which the failure rate of engines that
// work is estimated: a failure counts once a later request has succeeded at the same engine.
type outcomes struct {
	ok, failed float64
	at         time.Time
}

const (
	// falseAlarmRate is the highest probability that as many requests in a row fail at an engine that works.
	falseAlarmRate = 1e-3
	// minEvidence is the number of failures that are needed at any failure rate.
	minEvidence = 2.0
	// outcomesHalfLife is the age at which an outcome counts half: a router that sends one request a second knows its
	// failure rate from about ninety.
	outcomesHalfLife = time.Minute
	// priorRate is the assumed failure rate, priorWeight its weight in requests.
	priorRate, priorWeight = 0.02, 20.0
)

func (o *outcomes) decay(now time.Time) {
	f := math.Exp2(-now.Sub(o.at).Seconds() / outcomesHalfLife.Seconds())
	o.ok, o.failed, o.at = o.ok*f, o.failed*f, now
}

func (o *outcomes) add(ok, failed float64, now time.Time) {
	o.decay(now)
	o.ok += ok
	o.failed += failed
}

// requiredFailures is how many failures in a row exclude an engine.
func (o *outcomes) requiredFailures(now time.Time) float64 {
	o.decay(now)
	rate := (o.failed + priorRate*priorWeight) / (o.ok + o.failed + priorWeight)
	return max(math.Log(falseAlarmRate)/math.Log(rate), minEvidence)
}
