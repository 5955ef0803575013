package registry

import (
	"strconv"
	"strings"
)

// Incarnation is one start of one server. A server may start again under the instance name that it
// had; it then holds and knows nothing of before.
type Incarnation struct {
	// Instance is the name under which the server registers itself.
	Instance string
	// Born is when it started, as it says itself, in Unix milliseconds; zero if it does not say so. It
	// is compared with others of the same instance only, never with a clock of ours.
	Born int64
}

// bornMark separates instance and start in an ID. Names of instances don't contain it.
const bornMark = "@"

// ID names the incarnation. Whatever is learned, placed or told of a server is kept under it, so
// that nothing of one start is credited to the next.
func (i Incarnation) ID() string {
	if i.Born == 0 {
		return i.Instance
	}
	return i.Instance + bornMark + strconv.FormatInt(i.Born, 10)
}

// tags is the number of tags, so that one takes two bytes on the wire.
const tags = 1<<14 - 1

// Tag tells starts of one instance apart in messages of which each byte counts: 3 % more bytes for a
// placement, where a whole start takes 10 %. It is zero if the start is not known. Two starts of an
// instance have the same tag only if they are a multiple of 16.383 s apart; what is told lapses long before.
func (i Incarnation) Tag() uint32 {
	if i.Born == 0 {
		return 0
	}
	return uint32(i.Born%tags) + 1
}

// unknownMark begins the start of an ID that was told by a tag that no known start has.
const unknownMark = "~"

// ResolveTag is the ID of the start that a tag names, if latest is the latest known start of the instance. Another
// start, which has ended or is not known yet, has an ID of its own that no server has.
func ResolveTag(instance string, tag uint32, latest int64) string {
	known := Incarnation{Instance: instance, Born: latest}
	if tag == 0 || tag == known.Tag() {
		return known.ID()
	}
	return instance + bornMark + unknownMark + strconv.FormatUint(uint64(tag), 10)
}

// ParseID is the incarnation that an ID names.
func ParseID(id string) Incarnation {
	instance, born, ok := strings.Cut(id, bornMark)
	if !ok {
		return Incarnation{Instance: id}
	}
	at, err := strconv.ParseInt(born, 10, 64)
	if err != nil {
		return Incarnation{Instance: id}
	}
	return Incarnation{Instance: instance, Born: at}
}

// maxInstance is the longest key of a row in the platform's store, in bytes.
const maxInstance = 200

// ValidInstance reports whether name can be an instance: it goes into headers, logs and IDs.
func ValidInstance(name string) bool {
	if name == "" || len(name) > maxInstance {
		return false
	}
	return strings.IndexFunc(name, func(c rune) bool {
		return c <= ' ' || c > '~' || strings.ContainsRune(bornMark+`"/,;:\`, c)
	}) < 0
}
