package operator

import (
	"context"
	"crypto/tls"

	"github.com/hibiscusspur/hibiscusspur/contract"
	"github.com/hibiscusspur/hibiscusspur/dissemination"
	"github.com/hibiscusspur/hibiscusspur/dissemination/push"
)

// PushResult lists the sidecars to which the command itself pushed a committed change.
type PushResult struct {
	// Targets and Confirmed are the ids of the backend servers whose sidecars were sent the
	// change and of those that confirmed it.
	Targets   []string `json:"targets"`
	Confirmed []string `json:"confirmed"`
}

// SetTLS sets the TLS configuration of links to sidecars; nil means plain TCP.
func (o *Operator) SetTLS(conf *tls.Config) { o.tls = conf }

// Push sends the change that p committed as revision to a few sidecars, from which it
// spreads by dissemination even if the platform fails now. This is best effort: without
// it the change still reaches every process, only later.
func (o *Operator) Push(ctx context.Context, p *Plan, revision uint64) PushResult {
	state := p.stateAt(revision)
	targets := push.Targets(dissemination.NewIndex(state, func(string, uint64, error) {}).Backends())
	confirmed := push.Push(ctx, state, targets, o.tls)
	return PushResult{Targets: backendIDs(targets), Confirmed: backendIDs(confirmed)}
}

// stateAt returns the configuration after the plan was committed as revision.
func (p *Plan) stateAt(revision uint64) *dissemination.State {
	records := make(map[string]dissemination.Record)
	for key, r := range p.base.Records {
		records[key] = dissemination.Record{Key: key, Revision: r.Revision, Value: []byte(r.Body), Deleted: r.Deleted}
	}
	for key, c := range p.changes {
		records[key] = dissemination.Record{Key: key, Revision: revision, Value: []byte(c.Body), Deleted: c.Deleted}
	}
	d := dissemination.Delta{Head: revision}
	for _, r := range records {
		d.Records = append(d.Records, r)
	}
	state := dissemination.NewState()
	// Applying a delta that begins at 0 to a new state can't fail.
	_, _ = state.Apply(d)
	return state
}

func backendIDs(list []contract.Backend) []string {
	out := make([]string, 0, len(list))
	for _, b := range list {
		out = append(out, b.ID)
	}
	return out
}
