package forward

import (
	"github.com/hibiscusspur/hibiscusspur/event"
	"github.com/hibiscusspur/hibiscusspur/metrics"
	"github.com/hibiscusspur/hibiscusspur/outcome"
)

// wasteCause is why the prefill of a prompt was wasted.
type wasteCause uint8

const (
	// wasteDeadline and wasteDisconnected: the request ended before its first event, or between two.
	wasteDeadline wasteCause = iota
	wasteDisconnected
	// wasteEngineLost: the decode engine was lost, or failed the run.
	wasteEngineLost
	// wasteNoMemory: the decode engine did not take the prompt over: no memory, or its KV cache could not be fetched.
	wasteNoMemory
	// wasteOtherAttempt: the run was not sent, for another reason, and another attempt did not use the prompt.
	wasteOtherAttempt
	wasteCauses
)

var wasteCauseNames = [wasteCauses]string{"deadline", "client_disconnected", "engine_lost", "no_memory", "another_attempt"}

// String returns the name of c, as used in metrics and logs.
func (c wasteCause) String() string { return wasteCauseNames[c] }

// wasteCauseOf returns the cause for an attempt that ended for a reason.
func wasteCauseOf(r outcome.Reason) wasteCause {
	switch r {
	case outcome.DeadlineExceeded:
		return wasteDeadline
	case outcome.CallerGone:
		return wasteDisconnected
	case outcome.EngineLost, outcome.EngineError, outcome.AnswerIncomplete:
		return wasteEngineLost
	case outcome.NoDecodeSlot, outcome.KVLost, outcome.ReservationLapsed:
		return wasteNoMemory
	default:
		return wasteOtherAttempt
	}
}

// prefillLedger counts the prompt tokens that were prefilled for a request in vain: of prefills whose result was not used
// to deliver an event, and of all after the first one that was. Prefills without a result are not counted, since how much
// of them was done is unknown.
type prefillLedger struct {
	// open is the tokens of a prefill of which it is not known yet whether it will be used.
	open int
	// delivered is set once an event was delivered; lost is why the attempt that last delivered one ended.
	delivered bool
	lost      wasteCause
	wasted    [wasteCauses]int
}

// prefilled records that tokens of the prompt were prefilled.
func (l *prefillLedger) prefilled(tokens int) {
	l.discard(wasteOtherAttempt)
	if l.delivered {
		l.wasted[l.lost] += tokens
		return
	}
	l.open = tokens
}

// discard records that the last prefill will not be used.
func (l *prefillLedger) discard(c wasteCause) {
	l.wasted[c] += l.open
	l.open = 0
}

// attemptEnded records the end of an attempt. delivered is set if it has delivered an event, kept if its prefill is left
// for the next attempt.
func (l *prefillLedger) attemptEnded(reason outcome.Reason, delivered, kept bool) {
	if delivered {
		l.open, l.delivered, l.lost = 0, true, wasteCauseOf(reason)
	}
	if !kept {
		l.discard(wasteCauseOf(reason))
	}
}

// total returns the wasted tokens and the names of their causes.
func (l *prefillLedger) total() (tokens int, causes []string) {
	for c, n := range l.wasted {
		if n > 0 {
			tokens += n
			causes = append(causes, wasteCause(c).String())
		}
	}
	return tokens, causes
}

// recordWaste counts the wasted prefill of a request that has ended for a reason, and adds it to its log line.
func (f *Forwarder) recordWaste(j *job, e event.Line, reason outcome.Reason) event.Line {
	j.prefills.discard(wasteCauseOf(reason))
	for c, n := range j.prefills.wasted {
		if n > 0 {
			f.Metrics.Counter(metrics.WastedPrefillPrefix + wasteCause(c).String()).Inc(int64(n))
		}
	}
	tokens, causes := j.prefills.total()
	if tokens == 0 {
		return e
	}
	return e.Int("wasted", tokens).Strs("wasted_by", causes)
}
