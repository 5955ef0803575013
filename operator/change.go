package operator

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/ansel1/merry/v2"

	"github.com/hibiscusspur/hibiscusspur/dissemination"
	"github.com/hibiscusspur/hibiscusspur/store"
)

// ChangeRef identifies a change whose outcome is unknown: the revision that it has
// if it was committed, and its id.
type ChangeRef struct {
	Revision uint64
	ID       string
}

// RefOf returns the reference of the change that e is about.
func RefOf(e *dissemination.UnknownOutcomeError) ChangeRef {
	return ChangeRef{Revision: e.Revision, ID: e.ChangeID}
}

// String returns the text form, which ParseRef parses.
func (r ChangeRef) String() string {
	return fmt.Sprintf("%d-%s", r.Revision, r.ID)
}

// ParseRef parses the text form that String returns.
func ParseRef(s string) (ChangeRef, error) {
	number, id, ok := strings.Cut(s, "-")
	revision, err := strconv.ParseUint(number, 10, 64)
	if !ok || err != nil || id == "" {
		return ChangeRef{}, badInput("%q is not a change reference such as 42-ABCDEF", s)
	}
	return ChangeRef{Revision: revision, ID: id}, nil
}

// ChangeState is the state of a change.
type ChangeState string

// States of a change.
const (
	// ChangeCommitted means that the change is in force.
	ChangeCommitted ChangeState = "committed"
	// ChangeNotCommitted means that another change took its revision, so that it can
	// never take effect.
	ChangeNotCommitted ChangeState = "not_committed"
	// ChangeOpen means that the change has not taken effect but still may, until
	// another change takes its revision.
	ChangeOpen ChangeState = "open"
	// ChangeExpired means that the revision is older than the oldest log row.
	ChangeExpired ChangeState = "forgotten"
)

// ChangeReport describes the state of a change.
type ChangeReport struct {
	State    ChangeState `json:"state"`
	Revision uint64      `json:"revision"`
	// TakenBy is the author of the other change that was committed as this revision.
	TakenBy string `json:"taken_by,omitempty"`
}

// FindChange determines the state of a change from the log row of its revision.
func (o *Operator) FindChange(ctx context.Context, ref ChangeRef) (*ChangeReport, error) {
	r := &ChangeReport{State: ChangeCommitted, Revision: ref.Revision}
	entry, err := dissemination.ReadLog(ctx, o.table, ref.Revision)
	switch {
	case errors.Is(err, store.ErrNotFound):
		return r, o.findMissing(ctx, r)
	case err != nil:
		return nil, classify(err)
	case entry.ChangeID != ref.ID:
		r.State, r.TakenBy = ChangeNotCommitted, entry.Author
	}
	return r, nil
}

// findMissing determines the state of a change without a log row: its revision is not
// taken yet, or its row was deleted.
func (o *Operator) findMissing(ctx context.Context, r *ChangeReport) error {
	r.State = ChangeOpen
	_, begin, err := o.logBounds(ctx)
	if err == nil && r.Revision < begin {
		r.State = ChangeExpired
	}
	return classify(err)
}

func wrapNoSuchRecord(what string) error {
	return merry.Append(ErrNoSuchRecord, what)
}
