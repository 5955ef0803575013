package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/hibiscusspur/hibiscusspur/event"
	"github.com/hibiscusspur/hibiscusspur/metrics"
	"github.com/hibiscusspur/hibiscusspur/store"
)

// maxTemporaryLinks bounds the links that one poll of the list of VMs opens to leaving servers outside the
// subset.
const maxTemporaryLinks = 64

// vmListLoop polls the platform's list of VMs and notifies the servers that it marks as leaving.
func (s *Service) vmListLoop(ctx context.Context) {
	for {
		vms, _, err := s.vms.List(ctx)
		if err != nil && ctx.Err() == nil {
			s.metrics.Counter(metrics.VMListErrors).Inc(1)
			event.StoreFailed.Log(s.log).Err(err).Msg("")
		}
		if err == nil {
			s.pool.setListedLeaving(vms)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(vmListInterval(s.settings)):
		}
	}
}

// vmListInterval returns the jittered time until the next poll of the list. The list is long and each entry
// notifies all leaving servers, so entries share the polls where their number is known. The jitter keeps them
// from polling at once.
func vmListInterval(set Settings) time.Duration {
	mean := set.Timing.VMPoll * time.Duration(max(set.Policy.Entries, 1))
	return mean/2 + rand.N(mean)
}

// setListedLeaving reports to each peer whether the platform's list marks its VM as leaving. A leaving server
// outside the subset gets a temporary link for the report.
func (p *pool) setListedLeaving(vms []store.VM) {
	leaving := make(map[string]bool)
	for _, vm := range vms {
		if vm.State == store.VMLeaving {
			leaving[vm.ID] = true
		}
	}
	for _, pr := range p.all() {
		pr.setListedLeaving(leaving[pr.backend.ID])
		delete(leaving, pr.backend.ID)
	}
	temporary := 0
	for id := range leaving {
		if temporary == maxTemporaryLinks {
			return
		}
		if pr := p.peer(id); pr != nil {
			pr.setListedLeaving(true)
			temporary++
		}
	}
}
