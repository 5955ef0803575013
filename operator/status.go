package operator

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/hibiscusspur/hibiscusspur/dissemination"
	"github.com/hibiscusspur/hibiscusspur/store"
)

// ConfirmMaxAge is how old the row of an entry that runs may be: three refreshes.
// Whoever is in an older row only counts as gone, or as cut off from the platform.
const ConfirmMaxAge = 3 * dissemination.ConfirmRefresh

// Status says how far the newest revision has come.
type Status struct {
	Head     uint64 `json:"head"`
	ChangeID string `json:"change_id"`
	// Confirmed is how many of the processes heard of lately have the head in force.
	Confirmed int `json:"confirmed"`
	// Behind are those that have not.
	Behind []Process `json:"behind"`
	// Silent are the processes not heard of for ConfirmMaxAge.
	Silent []Process `json:"silent"`
}

// Process is an entry or sidecar and the newest revision that it has confirmed.
type Process struct {
	ID       string `json:"id"`
	Role     string `json:"role"`
	Zone     string `json:"zone"`
	Revision uint64 `json:"revision"`
	// AgeSeconds is how old the confirmation is.
	AgeSeconds float64 `json:"age_seconds"`
}

func (p Process) silent() bool {
	return p.AgeSeconds > ConfirmMaxAge.Seconds()
}

// Status reads the head and the confirmations.
func (o *Operator) Status(ctx context.Context) (*Status, error) {
	head, _, err := dissemination.ReadHead(ctx, o.table)
	if err != nil {
		return nil, classify(err)
	}
	s, err := o.statusOf(ctx, head.Revision)
	if err != nil {
		return nil, classify(err)
	}
	s.ChangeID = head.ChangeID
	return s, nil
}

// statusOf says how far a revision has come.
func (o *Operator) statusOf(ctx context.Context, revision uint64) (*Status, error) {
	processes, err := o.processes(ctx)
	if err != nil {
		return nil, err
	}
	s := &Status{Head: revision, Behind: []Process{}, Silent: []Process{}}
	for _, p := range processes {
		switch {
		case p.silent():
			s.Silent = append(s.Silent, p)
		case p.Revision >= revision:
			s.Confirmed++
		default:
			s.Behind = append(s.Behind, p)
		}
	}
	return s, nil
}

// processes returns every process that is named in a confirmation, by role and id.
func (o *Operator) processes(ctx context.Context) ([]Process, error) {
	now := o.now()
	all := make(map[processKey]Process)
	err := eachRow(ctx, o.table, dissemination.ConfirmPrefix, func(row store.Row) error {
		var c dissemination.Confirmation
		if err := json.Unmarshal(row.Value, &c); err != nil {
			return merry.Prependf(err, "decode row %s", row.Key)
		}
		addProcesses(all, c, now)
		return nil
	})
	if err != nil {
		return nil, err
	}
	var out []Process
	for _, p := range all {
		out = append(out, p)
	}
	slices.SortFunc(out, func(a, b Process) int {
		return cmp.Or(cmp.Compare(a.Role, b.Role), cmp.Compare(a.ID, b.ID))
	})
	return out, nil
}

type processKey struct{ role, id string }

func addProcesses(all map[processKey]Process, c dissemination.Confirmation, now time.Time) {
	age := now.Sub(c.Time).Seconds()
	addProcess(all, Process{ID: c.ID, Role: c.Role, Zone: c.Zone, Revision: c.Revision, AgeSeconds: age})
	for _, g := range c.Sidecars {
		for _, id := range g.IDs {
			addProcess(all, Process{ID: id, Role: dissemination.RoleSidecar, Zone: g.Zone, Revision: g.Revision, AgeSeconds: age})
		}
	}
}

// addProcess keeps the better of what several entries say of one sidecar: the row
// of one that is not silent, then the higher revision.
func addProcess(all map[processKey]Process, p Process) {
	key := processKey{p.Role, p.ID}
	old, known := all[key]
	better := !known || old.silent() && !p.silent() || old.silent() == p.silent() && p.Revision > old.Revision
	if better {
		all[key] = p
	}
}
