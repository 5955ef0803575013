package event

import (
	"io"
	"os"
	"sync"
	"time"

	"github.com/phuslu/log"
)

const (
	// batchBytes bounds the buffered lines: about 150 of 400 bytes, more than a gateway
	// writes in batchInterval under its highest load.
	batchBytes = 64 << 10
	// batchInterval is how long lines are buffered before they are written together.
	batchInterval = 100 * time.Millisecond
)

// Batch is a buffered log writer that writes in the background, many lines per system
// call. It never blocks its caller: while the reader of the output is slow, lines that
// don't fit the buffer are counted and dropped.
type Batch struct {
	out io.Writer

	mu      sync.Mutex
	pending []byte
	spare   []byte
	dropped int64
	// armed is true while lines are buffered or being written: then exactly one timer
	// or one background write is pending.
	armed bool
	// writing is a mutex that is held while bytes are written.
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

// Write implements io.Writer. It buffers the whole line or drops it.
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

// tick writes the buffered lines, and rearms the timer if more were added meanwhile.
func (b *Batch) tick() {
	b.Flush()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.armed = len(b.pending) > 0
	if b.armed {
		time.AfterFunc(batchInterval, b.tick)
	}
}

// Flush writes the buffered lines. It blocks as long as the output does.
func (b *Batch) Flush() {
	b.writing <- struct{}{}
	defer func() { <-b.writing }()
	b.mu.Lock()
	lines := b.pending
	b.pending, b.spare = b.spare[:0], nil
	b.mu.Unlock()
	if len(lines) > 0 {
		// A failure of the log output itself can't be reported anywhere.
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
