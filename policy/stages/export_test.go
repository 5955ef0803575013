package stages

// NumExchanged returns the number of exchanged engines that the planner remembers.
func (p *Planner) NumExchanged() int { return len(p.settled) }
