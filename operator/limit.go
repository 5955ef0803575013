package operator

// Default and bounds of the maximum number of records in one change.
const (
	DefaultMaxRecords = 500
	minMaxRecords     = 1
	maxMaxRecords     = 100_000
)

// SetMaxRecords sets the maximum number of records in one change, which is
// DefaultMaxRecords by default. Call it before any other method.
func (o *Operator) SetMaxRecords(n int) {
	o.maxRecords = n
}

// CheckSize rejects a plan with more records than the platform accepts in one
// transaction. A change is never split, since files that belong together must take
// effect atomically.
func (o *Operator) CheckSize(p *Plan) error {
	n := len(p.changes)
	if n <= o.maxRecords {
		return nil
	}
	return badInput("the change writes %d records and one transaction takes at most %d (max_records); nothing was written. "+
		"Split it: put the files into directories of at most %d changed records and apply them one after the other, "+
		"without --prune except in a last run over all files; keep files together that move an API key from one customer to another",
		n, o.maxRecords, o.maxRecords)
}
