package prefillpool

// Prefilled is an engine that has prefilled the prompt of a request.
type Prefilled struct {
	// ID is that of the engine's incarnation.
	ID string
	// Mark was returned by Begin: the number of tokens that the engine had been sent by then.
	Mark int64
}

// cached is how many tokens of the prompt of a request the engine is expected to have in its prefix
// cache: it keeps a prompt until the prompts that have arrived since, the least recently used first,
// take its memory.
func (e *engine) cached(id string, q Request) int {
	for _, x := range q.Prefilled {
		if x.ID == id {
			left := int64(q.Memory) - (e.arrived - x.Mark)
			return int(min(max(left, 0), int64(q.Tokens)))
		}
	}
	return 0
}
