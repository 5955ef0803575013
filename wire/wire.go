// Package wire contains the messages and the drpc service of the session protocol between
// entries and sidecars. The generated code is committed; regenerate it with "make generate",
// which needs protoc.
package wire

//go:generate sh -c "cd .. && scripts/generate.sh"

// Protocol is the version of the session protocol that this build implements.
const Protocol = 1

// AckEvery is the number of tokens per acknowledgement. A sidecar's window holds at
// least twice as many, so that a run never waits for an acknowledgement.
const AckEvery = 64

// CodeProtocol is the drpc error code of a session that was rejected because its
// two ends use different versions of the protocol.
const CodeProtocol uint64 = 1001

// Key is the comparable form of a Ref, which identifies one attempt at a request.
type Key struct {
	RequestID string
	Attempt   uint32
}

// Key returns the comparable form of r.
func (r *Ref) Key() Key {
	return Key{RequestID: r.GetRequestId(), Attempt: r.GetAttempt()}
}

// Ref returns the message form of k.
func (k Key) Ref() *Ref {
	return &Ref{RequestId: k.RequestID, Attempt: k.Attempt}
}
