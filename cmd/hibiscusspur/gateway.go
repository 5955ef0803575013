package main

import (
	"context"
	"net"
	"os"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/phuslu/log"
	"github.com/spf13/cobra"

	"github.com/hibiscusspur/hibiscusspur/event"
	"github.com/hibiscusspur/hibiscusspur/fencing"
	"github.com/hibiscusspur/hibiscusspur/gateway"
	"github.com/hibiscusspur/hibiscusspur/holdback"
	"github.com/hibiscusspur/hibiscusspur/metrics"
	"github.com/hibiscusspur/hibiscusspur/platform"
	"github.com/hibiscusspur/hibiscusspur/policy/freshness"
	"github.com/hibiscusspur/hibiscusspur/policy/mechanism"
	"github.com/hibiscusspur/hibiscusspur/policy/retrybudget"
	"github.com/hibiscusspur/hibiscusspur/streamversions"
	"github.com/hibiscusspur/hibiscusspur/upstream"
	"github.com/hibiscusspur/hibiscusspur/vmlink"
)

const (
	// ordersTable and ordersKey identify the row of the lease that entitles one gateway to give orders to engines.
	ordersTable = "hibiscusspur"
	ordersKey   = "orders"
	// storeTimeout bounds a call to the platform's store, which responds within some
	// milliseconds, or a third of a second when it is slow.
	storeTimeout = 1500 * time.Millisecond
	// engineTimeout bounds a control call to an engine, which responds at once.
	engineTimeout = 400 * time.Millisecond
	// serverDialTimeout bounds the opening of a connection to a backend server. It allows for several round trips
	// between regions and the scheduling delay of a small VM. Waiting longer doesn't help: a lost SYN is
	// retransmitted only after a second, and an unresponsive server sends nothing. With 400 ms and a fifth of 117
	// engines unresponsive, requests ran into the timeout 386 times in four seconds, and were past their latency
	// objective or rejected for it.
	serverDialTimeout = 150 * time.Millisecond
	// drainMargin is the part of the time between SIGTERM and SIGKILL that is not used for draining.
	drainMargin = 300 * time.Millisecond
)

func gatewayCmd() *cobra.Command {
	var names []string
	c := &cobra.Command{
		Use:   "gateway",
		Short: "Forward requests to the backend servers of the users' platform",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			off, err := mechanism.Parse(names)
			if err != nil {
				return merry.Prepend(err, "--policy-off")
			}
			return runGateway(off)
		},
	}
	c.Flags().StringSliceVar(&names, "policy-off", nil, "mechanisms to switch off, separated by commas")
	return c
}

func runGateway(off mechanism.Set) error {
	path := os.Getenv(platform.SettingsEnv)
	if path == "" {
		return merry.Errorf("the environment variable %s must name the settings file", platform.SettingsEnv)
	}
	set, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	l, batch := event.NewBatched("gateway", set.VM, log.InfoLevel)
	defer batch.Flush()
	vmLink := vmlink.New(set.LinkBytesPerSecond)
	limitRuntime(set.MemoryBytes)
	pool := upstream.New(upstream.Options{DialTimeout: serverDialTimeout, Link: vmLink})
	store := platform.NewStore(upstream.New(upstream.Options{Link: vmLink}), set.StoreAddr, storeTimeout)
	engines := platform.NewEngines(pool, engineTimeout)
	s := gateway.New(gatewaySettings(set, off), gateway.Deps{
		Store:   store,
		Codec:   platform.Codec{},
		Engines: engines,
		Orders:  engines,
		Lease:   fencing.New(store.Table(ordersTable), ordersKey, set.VM, nil),
		Holds:   store.Table(holdback.TableName), Versions: store.Table(streamversions.TableName), Streams: store.Table(streamversions.StreamsTableName),
		Pool: pool, Link: vmLink, Log: l, Batch: batch, Metrics: metrics.NewSet(),
	})
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go watchSettings(ctx, l, path, func(set platform.Settings) {
		store.SetAddr(set.StoreAddr)
		s.Reload(gatewaySettings(set, off))
	})
	return runDaemon(l, s, set.DrainTimeout-drainMargin)
}

func gatewaySettings(set platform.Settings, off mechanism.Set) gateway.Settings {
	return gateway.Settings{
		VM: set.VM, Zone: set.Zone,
		ClientAddr: set.ClientAddr, ReadyAddr: set.ReadyAddr, ControlAddr: set.ControlAddr, Seeds: set.Seeds,
		Datagrams:   set.PortRange[0],
		MetricsAddr: net.JoinHostPort(set.IP, strconv.Itoa(set.PortRange[0])),
		Drain:       set.DrainTimeout, Notice: gateway.DefaultNotice,
		Retry:     retrybudget.Limits{Ratio: set.Retry.Ratio, Window: set.Retry.Window, Slack: set.Retry.Slack},
		Freshness: freshnessBounds(set), MemoryBytes: set.MemoryBytes, MaxFiles: set.MaxFiles,
		Off: off,
	}
}

// freshnessBounds returns how long a configuration is trusted without a proof that it is the newest.
func freshnessBounds(set platform.Settings) freshness.Bounds {
	if !set.FailClosed {
		return freshness.Bounds{}
	}
	return freshness.Bounds{Revoke: set.RevokeTimeout}
}
