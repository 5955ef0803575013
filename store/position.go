package store

// Position is a point in the history of the platform's store. It combines the store's era, which rises by one each time
// the store is restored from a copy, with its version, which grows with each write of an era. A restored store gives
// versions of the era before out again, so positions are compared and never versions alone: the higher position is the
// later one. Zero is before the first write. A store that reports no era has era zero.
type Position int64

const (
	// versionBits is the size of the version in a Position: 400 writes a second take 690 years to use it up.
	versionBits = 43
	maxVersion  = 1<<versionBits - 1
	// MaxEra is the latest era that a Position holds.
	MaxEra = 1<<(63-versionBits) - 1
)

// At returns the position of a version in an era. Numbers out of range count as the nearest one that a Position holds.
func At(era, version int64) Position {
	return Position(min(max(era, 0), MaxEra)<<versionBits | min(max(version, 0), maxVersion))
}

// Era returns the era of p.
func (p Position) Era() int64 { return int64(p) >> versionBits }

// Version returns the version within the era of p.
func (p Position) Version() int64 { return int64(p) & maxVersion }
