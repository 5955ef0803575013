// Command standin runs small stand-ins of the platform, the model engines and plain
// services, for tests and demonstrations.
package main

import (
	"context"
	"os"

	"github.com/spf13/cobra"
)

func main() {
	root := &cobra.Command{
		Use:          "standin",
		Short:        "Stand-ins of the platform, engines and plain services",
		SilenceUsage: true,
	}
	root.AddCommand(engineCmd(), platformCmd(), serviceCmd())
	if err := root.ExecuteContext(context.Background()); err != nil {
		os.Exit(1)
	}
}
