package stages

import (
	"maps"
	"time"

	"github.com/hibiscusspur/hibiscusspur/registry"
)

// nextExchange returns the next move by which a fast prefill engine and a slow decode engine change
// places, if the load allows it. The fast engine moves first, so that decode memory does not
// become scarce meanwhile.
func (p *Planner) nextExchange(servers []registry.Server, switching map[string]registry.Stage, l Load, now time.Time) (Move, bool) {
	maps.DeleteFunc(p.settled, func(id string, _ struct{}) bool {
		_, listed := find(servers, id)
		return !listed
	})
	if !p.allowsExchange(servers, switching, l) || now.Sub(p.lastMove) < p.cfg.MoveInterval {
		return Move{}, false
	}
	if s, ok := find(servers, p.exchanged); ok && movable(s, switching, registry.Prefill) {
		return Move{Server: s, To: registry.Prefill}, true
	}
	p.exchanged = ""
	fast, ok := p.extreme(servers, switching, registry.Decode, l.TimePerToken)
	if !ok {
		return Move{}, false
	}
	slow, ok := p.extreme(servers, switching, registry.Prefill, l.TimePerToken)
	if !ok || l.TimePerToken[slow.ID] < p.cfg.MinExchangeRatio*l.TimePerToken[fast.ID] {
		return Move{}, false
	}
	return Move{Server: fast, To: registry.Decode, exchangedWith: slow.ID}, true
}

// allowsExchange reports whether engines of both kinds have capacity to spare for an exchange.
func (p *Planner) allowsExchange(servers []registry.Server, switching map[string]registry.Stage, l Load) bool {
	prefill, decode, changing := count(servers, switching)
	if changing >= max(1, (prefill+decode)/p.cfg.EnginesPerConcurrentMove) || prefill < 2 || decode < 2 || l.MemoryShort {
		return false
	}
	prefillUse := l.PromptRate / l.EnginePrefillRate / float64(prefill-1)
	decodeUse := l.MemoryDemand / l.EngineMemory / float64(decode-1)
	return max(prefillUse, decodeUse) <= p.cfg.ExchangeMaxUtilization
}

// extreme returns the engine of known speed that suits a stage best among those that can be moved
// to it and were not exchanged before.
func (p *Planner) extreme(servers []registry.Server, switching map[string]registry.Stage, to registry.Stage, times map[string]float64) (registry.Server, bool) {
	known := make([]registry.Server, 0, len(servers))
	for _, s := range servers {
		if _, settled := p.settled[s.ID]; times[s.ID] > 0 && !settled {
			known = append(known, s)
		}
	}
	return p.candidate(known, switching, to, times)
}

// find returns the server with an ID, if it is listed.
func find(servers []registry.Server, id string) (registry.Server, bool) {
	for _, s := range servers {
		if s.ID == id {
			return s, true
		}
	}
	return registry.Server{}, false
}
