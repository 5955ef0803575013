// Package admission is the admission control of a backend server: it decides which requests
// the server accepts and when each of them starts.
//
// Decode is the state machine of a decode server's slots. A request reserves a slot before its
// prefill begins on another server, so that no prefill is done whose KV cache would be evicted
// while it waits for a slot. Slots may be overcommitted: one is reserved before it is free when
// enough of the running requests are predicted to complete by the time it is needed. Prefill is
// the state machine of a prefill server's queue. Both reject early any request that would miss
// its target for the time to first token, and say after which time to retry.
//
// Both are deterministic: they take the time from their caller, start no goroutines or timers,
// and make the same decisions for the same sequence of calls. Neither is safe for concurrent
// use; the sidecar calls them while it holds its one lock, and acts on the decisions after it.
// After any call that changes the state the caller calls Advance with the same time.
package admission
