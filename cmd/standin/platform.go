package main

import (
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/hibiscusspur/hibiscusspur/event"
	"github.com/hibiscusspur/hibiscusspur/standin/platform"
)

// platformCmd runs the stand-in of the platform until SIGINT or SIGTERM.
func platformCmd() *cobra.Command {
	var o platform.Options
	cmd := &cobra.Command{
		Use:   "platform",
		Short: "Serve the table, objects, VM list and weights of the platform from memory",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runPlatform(cmd, o)
		},
	}
	f := cmd.Flags()
	f.StringVar(&o.Listen, "listen", "127.0.0.1:7001", "TCP address to listen on")
	f.Float64Var(&o.ReadsPerSecond, "reads", 2000, "reads per second of the table and objects together; 0 for no limit")
	f.Float64Var(&o.WritesPerSecond, "writes", 400, "writes per second of the table and objects together; 0 for no limit")
	f.DurationVar(&o.QueueTime, "queue", time.Second, "longest wait for a limit; calls that would wait longer get 503")
	f.DurationVar(&o.ReadLatency, "read-latency", 0, "time added to each read")
	f.DurationVar(&o.WriteLatency, "write-latency", 0, "time added to each write")
	f.DurationVar(&o.VMLag, "vm-lag", 0, "how long the list of VMs hides a change")
	f.Float64Var(&o.WeightBytesPerSecond, "weight-rate", 0, "bytes per second of all weight readers together; 0 for no limit")
	return cmd
}

func runPlatform(cmd *cobra.Command, o platform.Options) error {
	ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	logger := newLogger("standin-platform", "platform")
	s, err := platform.Start(o)
	if err != nil {
		return err
	}
	event.Started.Log(logger).Str("listen", s.Addr()).Msg("")
	<-ctx.Done()
	s.Stop()
	event.Stopped.Emit(logger)
	return nil
}
