// Package scheddelay measures how long goroutines wait for the processor once they have something to do. It sends a byte
// through a pipe, as requests and their answers come through sockets: what receives it waits behind everything else that
// the process has to do. While the process has nothing to do, or is stopped between two probes, the delay is next to nothing.
package scheddelay

import (
	"os"
	"time"

	"github.com/ansel1/merry/v2"
)

// Probe measures scheduling delays, one after the other. It is not safe for concurrent use.
type Probe struct {
	r, w     *os.File
	received chan error
}

// New returns a Probe; Close ends it.
func New() (*Probe, error) {
	r, w, err := os.Pipe()
	if err != nil {
		return nil, merry.Prepend(err, "pipe of the probe of scheduling delays")
	}
	p := &Probe{r: r, w: w, received: make(chan error, 1)}
	go p.receive()
	return p, nil
}

// receive reads what Measure sends until the pipe is closed.
func (p *Probe) receive() {
	var b [1]byte
	for {
		_, err := p.r.Read(b[:])
		p.received <- err
		if err != nil {
			return
		}
	}
}

// Measure blocks for as long as a goroutine waits for the processor, and returns that time.
func (p *Probe) Measure() (time.Duration, error) {
	sent := time.Now()
	if _, err := p.w.Write([]byte{0}); err != nil {
		return 0, merry.Prepend(err, "probe of scheduling delays")
	}
	if err := <-p.received; err != nil {
		return 0, merry.Prepend(err, "probe of scheduling delays")
	}
	return time.Since(sent), nil
}

// Close ends the probe.
func (p *Probe) Close() {
	// Nothing is lost with the pipe.
	_ = p.w.Close()
	_ = p.r.Close()
}
