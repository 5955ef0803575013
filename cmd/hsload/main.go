// Command hsload is a load generator: it sends load to the entries and measures the
// responses. For experiments it starts whole deployments as child processes on loopback.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	root := &cobra.Command{
		Use:           "hsload",
		Short:         "Load, measurements and experiments",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(runCmd(), demoCmd(), askCmd(), awaitCmd(), compareCmd(), faultCmd(), capacityCmd())
	if err := root.ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "hsload:", err)
		stop()
		os.Exit(1)
	}
}
