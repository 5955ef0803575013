// Package kernel is the service container of every daemon: services register under a name, look each other up
// by name, start in the order of registration and drain in reverse.
package kernel

import (
	"context"
	"fmt"
	"time"

	"github.com/ansel1/merry/v2"
)

// Service is one part of a daemon.
type Service interface {
	// Name is unique within a kernel.
	Name() string
	// Start makes the service ready and returns; long-running work belongs in goroutines. The service may look
	// up services registered before it.
	Start(ctx context.Context, k *Kernel) error
	// Drain stops accepting new work, finishes what is in progress and returns. When ctx ends it abandons the
	// rest.
	Drain(ctx context.Context) error
}

// Kernel holds the services of one process. Register and Lookup must be called from the goroutine that builds
// and starts it.
type Kernel struct {
	services []Service
	byName   map[string]Service
	started  int
}

// New returns an empty kernel.
func New() *Kernel {
	return &Kernel{byName: make(map[string]Service)}
}

// Register adds a service. A name registered twice is a programming error and panics.
func (k *Kernel) Register(s Service) {
	name := s.Name()
	if _, ok := k.byName[name]; ok {
		panic(fmt.Sprintf("kernel: service %q registered twice", name))
	}
	k.byName[name] = s
	k.services = append(k.services, s)
}

// Lookup returns the service registered under name as a T.
func Lookup[T any](k *Kernel, name string) (T, error) {
	var zero T
	s, ok := k.byName[name]
	if !ok {
		return zero, merry.Errorf("kernel: no service %q", name)
	}
	t, ok := s.(T)
	if !ok {
		return zero, merry.Errorf("kernel: service %q is a %T", name, s)
	}
	return t, nil
}

// Run starts every service, waits for ctx to end, and drains for at most grace. If a service fails to start,
// those started before it are drained.
func (k *Kernel) Run(ctx context.Context, grace time.Duration) error {
	for _, s := range k.services {
		if err := s.Start(ctx, k); err != nil {
			k.drain(grace)
			return merry.Prependf(err, "start %s", s.Name())
		}
		k.started++
	}
	<-ctx.Done()
	return k.drain(grace)
}

func (k *Kernel) drain(grace time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	var first error
	for i := k.started - 1; i >= 0; i-- {
		s := k.services[i]
		if err := s.Drain(ctx); err != nil && first == nil {
			first = merry.Prependf(err, "drain %s", s.Name())
		}
	}
	k.started = 0
	return first
}
