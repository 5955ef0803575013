// Package quarantine decides which requests are not sent to servers any more, since servers end under them.
//
// Whatever runs at a server when it ends is suspect, and most of it is innocent. A Ledger holds a request back once
// MaxTerminations servers have ended under it without one having answered it, and takes those ends as explained by it: what
// else ran there is not suspect for them. A request that a server answered is cleared. A request is known by the
// digest of what it asks, a server by its start.
//
// All types are pure state machines: events and times go in, decisions come out. None is safe for concurrent use.
package quarantine
