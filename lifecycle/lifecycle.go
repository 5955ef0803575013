// Package lifecycle runs one request from its first placement to its one outcome, for every interface. Servers are
// chosen, memory for the whole run is reserved, the prompt is prefilled, the answer is generated; if that ends before
// the answer is whole, the request's policy decides whether there is another attempt.
//
// The package is independent of the transport. The entry reaches engines through their sidecars, the gateway over
// HTTP; each implements Attempt, and both get the same order of steps, a guaranteed release of what an attempt holds,
// and exactly one outcome.
package lifecycle

import (
	"context"

	"github.com/hibiscusspur/hibiscusspur/outcome"
)

// Attempt is one attempt at a request on one placement. Its methods are called by one goroutine: Reserve, Prefill and
// Answer in this order until one of them ends the attempt, then Release, always and once.
type Attempt interface {
	// Reserve reserves memory for the whole run, so that no prompt is prefilled in vain. When ok is false, the outcome
	// ends the attempt.
	Reserve(ctx context.Context) (o outcome.Outcome, ok bool)
	// Prefill has the prompt prefilled. When ok is false, the outcome ends the attempt.
	Prefill(ctx context.Context) (o outcome.Outcome, ok bool)
	// Answer runs the request, delivers its answer and returns the outcome.
	Answer(ctx context.Context) outcome.Outcome
	// Release releases what the attempt still holds. It does not wait for servers.
	Release()
}

// Request is a request over all its attempts, of type A. Its methods are called by one
// goroutine.
type Request[A Attempt] interface {
	// Place chooses the servers of the next attempt; it may wait for them. When ok is false there are none, and o is
	// the outcome of the request.
	Place(ctx context.Context) (a A, o outcome.Outcome, ok bool)
	// Ended takes the outcome of an attempt. When again is false, final is the outcome of the request; otherwise there
	// is another attempt.
	Ended(ctx context.Context, a A, o outcome.Outcome) (final outcome.Outcome, again bool)
}

// Run runs a request to its one outcome and returns it.
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

// try runs the steps of one attempt.
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
