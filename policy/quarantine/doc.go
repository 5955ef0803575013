// Package quarantine decides which requests are no longer sent to servers because they crash them (poison requests).
//
// Every request in progress at a terminated server is suspected, but most are innocent. A Ledger quarantines a request
// once MaxTerminations servers have terminated under it and none has answered it. It treats those terminations as
// explained by this request: the other requests there are no longer suspected for them. A request that a server answered
// is cleared. A request is identified by the digest of its content, a server by its incarnation.
//
// All types are pure state machines: events and times go in, decisions come out. None is safe for concurrent use.
package quarantine
