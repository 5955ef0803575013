// Command hibiscusspur contains the daemons of the router and the operator commands.
package main

import (
	"os"

	"github.com/spf13/cobra"
)

func main() {
	root := &cobra.Command{
		Use:           "hibiscusspur",
		Short:         "Router for separate prefill and decode pools",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(entryCmd(), sidecarCmd(), gatewayCmd(), heldCmd(), accessCmd(), serversCmd(), contractCmd(), backendCmd(), configCmd(), versionCmd())
	if err := root.Execute(); err != nil {
		os.Exit(report(err))
	}
}
