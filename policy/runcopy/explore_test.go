package runcopy_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/policy/runcopy"
)

// events is the number of events of a whole stream, moves how often the run may move.
const (
	events = 2
	moves  = 2
)

// condition is the condition of the engine that was sent the run.
type condition uint8

const (
	running condition = iota
	// stopped: it keeps the memory of the run under the handle.
	stopped
	finished
	crashed
	// closed: the router closed the connection, and the engine has ended the run.
	closed
)

// callState is the state of the call that copies the run.
type callState uint8

const (
	noCall callState = iota
	sent
	answered
)

// world is the state of a run in the router, and of everything around it.
type world struct {
	run runcopy.Run
	// do is the latest action of the state machine.
	do runcopy.Action

	engine               condition
	generated, delivered int
	open                 bool
	moves                int
	call                 callState
	last                 bool
	answer               runcopy.Event
	// handle is set while engines hold a copy under a handle, known once the router has received the handle, and copied
	// while the destination can continue from it.
	handle, known, copied bool
	destination, backup   bool
	// outlives is set if engines go on with a run whose connection has ended, unreached if the latest call that stops the
	// run did not reach its engine, or its response was lost.
	outlives, unreached bool
	// endDue is set while the call that ends the run waits for the end of a call in progress.
	endDue bool
	done   bool
}

// on applies an event to the state machine and does what it says.
func (w world) on(e runcopy.Event) world {
	step := w.run.On(e)
	if step.Free && w.known {
		w.handle, w.known, w.copied = false, false, false
	}
	w.do = step.Do
	switch step.Do {
	case runcopy.CopyRun, runcopy.StopRun, runcopy.AskAgain:
		w.call, w.last = sent, step.Do != runcopy.CopyRun
	case runcopy.EndRun:
		w.endDue = true
	}
	if w.endDue && w.call == noCall {
		w.call, w.last, w.endDue = sent, true, false
	}
	w.done = w.run.State() == runcopy.Done
	return w
}

// end ends the stream, after which the connection to the engine is closed.
func (w world) end(e runcopy.Event) world {
	w.open = false
	if w.engine == running && !w.outlives {
		w.engine = closed
	}
	return w.on(e)
}

// abandoned is the state after the client has left.
func (w world) abandoned() world { return w.end(runcopy.Abandoned) }

// next returns all states that may follow while the client waits.
func (w world) next(t *testing.T) (out []world) {
	add := func(change func(*world)) {
		n := w
		change(&n)
		out = append(out, n)
	}
	w.engines(add)
	w.calls(add)
	if w.done {
		return out
	}
	if w.open {
		w.stream(add)
	}
	if w.run.State() == runcopy.Running && w.call == noCall && w.moves < moves && w.open {
		add(func(n *world) { n.moves++; *n = n.on(runcopy.MoveDue) })
	}
	if w.run.State() == runcopy.Continuing && w.call == noCall {
		assert.Assert(t, !w.open, "the earlier connection is open: %+v", w)
		assert.Assert(t, w.engine != running || w.unreached, "the run continues elsewhere while its engine executes it: %+v", w)
		w.continuations(add)
	}
	return out
}

// engines adds what engines do by themselves.
func (w world) engines(add func(func(*world))) {
	if w.engine == running && w.generated < events {
		add(func(n *world) { n.generated++ })
	}
	if w.engine == running && w.generated == events {
		add(func(n *world) { n.engine = finished })
	}
	if w.engine == running || w.engine == stopped {
		add(func(n *world) { n.engine, n.handle = crashed, n.copied })
	}
	if w.destination {
		add(func(n *world) { n.destination, n.copied, n.handle = false, false, n.engine == stopped && n.handle })
	}
	if w.backup {
		add(func(n *world) { n.backup = false })
	}
}

// stream adds what may arrive over the connection.
func (w world) stream(add func(func(*world))) {
	if w.delivered < w.generated {
		add(func(n *world) { n.delivered++ })
	}
	whole := w.delivered == w.generated
	if w.engine == finished && whole || w.engine == stopped && whole {
		add(func(n *world) { *n = n.end(runcopy.StreamWhole) })
	}
	add(func(n *world) { *n = n.end(runcopy.StreamBroken) })
}

// calls adds what may happen to the call in progress.
func (w world) calls(add func(func(*world))) {
	answer := func(n *world, e runcopy.Event) {
		n.call, n.answer = answered, e
		n.unreached = n.last && e == runcopy.NotSent
	}
	switch w.call {
	case sent:
		add(func(n *world) { answer(n, runcopy.NotSent) })
		add(func(n *world) { answer(n, runcopy.InProgress) })
		switch {
		case w.engine == crashed:
			add(func(n *world) { answer(n, runcopy.NoResponse) })
		case w.engine == running || w.engine == stopped:
			add(func(n *world) { n.serve(false); answer(n, runcopy.Refused) })
			if w.destination {
				add(func(n *world) { n.serve(true); answer(n, runcopy.Copied) })
			}
		default:
			add(func(n *world) { answer(n, runcopy.NoRun) })
		}
	case answered:
		add(func(n *world) { n.call, n.unreached = noCall, n.unreached || n.last; *n = n.on(runcopy.NoResponse) })
		add(func(n *world) {
			n.call = noCall
			n.known = n.known || n.answer == runcopy.Copied || n.answer == runcopy.Refused && n.last
			*n = n.on(n.answer)
		})
	}
}

// serve has the engine execute the call.
func (w *world) serve(copied bool) {
	if w.last {
		w.engine = stopped
	}
	w.handle, w.copied = copied || w.last || w.handle, copied || w.copied
}

// continuations adds the answers of the engine that is asked to continue the run.
func (w world) continuations(add func(func(*world))) {
	add(func(n *world) { *n = n.on(runcopy.NotRun) })
	able := map[runcopy.Action]bool{
		runcopy.ContinueAtCopy: w.copied, runcopy.ContinueAtSource: w.engine == stopped && w.handle, runcopy.ContinueAtBackup: w.backup,
	}
	if !able[w.do] {
		return
	}
	add(func(n *world) {
		if w.do != runcopy.ContinueAtBackup {
			n.handle, n.known, n.copied = false, false, false
		}
		*n = n.on(runcopy.Accepted)
		n.engine, n.open, n.generated, n.unreached = running, true, n.delivered, false
		n.run.SetBackup(false)
		n.backup = false
	})
}

// TestAllInterleavings explores every order of events of one run that may move twice, with and without a backup, at
// engines that end a run with its connection and at engines that go on. It guards against a stream that is reported complete without all of its events, two engines that execute the request,
// a copy that is neither used nor freed, and a request without an end.
func TestAllInterleavings(t *testing.T) {
	for _, c := range []struct{ backup, outlives bool }{{false, false}, {true, false}, {false, true}, {true, true}} {
		backup := c.backup
		first := world{open: true, destination: true, backup: backup, outlives: c.outlives}
		first.run.SetBackup(backup)
		parents := map[world][]world{first: nil}
		queue := []world{first}
		var ends []world
		for len(queue) > 0 {
			w := queue[0]
			queue = queue[1:]
			next := w.next(t)
			if w.done {
				assert.Assert(t, w.do != runcopy.Complete || w.delivered == events, "complete without all events: %+v", w)
				if w.call == noCall {
					assert.Assert(t, !w.handle || !w.known, "a copy is neither used nor freed: %+v", w)
				}
				ends = append(ends, w)
			}
			visit := func(n world) {
				if _, seen := parents[n]; !seen {
					queue = append(queue, n)
					parents[n] = nil
				}
			}
			for _, n := range next {
				visit(n)
				parents[n] = append(parents[n], w)
			}
			if !w.done {
				visit(w.abandoned())
			}
		}
		assert.Equal(t, len(endless(parents, ends)), 0, "states from which the request does not end")
		t.Logf("%+v: %d states, %d of them ends", c, len(parents), len(ends))
	}
}

// endless returns the states from which no end is reachable while the client waits.
func endless(parents map[world][]world, ends []world) (out []world) {
	reaches := map[world]bool{}
	for len(ends) > 0 {
		w := ends[0]
		ends = ends[1:]
		if reaches[w] {
			continue
		}
		reaches[w] = true
		ends = append(ends, parents[w]...)
	}
	for w := range parents {
		if !reaches[w] {
			out = append(out, w)
		}
	}
	return out
}
