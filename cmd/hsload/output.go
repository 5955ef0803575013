package main

import (
	"encoding/json"
	"io"
	"os"

	"github.com/spf13/cobra"
)

// output holds the files that a report is written to besides standard output.
type output struct {
	json, html string
}

func (o *output) flags(cmd *cobra.Command) {
	cmd.Flags().StringVar(&o.json, "json", "", "write the report as JSON to this file")
	cmd.Flags().StringVar(&o.html, "html", "", "write the report as one HTML file with plots")
}

func (o *output) write(report any, html func(io.Writer) error) error {
	if o.json != "" {
		data, err := json.MarshalIndent(report, "", "  ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(o.json, append(data, '\n'), 0o644); err != nil {
			return err
		}
	}
	if o.html == "" {
		return nil
	}
	f, err := os.Create(o.html)
	if err != nil {
		return err
	}
	if err := html(f); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}
