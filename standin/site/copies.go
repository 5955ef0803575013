package site

import (
	"maps"
	"slices"
	"strings"
	"sync"
)

// copies are the copies of runs that the engines of one log hold, by the name under which requests refer to them: an
// address and, of a backup, the ID of its request, of a move, its handle.
type copies struct {
	mu     sync.Mutex
	byName map[string]runCopy
	lost   bool
}

// runCopy is one copy of a run.
type runCopy struct {
	// events is the number of events that it contains, holders the addresses of the engines that can continue from it.
	events  int
	holders []string
}

// LoseCopies makes all engines lose their copies, as when these expire or there was no memory for them.
func (l *Log) LoseCopies() {
	l.copies.mu.Lock()
	defer l.copies.mu.Unlock()
	l.copies.lost = true
	l.copies.byName = nil
}

// LoseBackups makes all engines lose the backups that they hold now, but no copy of a move.
func (l *Log) LoseBackups() {
	l.copies.mu.Lock()
	defer l.copies.mu.Unlock()
	maps.DeleteFunc(l.copies.byName, func(name string, _ runCopy) bool { return !strings.Contains(name, "/"+movePrefix) })
}

// KeepCopies ends the effect of LoseCopies.
func (l *Log) KeepCopies() {
	l.copies.mu.Lock()
	defer l.copies.mu.Unlock()
	l.copies.lost = false
}

// Copies returns the number of copies of runs that engines hold.
func (l *Log) Copies() int {
	l.copies.mu.Lock()
	defer l.copies.mu.Unlock()
	return len(l.copies.byName)
}

// HasCopy reports whether an engine has a backup of a request's run with that many events.
func (l *Log) HasCopy(holder, request string, events int) bool {
	l.copies.mu.Lock()
	defer l.copies.mu.Unlock()
	x, ok := l.copies.byName[holder+"/"+request]
	return ok && x.events >= events
}

func (c *copies) put(name string, events int, holders ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lost {
		return
	}
	if c.byName == nil {
		c.byName = map[string]runCopy{}
	}
	c.byName[name] = runCopy{events: events, holders: holders}
}

// take removes a copy that an engine holds, and reports whether there was one.
func (c *copies) take(name, holder string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	x, ok := c.byName[name]
	if !ok || !slices.Contains(x.holders, holder) {
		return false
	}
	delete(c.byName, name)
	return true
}

// free removes the copy with a handle.
func (c *copies) free(handle string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name := range c.byName {
		if strings.HasSuffix(name, "/"+handle) {
			delete(c.byName, name)
		}
	}
}

// drop removes an engine that has crashed from the holders of copies.
func (c *copies) drop(holder string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, x := range c.byName {
		x.holders = slices.DeleteFunc(slices.Clone(x.holders), func(h string) bool { return h == holder })
		if c.byName[name] = x; len(x.holders) == 0 {
			delete(c.byName, name)
		}
	}
}

// isCopy reports whether a KV cache is fetched from a copy of a run, and not from an exported prompt.
func isCopy(kvFrom string) bool {
	_, name, ok := strings.Cut(kvFrom, "/")
	return ok && !strings.HasPrefix(name, exportPrefix)
}

// backUp records how much of a run its backup contains.
func (s *Server) backUp(c Call, events int) {
	if c.Backup != "" {
		s.log.copies.put(c.Backup+"/"+c.ID, events, c.Backup)
	}
}

// endBackup frees the backup of a run that has ended successfully.
func (s *Server) endBackup(c Call) {
	if c.Backup != "" {
		s.log.copies.take(c.Backup+"/"+c.ID, c.Backup)
	}
}
