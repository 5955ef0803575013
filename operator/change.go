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

// ChangeRef names a change whose outcome is unknown: the revision that it becomes
// if it took effect, and its id.
type ChangeRef struct {
	Revision uint64
	ID       string
}

// RefOf returns the reference of the change that e speaks of.
func RefOf(e *dissemination.UnknownOutcomeError) ChangeRef {
	return ChangeRef{Revision: e.Revision, ID: e.ChangeID}
}

// String returns the form that ParseRef reads.
func (r ChangeRef) String() string {
	return fmt.Sprintf("%d-%s", r.Revision, r.ID)
}

// ParseRef reads the form that String returns.
func ParseRef(s string) (ChangeRef, error) {
	number, id, ok := strings.Cut(s, "-")
	revision, err := strconv.ParseUint(number, 10, 64)
	if !ok || err != nil || id == "" {
		return ChangeRef{}, badInput("%q is not a change reference such as 42-ABCDEF", s)
	}
	return ChangeRef{Revision: revision, ID: id}, nil
}

// ChangeState says what became of a change.
type ChangeState string

// States of a change.
const (
	// ChangeCommitted means that it is in force.
	ChangeCommitted ChangeState = "committed"
	// ChangeLost means that it can never take effect.
	ChangeLost ChangeState = "not_committed"
	// ChangeOpen means that it has not taken effect but still may, until its
	// revision is taken.
	ChangeOpen ChangeState = "open"
	// ChangeForgotten means that its revision is older than the log.
	ChangeForgotten ChangeState = "forgotten"
)

// ChangeReport is the answer to what became of a change.
type ChangeReport struct {
	State    ChangeState `json:"state"`
	Revision uint64      `json:"revision"`
	// TakenBy is the author of the change that took the revision instead.
	TakenBy string `json:"taken_by,omitempty"`
}

// FindChange settles what became of a change by reading the log row of its revision.
func (o *Operator) FindChange(ctx context.Context, ref ChangeRef) (*ChangeReport, error) {
	r := &ChangeReport{State: ChangeCommitted, Revision: ref.Revision}
	entry, err := dissemination.ReadLog(ctx, o.table, ref.Revision)
	switch {
	case errors.Is(err, store.ErrNotFound):
		return r, o.findMissing(ctx, r)
	case err != nil:
		return nil, classify(err)
	case entry.ChangeID != ref.ID:
		r.State, r.TakenBy = ChangeLost, entry.Author
	}
	return r, nil
}

// findMissing settles a change that has no log row: its revision is not taken yet,
// or its row was deleted.
func (o *Operator) findMissing(ctx context.Context, r *ChangeReport) error {
	r.State = ChangeOpen
	_, begin, err := o.logBounds(ctx)
	if err == nil && r.Revision < begin {
		r.State = ChangeForgotten
	}
	return classify(err)
}

func wrapNoSuch(what string) error {
	return merry.Append(ErrNoSuchRecord, what)
}
