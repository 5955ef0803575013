package capacity

import (
	"context"
	"os"
	"path/filepath"
	"time"
)

// activeServers is the number of active backend servers, to which a change is pushed at
// once.
const activeServers = 8

// operator measures one operator command that changes a contract, by the number of records
// in the table.
func (r *runner) operator(ctx context.Context) (Section, error) {
	s := Section{Title: "operator command, one contract changed"}
	for _, n := range []int{1125, 2250, 3375, planReplicas + planReplacedPerDay} {
		if err := r.measureCommand(ctx, &s, n); err != nil {
			return s, err
		}
	}
	return s, nil
}

func (r *runner) measureCommand(ctx context.Context, s *Section, backends int) error {
	l, f, w, err := r.startDeployment(ctx, activeServers, planCustomers)
	if err != nil {
		return err
	}
	defer l.Stop()
	defer f.close()
	defer w.close()
	all := f.backends("service", backends)
	for i := range all {
		all[i].Retired = i >= activeServers
	}
	if err := w.store.configure(ctx, nil, all); err != nil {
		return err
	}
	body, err := exampleContract(1, 1).Marshal()
	if err != nil {
		return err
	}
	file := filepath.Join(l.Dir(), "contract.yaml")
	if err := os.WriteFile(file, body, 0o600); err != nil {
		return err
	}
	before, bytes, start := w.store.calls(), w.relay.bytes.Load(), time.Now()
	state, err := l.RunOperatorCommand(ctx, w.relay.url(), "contract", "apply", "-f", file, "--yes")
	if err != nil {
		return err
	}
	took, x := time.Since(start), float64(backends)
	after := w.store.calls()
	s.add("table reads", "1", "backends", x, float64(after.table.Reads-before.table.Reads))
	s.add("table writes", "1", "backends", x, float64(after.table.Writes-before.table.Writes))
	s.add("platform bytes", "B", "backends", x, float64(w.relay.bytes.Load()-bytes))
	s.add("processor", "ms", "backends", x, float64((state.UserTime() + state.SystemTime()).Milliseconds()))
	s.add("time", "ms", "backends", x, float64(took.Milliseconds()))
	return nil
}
