package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/phuslu/log"
	"github.com/spf13/cobra"

	"github.com/hibiscusspur/hibiscusspur/event"
	"github.com/hibiscusspur/hibiscusspur/httpserver"
	"github.com/hibiscusspur/hibiscusspur/load/capacity"
)

// capacityCmd measures the resource use at several sizes and fits the slopes that docs/CAPACITY.md lists.
func capacityCmd() *cobra.Command {
	var o capacity.Options
	var file, bin string
	cmd := &cobra.Command{
		Use:   "capacity",
		Short: "Measure what an entry and a sidecar spend at several sizes, and fit lines",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			httpserver.RouteLogs(event.New("hsload", "capacity", log.WarnLevel))
			o.Bin = binDir(bin)
			o.Done = func(s capacity.Section) {
				fmt.Fprintln(cmd.ErrOrStderr(), time.Now().Format(time.TimeOnly), s.Title)
			}
			rep, err := capacity.Run(cmd.Context(), o)
			if tableErr := rep.WriteTable(cmd.OutOrStdout()); err == nil {
				err = tableErr
			}
			if jsonErr := writeJSON(file, rep); err == nil {
				err = jsonErr
			}
			return err
		},
	}
	f := cmd.Flags()
	f.BoolVar(&o.Quick, "quick", false, "small sizes and short windows")
	f.StringSliceVar(&o.Only, "only", nil, "measurements to take, of "+strings.Join(capacity.Names(), ", ")+" (default: all)")
	f.StringVar(&file, "json", "", "write the figures as JSON to this file")
	binFlag(cmd, &bin)
	return cmd
}

func writeJSON(file string, report any) error {
	if file == "" {
		return nil
	}
	data, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(file, append(data, '\n'), 0o644)
}
