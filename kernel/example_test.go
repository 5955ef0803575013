package kernel_test

import (
	"context"
	"fmt"
	"time"

	"github.com/hibiscusspur/hibiscusspur/kernel"
)

// step is a service that prints its name when it starts and drains.
type step struct{ name string }

func (s step) Name() string { return s.name }

func (s step) Start(context.Context, *kernel.Kernel) error {
	fmt.Println("start", s.name)
	return nil
}

func (s step) Drain(context.Context) error {
	fmt.Println("drain", s.name)
	return nil
}

// Services start in the order of registration and drain in reverse.
func Example() {
	k := kernel.New()
	k.Register(step{"configuration"})
	k.Register(step{"listener"})
	ctx, stop := context.WithCancel(context.Background())
	stop() // as SIGTERM would
	fmt.Println(k.Run(ctx, time.Second))
	// Output:
	// start configuration
	// start listener
	// drain listener
	// drain configuration
	// <nil>
}
