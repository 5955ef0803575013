package main

import (
	"fmt"
	"runtime"
	"runtime/debug"

	"github.com/spf13/cobra"

	"github.com/hibiscusspur/hibiscusspur/wire"
)

func versionCmd() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version, the protocol number and the Go version",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			_, err := fmt.Fprintf(cmd.OutOrStdout(), "hibiscusspur %s\nprotocol %d\ngo %s\n", version(), wire.Protocol, runtime.Version())
			return err
		},
	}
}

// version returns the version of the module; a development build adds the source revision.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	v := info.Main.Version
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" && v == "(devel)" {
			v += " " + s.Value
		}
	}
	return v
}
