package site

import (
	"strings"
	"sync"
)

// copies are the copies of runs that the engines of one log hold. An engine names a copy by the address under which
// requests name the holder of a backup or the source of a move.
type copies struct {
	mu sync.Mutex
	// events is the number of events that each copy contains.
	events map[string]int
	lost   bool
}

// LoseCopies makes all engines lose their copies, as when these expire or there was no memory for them.
func (l *Log) LoseCopies() {
	l.copies.mu.Lock()
	defer l.copies.mu.Unlock()
	l.copies.lost = true
	l.copies.events = nil
}

// Copies returns the number of copies of runs that engines hold.
func (l *Log) Copies() int {
	l.copies.mu.Lock()
	defer l.copies.mu.Unlock()
	return len(l.copies.events)
}

func (c *copies) put(name string, events int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lost {
		return
	}
	if c.events == nil {
		c.events = map[string]int{}
	}
	c.events[name] = events
}

// take removes a copy and reports whether there was one.
func (c *copies) take(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.events[name]
	delete(c.events, name)
	return ok
}

// isCopy reports whether a KV cache is fetched from a copy of a run, and not from an exported prompt.
func isCopy(kvFrom string) bool {
	_, name, ok := strings.Cut(kvFrom, "/")
	return ok && !strings.HasPrefix(name, exportPrefix)
}

// backUp records how much of a run its backup contains.
func (s *Server) backUp(c Call, events int) {
	if c.Backup != "" {
		s.log.copies.put(c.Backup+"/"+c.ID, events)
	}
}

// endBackup frees the backup of a run that has ended successfully.
func (s *Server) endBackup(c Call) {
	if c.Backup != "" {
		s.log.copies.take(c.Backup + "/" + c.ID)
	}
}
