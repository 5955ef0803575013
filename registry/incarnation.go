package registry

import (
	"strconv"
	"strings"
)

// Incarnation is one run of a server process. A server may restart under the same instance name; it
// then has no state from before.
type Incarnation struct {
	// Instance is the name under which the server registers itself.
	Instance string
	// Born is the start time that the server itself reports, in Unix milliseconds; zero if it reports none.
	// It is compared only with start times of the same instance, never with a local clock.
	Born int64
}

// startSeparator separates the instance from the start time in an ID. Instance names don't contain it.
const startSeparator = "@"

// ID names the incarnation. All state, placements and reports of a server use it as their key, so
// that nothing of one incarnation is attributed to the next.
func (i Incarnation) ID() string {
	if i.Born == 0 {
		return i.Instance
	}
	return i.Instance + startSeparator + strconv.FormatInt(i.Born, 10)
}

// numTags is the number of distinct tags; a tag takes two bytes on the wire.
const numTags = 1<<14 - 1

// Tag is a short form of the start time that distinguishes the incarnations of one instance in messages whose
// size matters: it adds 3 % to a placement, where the full start time adds 10 %. It is zero if the start time is
// unknown. Two incarnations of an instance have the same tag only if they started a multiple of 16.383 s apart;
// reports expire long before that.
func (i Incarnation) Tag() uint32 {
	if i.Born == 0 {
		return 0
	}
	return uint32(i.Born%numTags) + 1
}

// unknownStartPrefix precedes the tag in the ID of an incarnation whose start time is not known.
const unknownStartPrefix = "~"

// ResolveTag returns the ID of the incarnation that a tag names, given the latest known start time of the instance.
// For any other incarnation, terminated or not known yet, it returns a distinct ID that no server has.
func ResolveTag(instance string, tag uint32, latest int64) string {
	known := Incarnation{Instance: instance, Born: latest}
	if tag == 0 || tag == known.Tag() {
		return known.ID()
	}
	return instance + startSeparator + unknownStartPrefix + strconv.FormatUint(uint64(tag), 10)
}

// ParseID returns the incarnation that an ID names.
func ParseID(id string) Incarnation {
	instance, born, ok := strings.Cut(id, startSeparator)
	if !ok {
		return Incarnation{Instance: id}
	}
	at, err := strconv.ParseInt(born, 10, 64)
	if err != nil {
		return Incarnation{Instance: id}
	}
	return Incarnation{Instance: instance, Born: at}
}

// maxInstanceLen is the maximum length of a row key in the platform's store, in bytes.
const maxInstanceLen = 200

// ValidInstance reports whether name is a valid instance name: it is used in headers, logs and IDs.
func ValidInstance(name string) bool {
	if name == "" || len(name) > maxInstanceLen {
		return false
	}
	return strings.IndexFunc(name, func(c rune) bool {
		return c <= ' ' || c > '~' || strings.ContainsRune(startSeparator+`"/,;:\`, c)
	}) < 0
}
