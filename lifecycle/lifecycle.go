// Package lifecycle is the course of one request from its first placement to its one end,
// whichever interface brought it. Servers are chosen, room for the whole run is reserved,
// the prompt is read, the answer is generated; when that ends short of the whole answer,
// the request's policy says whether there is another attempt.
//
// The package knows no transport. The entry reaches engines through their sidecars, the
// gateway over HTTP; each brings its Attempt, and both get the same order of steps, the
// same care for what an attempt holds, and exactly one outcome.
package lifecycle

import (
	"context"

	"github.com/hibiscusspur/hibiscusspur/outcome"
)

// Attempt is one try at a request on one placement. Its methods are called by one
// goroutine: Reserve, Prefill, Answer in this order until one of them ends the attempt,
// then Release, always and once.
type Attempt interface {
	// Reserve takes room for the whole run, so that no prompt is read in vain. When ok is
	// false, the outcome ends the attempt.
	Reserve(ctx context.Context) (o outcome.Outcome, ok bool)
	// Prefill has the prompt read. When ok is false, the outcome ends the attempt.
	Prefill(ctx context.Context) (o outcome.Outcome, ok bool)
	// Answer runs the request and delivers its answer. It returns how that ended.
	Answer(ctx context.Context) outcome.Outcome
	// Release gives up what the attempt still holds. It does not wait for servers.
	Release()
}

// Request is a request over all its attempts, of type A. Its methods are called by one
// goroutine.
type Request[A Attempt] interface {
	// Place chooses the servers of the next attempt; it may wait for them. When ok is
	// false there are none, and o is the end of the request.
	Place(ctx context.Context) (a A, o outcome.Outcome, ok bool)
	// Ended takes how an attempt ended. When again is false, final is the end of the
	// request; otherwise there is another attempt.
	Ended(ctx context.Context, a A, o outcome.Outcome) (final outcome.Outcome, again bool)
}

// Run runs a request to its one end, and returns it.
func Run[A Attempt](ctx context.Context, r Request[A]) outcome.Outcome {
	for {
		a, o, ok := r.Place(ctx)
		if !ok {
			return o
		}
		o = try(ctx, a)
		if final, again := r.Ended(ctx, a, o); !again {
			return final
		}
	}
}

// try takes one attempt through its steps.
func try(ctx context.Context, a Attempt) outcome.Outcome {
	defer a.Release()
	if o, ok := a.Reserve(ctx); !ok {
		return o
	}
	if o, ok := a.Prefill(ctx); !ok {
		return o
	}
	return a.Answer(ctx)
}
