package runcopy

// Event is something that happened to a run or to a call that copies it.
type Event uint8

// Events of one run.
const (
	// MoveDue: the run is to move to another engine.
	MoveDue Event = iota
	// Copied: the engine has copied the run.
	Copied
	// Refused: the destination has no memory or can't be reached.
	Refused
	// NoRun: the engine does not run the request.
	NoRun
	// InProgress: another call that copies the run is in progress.
	InProgress
	// NoResponse: a call was sent and its response was lost.
	NoResponse
	// NotSent: a call was not sent.
	NotSent
	// StreamWhole: the stream ended as one ends that is complete. A run that was stopped may end like this too.
	StreamWhole
	// StreamBroken: the stream ended, and is not complete.
	StreamBroken
	// Accepted: the engine that was sent the request to continue the run may have started it.
	Accepted
	// NotRun: that engine proved that it did not start it, or was not sent the request, also for lack of retry budget.
	NotRun
	// Abandoned: the client left, the deadline passed, or the key was revoked.
	Abandoned
)

// Action is what the router does next about a run.
type Action uint8

// Actions.
const (
	// Nothing: the run, or the call in progress, goes on.
	Nothing Action = iota
	// CopyRun copies the run to the destination while it goes on.
	CopyRun
	// StopRun stops the run and copies the rest.
	StopRun
	// AskAgain repeats the call that stops the run.
	AskAgain
	// Wait waits for the response of the call that stops the run, which decides what the end of the stream means.
	Wait
	// ContinueAtCopy, ContinueAtSource and ContinueAtBackup send the request to the destination of the move, to the
	// engine that stopped the run, or to the engine that backs it up.
	ContinueAtCopy
	ContinueAtSource
	ContinueAtBackup
	// EndRun stops the run at its engine, which may go on with it although its connection has ended.
	EndRun
	// Complete ends the request: the stream is complete.
	Complete
	// ApplyRoute treats the run as lost, by the rules of its route.
	ApplyRoute
)

// Step is an action, and whether the handle of a move is freed.
type Step struct {
	Do   Action
	Free bool
}

// State is the state of one run.
type State uint8

// States of a run.
const (
	Running State = iota
	// Copying: a call copies the run, which goes on.
	Copying
	// Stopping: a call that stops the run was sent.
	Stopping
	// Ending: the connection to the engine has ended, and the engine is asked to stop the run.
	Ending
	// Continuing: the request is sent to an engine to continue the run.
	Continuing
	Done
)

// streamEnd says how the stream of a run that is being stopped has ended.
type streamEnd uint8

const (
	streamOpen streamEnd = iota
	streamWhole
	streamBroken
)

// maxStopCalls bounds how often an engine is asked to stop a run: once more after a lost response.
const maxStopCalls = 2

// Run is the state of one run and its copies. The zero value is a run without a backup. A call that copies the run must
// have ended, with its event, before Accepted. It is not safe for concurrent use.
type Run struct {
	state State
	// backup is set while another engine backs the run up.
	backup bool
	// handle is set while the handle of a move is neither used nor freed, copied while the destination has a copy under
	// it, and stopped once the source has stopped the run and keeps its memory under it.
	handle, copied, stopped bool
	// stopCalls counts the calls that stop the run, unanswered is set once the response to one of them was lost, and
	// unknown once none will say whether the run was stopped.
	stopCalls           int
	unanswered, unknown bool
	// busy is set if the engine answered the latest of them that another call is in progress.
	busy  bool
	ended streamEnd
	// cancelled is set while the event of a call is due that was in progress when the stream broke.
	cancelled bool
	// target is where the run is being continued, continuations how often it was.
	target        Action
	continuations int
}

// State returns the state of the run.
func (r *Run) State() State { return r.state }

// Stopped reports whether the engine has stopped the run for a move.
func (r *Run) Stopped() bool { return r.stopped }

// SetBackup records whether another engine backs the run up.
func (r *Run) SetBackup(backup bool) { r.backup = backup }

// On applies an event and returns what to do next.
func (r *Run) On(e Event) Step {
	if e == Abandoned {
		return r.end(ApplyRoute)
	}
	switch r.state {
	case Running:
		return r.onRunning(e)
	case Copying:
		return r.onCopying(e)
	case Stopping:
		return r.onStopping(e)
	case Ending:
		return r.onEnding(e)
	case Continuing:
		return r.onContinuing(e)
	default:
		return Step{Free: e == Copied || e == Refused}
	}
}

func (r *Run) onRunning(e Event) Step {
	switch e {
	case MoveDue:
		r.state = Copying
		return Step{Do: CopyRun}
	case StreamWhole:
		return r.end(Complete)
	case StreamBroken:
		return r.lost()
	default:
		return Step{}
	}
}

func (r *Run) onCopying(e Event) Step {
	switch e {
	case Copied:
		r.state, r.handle, r.copied = Stopping, true, true
		r.stopCalls, r.unanswered, r.unknown, r.busy, r.ended = 1, false, false, false, streamOpen
		return Step{Do: StopRun}
	case StreamWhole:
		return r.end(Complete)
	case StreamBroken:
		step := r.lost()
		r.cancelled = r.state == Ending
		return step
	default:
		r.state = Running
		return Step{}
	}
}

func (r *Run) onStopping(e Event) Step {
	switch e {
	case StreamWhole, StreamBroken:
		r.ended = streamBroken
		if e == StreamWhole {
			r.ended = streamWhole
		}
		if !r.stopped && !r.unknown {
			return Step{Do: Wait}
		}
		return r.afterEnd()
	case Copied, Refused:
		r.stopped, r.copied, r.handle = true, e == Copied, true
		return r.afterEnd()
	case NoRun, NotSent:
		if !r.unanswered {
			return r.notStopped()
		}
		r.unknown = true
		return r.afterEnd()
	default:
		// An engine that answers that another call is in progress has not stopped the run for this one.
		r.unanswered = r.unanswered || e == NoResponse
		if r.stopCalls < maxStopCalls {
			r.stopCalls++
			return Step{Do: AskAgain}
		}
		if !r.unanswered {
			return r.notStopped()
		}
		r.unknown, r.busy = true, e == InProgress
		return r.afterEnd()
	}
}

// notStopped handles that no call stopped the run: how its stream ends counts as for any other run.
func (r *Run) notStopped() Step {
	r.state = Running
	switch r.ended {
	case streamWhole:
		return r.end(Complete)
	case streamBroken:
		return r.lost()
	default:
		free := r.handle
		r.handle, r.copied = false, false
		return Step{Free: free}
	}
}

// afterEnd continues a run that was stopped, or may have been, once its stream has ended. A stream that may have been
// stopped does not count as complete; its engine has been asked often enough.
func (r *Run) afterEnd() Step {
	switch {
	case r.ended == streamOpen:
		return Step{}
	case r.stopped:
		return r.continueAt(r.nextAfterStop())
	case r.busy:
		return r.lost()
	default:
		return r.continueAt(r.nextAfterLoss())
	}
}

func (r *Run) nextAfterStop() Action {
	switch {
	case r.copied:
		return ContinueAtCopy
	case r.stopped:
		return ContinueAtSource
	case r.backup:
		return ContinueAtBackup
	default:
		return ApplyRoute
	}
}

// lost ends a run whose stream is broken at its engine, before it continues from a copy.
func (r *Run) lost() Step {
	if r.nextAfterLoss() == ApplyRoute {
		return r.end(ApplyRoute)
	}
	r.state = Ending
	return Step{Do: EndRun}
}

// nextAfterLoss is where a run continues whose engine does not execute it any more. The backup has more of the run than
// the copy of a move.
func (r *Run) nextAfterLoss() Action {
	switch {
	case r.backup:
		return ContinueAtBackup
	case r.copied:
		return ContinueAtCopy
	case r.stopped:
		return ContinueAtSource
	default:
		return ApplyRoute
	}
}

// onEnding continues a run that its engine has stopped or does not execute. An engine that can't be reached, or does not
// respond, is not waited for: backups expire.
func (r *Run) onEnding(e Event) Step {
	if r.cancelled {
		r.cancelled = false
		if e == Copied {
			r.handle, r.copied = true, true
		}
		return Step{}
	}
	switch e {
	case InProgress:
		return Step{Do: EndRun}
	case Copied:
		r.handle, r.stopped = true, true
		if r.copied {
			return r.continueAt(ContinueAtCopy)
		}
	case Refused:
		r.handle, r.stopped, r.copied = true, true, false
	}
	return r.continueAt(r.nextAfterLoss())
}

func (r *Run) continueAt(target Action) Step {
	if target == ApplyRoute || r.continuations >= MaxContinuations {
		return r.end(ApplyRoute)
	}
	r.continuations++
	r.state, r.target = Continuing, target
	return Step{Do: target}
}

func (r *Run) onContinuing(e Event) Step {
	switch e {
	case Accepted:
		free := r.handle && r.target == ContinueAtBackup
		*r = Run{continuations: r.continuations}
		return Step{Free: free}
	case NotRun:
		switch r.target {
		case ContinueAtCopy:
			r.copied = false
		case ContinueAtSource:
			r.stopped = false
		default:
			r.backup = false
		}
		return r.continueAt(r.nextAfterStop())
	case Copied:
		// The response to a call of the engine that was lost meanwhile.
		return Step{Free: !r.handle}
	default:
		return Step{}
	}
}

func (r *Run) end(do Action) Step {
	free := r.handle
	*r = Run{state: Done, continuations: r.continuations}
	return Step{Do: do, Free: free}
}
