package runcopy

import "time"

// Reason says why a run moves to another engine.
type Reason string

// Reasons for moves.
const (
	// Leaving: the engine leaves before the run is expected to end.
	Leaving Reason = "leaving"
	// Late: the run is not expected to end before its deadline here, but is at the destination.
	Late Reason = "late"
	// Lost: the connection to the engine has ended, and the run continues from its backup or a copy.
	Lost Reason = "lost"
)

const (
	// leavingServes is how long an engine serves at least after it has announced that it leaves; some streams last up
	// to 14 s.
	leavingServes = 3 * time.Second
	// leavingMargin is the part of it that has passed before the router learns of the announcement, or that the move
	// itself takes.
	leavingMargin = time.Second
	// leavingConfidence is the least probability of ending in time with which a run stays at an engine that leaves. A
	// move costs a copy over the link, a lost run costs its whole prefill or the answer.
	leavingConfidence = 0.9
	// MaxMoves bounds how often a move of one request is begun, MoveInterval is the shortest time between two of them: in
	// it runs end on several other engines, since one ends every 150 to 400 ms on an engine that is full.
	MaxMoves     = 4
	MoveInterval = 300 * time.Millisecond
	// MaxConcurrentMoves bounds the moves of one router at a time. Copies queue on the links: one of 3,000 tokens of
	// 128 KB takes 0.3 s at 10 Gbit/s, so more would not arrive before an engine has left.
	MaxConcurrentMoves = 8
)

// Forecast is the expected end of a run at its engine and at the best other one.
type Forecast struct {
	// Generated is the number of tokens generated so far.
	Generated int
	// EndsHere and EndsThere are the probabilities, in [0, 1], that the run ends before its deadline where it is, and
	// if it continues at the destination after a move.
	EndsHere, EndsThere float64
	// Left is the time until the deadline.
	Left time.Duration
}

const (
	// LateBelow is the probability of ending in time below which a run moves, lateGain the least increase that pays for
	// the copy and for the pause of the stream.
	LateBelow, lateGain = 0.5, 0.3
	// minLateLeft is the least time until the deadline in which a run still gains by a move, which takes some 0.5 s.
	minLateLeft = 2 * time.Second
)

// late reports whether the run moves because it would not end before its deadline.
func (f Forecast) late() bool {
	return f.Generated > 0 && f.Left >= minLateLeft && f.EndsHere < LateBelow && f.EndsThere-f.EndsHere >= lateGain
}

// ServesFor is how long an engine is expected to serve of which the router has known for some time that it leaves.
func ServesFor(known time.Duration) time.Duration {
	return max(leavingServes-leavingMargin-known, 0)
}

// Move describes a running stream that may move.
type Move struct {
	// Begun is the number of moves of the request that were begun, Since the time since the latest one.
	Begun int
	Since time.Duration
	// Leaving is set if the engine leaves; EndsBefore is the probability that the run ends within ServesFor.
	Leaving    bool
	EndsBefore float64
	// Forecast is the expected end of the run; the zero value if there is none.
	Forecast Forecast
}

// Due returns whether the run moves now, and why.
func (m Move) Due() (Reason, bool) {
	switch {
	case m.Begun >= MaxMoves || m.Begun > 0 && m.Since < MoveInterval:
		return "", false
	case m.Leaving && m.EndsBefore < leavingConfidence:
		return Leaving, true
	case m.Forecast.late():
		return Late, true
	default:
		return "", false
	}
}
