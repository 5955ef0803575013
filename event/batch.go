package event

import (
	"io"
	"os"
	"sync"
	"time"

	"github.com/phuslu/log"
)

const (
	// batchBytes bounds the lines that wait to be written: about 150 of 400 bytes, more
	// than a gateway writes in batchInterval under its highest load.
	batchBytes = 64 << 10
	// batchInterval is how long a line waits to be written with others.
	batchInterval = 100 * time.Millisecond
)

// Batch writes log lines in the background, many in one system call. It never blocks
// its caller: lines that don't fit while the reader is slow are counted and dropped.
type Batch struct {
	out io.Writer

	mu      sync.Mutex
	pending []byte
	spare   []byte
	dropped int64
	// armed is set from when a line waits until it was written: one timer or one
	// writer is under way then, never more.
	armed bool
	// writing is held while bytes are written.
	writing chan struct{}
}

// NewBatched returns a logger that writes JSON lines to standard output in batches.
func NewBatched(program, vm string, level log.Level) (*log.Logger, *Batch) {
	b := NewBatch(os.Stdout)
	return &log.Logger{
		Level:   level,
		Context: log.NewContext(nil).Str("program", program).Str("vm", vm).Value(),
		Writer:  &log.IOWriter{Writer: b},
	}, b
}

// NewBatch returns a batch that writes to out.
func NewBatch(out io.Writer) *Batch { return &Batch{out: out, writing: make(chan struct{}, 1)} }

// Write implements io.Writer. It always takes the whole line or drops it.
func (b *Batch) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.pending)+len(line) > batchBytes {
		b.dropped++
		return len(line), nil
	}
	b.pending = append(b.pending, line...)
	if !b.armed {
		b.armed = true
		time.AfterFunc(batchInterval, b.tick)
	}
	return len(line), nil
}

// tick writes what waits, and comes again when more has come meanwhile.
func (b *Batch) tick() {
	b.Flush()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.armed = len(b.pending) > 0
	if b.armed {
		time.AfterFunc(batchInterval, b.tick)
	}
}

// Flush writes what waits. It blocks as long as the reader does.
func (b *Batch) Flush() {
	b.writing <- struct{}{}
	defer func() { <-b.writing }()
	b.mu.Lock()
	lines := b.pending
	b.pending, b.spare = b.spare[:0], nil
	b.mu.Unlock()
	if len(lines) > 0 {
		// There is nowhere to report that standard output is gone.
		_, _ = b.out.Write(lines)
	}
	b.mu.Lock()
	b.spare = lines[:0]
	b.mu.Unlock()
}

// TakeDropped returns the number of lines dropped since the last call.
func (b *Batch) TakeDropped() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.dropped
	b.dropped = 0
	return n
}
