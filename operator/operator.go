package operator

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"errors"
	"time"

	"github.com/hibiscusspur/hibiscusspur/contract"
	"github.com/hibiscusspur/hibiscusspur/dissemination"
	"github.com/hibiscusspur/hibiscusspur/store"
)

// Operator runs the operator commands against the platform's table. It is safe
// for concurrent use.
type Operator struct {
	table  store.Table
	writer *dissemination.Writer
	author string
	now    func() time.Time
	// maxRecords is the maximum number of records in one change.
	maxRecords int
	// tls is the configuration of links to sidecars; nil means plain TCP.
	tls *tls.Config
}

// New returns an operator whose changes are recorded in the log under author.
func New(table store.Table, author string, now func() time.Time) *Operator {
	return &Operator{
		table:      table,
		writer:     dissemination.NewWriter(table, rand.Text, now),
		author:     author,
		now:        now,
		maxRecords: DefaultMaxRecords,
	}
}

// Plan compares the desired records with the stored ones. If expectHead is given and
// differs from the head revision, the error is a *dissemination.ConflictError.
func (o *Operator) Plan(ctx context.Context, wanted Desired, expectHead *uint64, opts Options) (*Plan, error) {
	s, err := ReadSnapshot(ctx, o.table)
	if err != nil {
		return nil, err
	}
	if expectHead != nil && *expectHead != s.Head.Revision {
		return nil, o.writer.Conflict(ctx, *expectHead, wanted)
	}
	return NewPlan(s, wanted, opts)
}

// PlanWithdraw plans the removal of a customer's contract.
func (o *Operator) PlanWithdraw(ctx context.Context, customer string) (*Plan, error) {
	s, err := ReadSnapshot(ctx, o.table)
	if err != nil {
		return nil, err
	}
	key := dissemination.ContractPrefix + customer
	if _, ok := s.live(key); !ok {
		return nil, noSuchRecord("contract", customer)
	}
	return NewPlan(s, Desired{key: {Deleted: true}}, Options{})
}

// PlanRetire plans to mark backend servers as retired, so that they get no new work.
// Those already retired are left unchanged.
func (o *Operator) PlanRetire(ctx context.Context, ids []string) (*Plan, error) {
	s, err := ReadSnapshot(ctx, o.table)
	if err != nil {
		return nil, err
	}
	wanted := Desired{}
	for _, id := range ids {
		key := dissemination.BackendPrefix + id
		b, ok := s.backend(key)
		if !ok {
			return nil, noSuchRecord("backend server", id)
		}
		b.Retired = true
		body, err := b.Marshal()
		if err != nil {
			return nil, badInput("%s: %v", id, err)
		}
		wanted[key] = dissemination.Change{Body: string(body)}
	}
	return NewPlan(s, wanted, Options{})
}

// DesiredBackend returns the desired state that consists of the record of one backend server.
func DesiredBackend(b *contract.Backend) (Desired, error) {
	body, err := b.Marshal()
	if err != nil {
		return nil, badInput("%v", err)
	}
	if _, err := contract.ParseBackend("flags", body); err != nil {
		return nil, err
	}
	return Desired{dissemination.BackendPrefix + b.ID: {Body: string(body)}}, nil
}

// Commit commits p if the head revision is still the one that p was made against, and
// returns the new head. An empty plan leaves the head unchanged.
func (o *Operator) Commit(ctx context.Context, p *Plan) (uint64, error) {
	if p.Empty() {
		return p.Head, nil
	}
	if err := o.CheckSize(p); err != nil {
		return 0, err
	}
	revision, err := o.writer.Commit(ctx, o.author, p.Head, p.changes)
	if err == nil {
		return revision, nil
	}
	if errors.Is(err, store.ErrInvalid) {
		return 0, badInput("rejected by the platform: %v", err)
	}
	return 0, classify(err)
}

func noSuchRecord(what, id string) error {
	return wrapNoSuchRecord(what + " " + id)
}
