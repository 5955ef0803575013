package main

import (
	"github.com/spf13/cobra"

	"github.com/hibiscusspur/hibiscusspur/standin/fault"
	"github.com/hibiscusspur/hibiscusspur/standin/service"
)

// serviceCmd runs the stand-in of a plain service until SIGINT or SIGTERM.
func serviceCmd() *cobra.Command {
	var cfg service.Config
	var listen string
	cmd := &cobra.Command{
		Use:   "service",
		Short: "Run a stand-in for a plain service",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			logger := newLogger("standin-service", cfg.ID)
			return serve(cmd, logger, listener{listen, service.New(cfg, fault.NewSet(logger))})
		},
	}
	f := cmd.Flags()
	f.StringVar(&listen, "listen", "127.0.0.1:9100", "address to listen on")
	f.StringVar(&cfg.ID, "id", "service", "id of the service, shown in answers")
	f.StringVar(&cfg.IDHeader, "id-header", service.DefaultIDHeader, "request header by which calls are counted")
	f.DurationVar(&cfg.Work, "work", 0, "time that each call takes")
	return cmd
}
