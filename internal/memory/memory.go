// Package memory keeps the resident memory of a daemon close to its live heap. A VM reserves little memory
// for control processes, and the defaults of the Go runtime use more memory to save CPU time.
package memory

import (
	"context"
	"os"
	"runtime/debug"
	"time"
)

// garbagePercent is the GOGC value: how far the heap may grow over the live heap before a collection. The
// runtime's default is 100.
const garbagePercent = 50

// trimInterval is how often freed memory is returned to the operating system. An idle daemon is otherwise
// collected only every two minutes, and keeps the memory used by its startup until then.
const trimInterval = 10 * time.Second

// Trim sets the garbage collector's target, unless GOGC is set in the environment, and returns freed memory
// to the operating system at intervals until ctx ends. It does not block.
func Trim(ctx context.Context) {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(garbagePercent)
	}
	go trim(ctx)
}

func trim(ctx context.Context) {
	t := time.NewTicker(trimInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			debug.FreeOSMemory()
		}
	}
}
