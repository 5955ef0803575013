package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/phuslu/log"
	"github.com/spf13/cobra"

	"github.com/hibiscusspur/hibiscusspur/config"
	"github.com/hibiscusspur/hibiscusspur/entry"
	"github.com/hibiscusspur/hibiscusspur/event"
	"github.com/hibiscusspur/hibiscusspur/httpserver"
	"github.com/hibiscusspur/hibiscusspur/internal/memory"
	"github.com/hibiscusspur/hibiscusspur/kernel"
	"github.com/hibiscusspur/hibiscusspur/metrics"
	"github.com/hibiscusspur/hibiscusspur/operator"
	"github.com/hibiscusspur/hibiscusspur/sidecar"
	"github.com/hibiscusspur/hibiscusspur/vmmemory"
)

// report prints the error of a command with advice, and returns the exit code.
func report(err error) int {
	r := operator.ReportOf(err)
	fmt.Fprintln(os.Stderr, "hibiscusspur:", r.Text())
	return int(r.Code)
}

func entryCmd() *cobra.Command {
	return daemonCmd("entry", "Take callers' requests and place them on backend servers", func(file string) error {
		set := entry.DefaultSettings()
		if err := config.Load(file, &set); err != nil {
			return err
		}
		limitRuntime(set.Bounds.MemoryBytes)
		l := event.New("entry", set.ID, log.ParseLevel(set.LogLevel))
		return runDaemon(l, entry.New(set, l, metrics.NewSet()), set.Timing.Drain)
	})
}

func sidecarCmd() *cobra.Command {
	return daemonCmd("sidecar", "Admit and run work on the backend server of this VM", func(file string) error {
		set := sidecar.DefaultSettings()
		if err := config.Load(file, &set); err != nil {
			return err
		}
		limitRuntime(set.Bounds.MemoryBytes)
		l := event.New("sidecar", set.ID, log.ParseLevel(set.LogLevel))
		return runDaemon(l, sidecar.New(set, l, metrics.NewSet()), set.Timing.Drain)
	})
}

func daemonCmd(name, short string, run func(file string) error) *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:   name,
		Short: short,
		Args:  cobra.NoArgs,
		RunE:  func(*cobra.Command, []string) error { return run(file) },
	}
	cmd.Flags().StringVar(&file, "settings", "", "settings file (YAML)")
	_ = cmd.MarkFlagRequired("settings")
	return cmd
}

// limitRuntime sets the memory limit of the Go runtime for a VM of some bytes; zero stands for what the machine has.
func limitRuntime(vmBytes int64) {
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(vmmemory.RuntimeLimit(vmBytes))
	}
}

// runDaemon runs a service until SIGTERM or SIGINT, then drains it.
func runDaemon(l *log.Logger, s kernel.Service, drain time.Duration) error {
	httpserver.RouteLogs(l)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	memory.Trim(ctx)
	k := kernel.New()
	k.Register(s)
	event.Started.Emit(l)
	context.AfterFunc(ctx, func() { event.Draining.Emit(l) })
	err := k.Run(ctx, drain)
	event.Stopped.Emit(l)
	return err
}
