// Package bounded converts numbers that come from outside the process, and what is computed from them. Go leaves open
// what a conversion of a floating-point number that doesn't fit yields: x86-64 and arm64 differ.
package bounded

import (
	"math"
	"time"
)

const (
	// MaxDuration is the longest duration, of either sign, that a conversion yields: a few of them add up, and small
	// multiples fit, without an overflow.
	MaxDuration = 365 * 24 * time.Hour
	// MaxCount bounds numbers of tokens, slots and the like: sums of several fit, and products of two such sums.
	MaxCount = 1 << 30
	// MaxBytes bounds numbers of bytes and other amounts.
	MaxBytes = 1 << 50
)

// number is a number as it is read from a message.
type number interface {
	~int | ~int64 | ~uint32 | ~uint64 | ~float64
}

// Seconds converts a number of seconds, to the nearest duration within MaxDuration. What is no number is zero.
func Seconds[N number](n N) time.Duration { return duration(float64(n), time.Second) }

// Millis converts a number of milliseconds as Seconds does.
func Millis[N number](n N) time.Duration { return duration(float64(n), time.Millisecond) }

func duration(n float64, unit time.Duration) time.Duration {
	return time.Duration(clamp(n*float64(unit), float64(MaxDuration)))
}

// Count returns the nearest whole number from zero to MaxCount.
func Count[N number](n N) int { return int(clamp(max(float64(n), 0), MaxCount)) }

// Bytes returns the nearest number of bytes from -MaxBytes to MaxBytes.
func Bytes[N number](n N) int64 { return int64(clamp(float64(n), MaxBytes)) }

// Amount returns the nearest number from zero to MaxBytes; zero if n is infinite, which nothing can amount to.
func Amount(n float64) float64 {
	if math.IsInf(n, 0) {
		return 0
	}
	return max(Balance(n), 0)
}

// Balance returns the nearest number from -MaxBytes to MaxBytes.
func Balance(n float64) float64 { return clamp(n, MaxBytes) }

// clamp returns the number nearest to n from -bound to bound; zero if n is no number.
func clamp(n, bound float64) float64 {
	if math.IsNaN(n) {
		return 0
	}
	return min(max(n, -bound), bound)
}
