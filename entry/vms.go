package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/hibiscusspur/hibiscusspur/event"
	"github.com/hibiscusspur/hibiscusspur/metrics"
	"github.com/hibiscusspur/hibiscusspur/store"
)

// maxGuestsTold is how many servers outside of the subset one reading of the list
// of VMs tells that they are leaving.
const maxGuestsTold = 64

// vmLoop follows the platform's list of VMs and tells the servers that it says are
// leaving.
func (s *Service) vmLoop(ctx context.Context) {
	for {
		vms, _, err := s.vms.List(ctx)
		if err != nil && ctx.Err() == nil {
			s.met.Counter(metrics.VMListErrors).Inc(1)
			event.StoreFailed.Log(s.log).Err(err).Msg("")
		}
		if err == nil {
			s.pool.markListed(vms)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(vmPause(s.set)):
		}
	}
}

// vmPause is the time until the list is read again. It is long, and each entry
// tells all servers that are leaving, so the entries share the readings where their
// number is known. It is jittered, so that they do not read at once.
func vmPause(set Settings) time.Duration {
	mean := set.Timing.VMPoll * time.Duration(max(set.Policy.Entries, 1))
	return mean/2 + rand.N(mean)
}

// markListed tells each peer whether the platform's list says that its VM is
// leaving. A leaving server outside of the subset is linked as a guest for it.
func (p *pool) markListed(vms []store.VM) {
	leaving := make(map[string]bool)
	for _, vm := range vms {
		if vm.State == store.VMLeaving {
			leaving[vm.ID] = true
		}
	}
	for _, pr := range p.all() {
		pr.setListed(leaving[pr.backend.ID])
		delete(leaving, pr.backend.ID)
	}
	told := 0
	for id := range leaving {
		if told == maxGuestsTold {
			return
		}
		if pr := p.peer(id); pr != nil {
			pr.setListed(true)
			told++
		}
	}
}
