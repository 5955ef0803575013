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

// ConfirmMaxAge is the maximum age of the confirmation of a running entry: three
// refresh periods. A process that only older rows name is taken to be gone, or cut off
// from the platform.
const ConfirmMaxAge = 3 * dissemination.ConfirmRefresh

// Status shows which processes have the newest revision in force.
type Status struct {
	Head     uint64 `json:"head"`
	ChangeID string `json:"change_id"`
	// Confirmed is the number of recently reported processes that have the head in force.
	Confirmed int `json:"confirmed"`
	// Behind are the recently reported processes that do not have the head in force yet.
	Behind []Process `json:"behind"`
	// Unresponsive are the processes that were not reported for ConfirmMaxAge.
	Unresponsive []Process `json:"silent"`
}

// Process is an entry or sidecar and the newest revision that it has confirmed.
type Process struct {
	ID       string `json:"id"`
	Role     string `json:"role"`
	Zone     string `json:"zone"`
	Revision uint64 `json:"revision"`
	// AgeSeconds is the age of the confirmation.
	AgeSeconds float64 `json:"age_seconds"`
}

func (p Process) unresponsive() bool {
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

// statusOf returns the status of a revision.
func (o *Operator) statusOf(ctx context.Context, revision uint64) (*Status, error) {
	processes, err := o.processes(ctx)
	if err != nil {
		return nil, err
	}
	s := &Status{Head: revision, Behind: []Process{}, Unresponsive: []Process{}}
	for _, p := range processes {
		switch {
		case p.unresponsive():
			s.Unresponsive = append(s.Unresponsive, p)
		case p.Revision >= revision:
			s.Confirmed++
		default:
			s.Behind = append(s.Behind, p)
		}
	}
	return s, nil
}

// processes returns every process named in a confirmation, sorted by role and id.
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

// addProcess merges the reports of several entries about one sidecar: a recent
// report takes precedence, then the higher revision.
func addProcess(all map[processKey]Process, p Process) {
	key := processKey{p.Role, p.ID}
	old, known := all[key]
	preferred := !known || old.unresponsive() && !p.unresponsive() || old.unresponsive() == p.unresponsive() && p.Revision > old.Revision
	if preferred {
		all[key] = p
	}
}
