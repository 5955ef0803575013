package admission

import "math"

// DefaultMaxTokens bounds the output length of a request that sets no bound.
const DefaultMaxTokens = 1024

const (
	// lengthBuckets is the number of buckets of the histogram: four for each octave, up to 2^16
	// tokens.
	lengthBuckets    = 64
	bucketsPerOctave = 4
	// lengthDecay is the factor by which each new run reduces the weight of the earlier ones.
	lengthDecay = 0.98
	// minObservations is how many runs must have completed before predictions use their lengths.
	minObservations = 4
	// maxClasses bounds the memory use; further classes share one distribution.
	maxClasses = 1024
)

// classKey identifies a class of one customer.
type classKey struct {
	customer, class string
}

// lengthDistribution is the distribution of the output lengths of one class, as a histogram with
// exponentially decaying weights: newer runs count for more.
type lengthDistribution struct {
	observations int
	// tail[b] is the weight of runs at least as long as the lower bound of bucket b.
	tail [lengthBuckets + 1]float64
	mean float64
}

// observe adds a completed run.
func (l *lengthDistribution) observe(tokens int) {
	if l.observations == 0 {
		l.mean = float64(tokens)
	}
	l.observations++
	l.mean += max(1-lengthDecay, 1/float64(l.observations)) * (float64(tokens) - l.mean)
	b := bucket(float64(tokens))
	for i := range l.tail {
		l.tail[i] *= lengthDecay
		if i <= b {
			l.tail[i]++
		}
	}
}

// expected returns the expected length of a new run.
func (l *lengthDistribution) expected(maxTokens int) int {
	if l == nil || l.observations < minObservations {
		return maxTokens
	}
	return min(maxTokens, int(math.Ceil(l.mean)))
}

// completesWithin returns the probability that a run which has generated done tokens completes
// within the next more tokens. A run that is longer than nearly all observed ones is expected to
// reach maxTokens.
func (l *lengthDistribution) completesWithin(done, more float64, maxTokens int) float64 {
	if done+more >= float64(maxTokens) {
		return 1
	}
	if l == nil || l.observations < minObservations {
		return 0
	}
	current := l.weightAbove(done)
	if current < 0.5 {
		return 0
	}
	return 1 - l.weightAbove(done+more)/current
}

// weightAbove returns the weight of runs longer than tokens.
func (l *lengthDistribution) weightAbove(tokens float64) float64 {
	b := bucket(tokens)
	low, high := bucketBounds[b], bucketBounds[b+1]
	fraction := min(max((high-tokens)/(high-low), 0), 1)
	return l.tail[b+1] + fraction*(l.tail[b]-l.tail[b+1])
}

func bucket(tokens float64) int {
	return min(max(int(bucketsPerOctave*math.Log2(max(tokens, 1))), 0), lengthBuckets-1)
}

// bucketBounds are the lower bounds of the buckets.
var bucketBounds = func() (b [lengthBuckets + 1]float64) {
	for i := range b {
		b[i] = math.Exp2(float64(i) / bucketsPerOctave)
	}
	return b
}()
