package main

import (
	"net/netip"
	"strconv"

	"github.com/spf13/cobra"

	port "github.com/hibiscusspur/hibiscusspur/engine"
	"github.com/hibiscusspur/hibiscusspur/standin/engine"
	"github.com/hibiscusspur/hibiscusspur/standin/fault"
)

// engineCmd runs stand-ins of model engines until SIGINT or SIGTERM.
func engineCmd() *cobra.Command {
	cfg := engine.DefaultConfig()
	var listen, role string
	var count int
	cmd := &cobra.Command{
		Use:   "engine",
		Short: "Run a stand-in for a model engine",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			cfg.Role = port.Role(role)
			return runEngines(cmd, listen, cfg, count)
		},
	}
	f := cmd.Flags()
	f.StringVar(&listen, "listen", "127.0.0.1:9000", "address to listen on")
	f.IntVar(&count, "count", 1, "engines in this process, on consecutive ports, with ids that end in -1, -2 and so on")
	f.StringVar(&cfg.Source, "advertise", "", "base URL for other engines (default http://LISTEN)")
	f.StringVar(&cfg.ID, "id", cfg.ID, "id of the engine")
	f.StringVar(&cfg.Zone, "zone", cfg.Zone, "availability zone")
	f.StringVar(&role, "role", string(cfg.Role), "prefill, decode or mixed")
	f.StringSliceVar(&cfg.Models, "models", cfg.Models, "models served")
	f.IntVar(&cfg.Places, "places", cfg.Places, "decode places")
	f.IntVar(&cfg.MaxWaiting, "max-waiting", cfg.MaxWaiting, "bound of the queue for places, and of that for prefill")
	f.DurationVar(&cfg.StepBase, "step-base", cfg.StepBase, "time of a decode step")
	f.DurationVar(&cfg.StepPerRun, "step-per-run", cfg.StepPerRun, "time of a decode step for each run in it")
	f.Float64Var(&cfg.PrefillRate, "prefill-rate", cfg.PrefillRate, "uncached prefill tokens per second")
	f.IntVar(&cfg.CacheTokens, "cache-tokens", cfg.CacheTokens, "size of the prefix cache in tokens")
	f.Int64Var(&cfg.KVBytesPerToken, "kv-bytes-per-token", cfg.KVBytesPerToken, "size of the KV cache of a token")
	f.Float64Var(&cfg.LinkRate, "link-rate", cfg.LinkRate, "inbound KV link in bytes per second")
	f.DurationVar(&cfg.KVTTL, "kv-ttl", cfg.KVTTL, "life of an exported KV cache")
	f.DurationVar(&cfg.Retain, "retain", cfg.Retain, "how long the output of an ended run is kept")
	f.DurationVar(&cfg.LoadLag, "load-lag", cfg.LoadLag, "interval of the load report")
	f.DurationVar(&cfg.EventDelay, "event-delay", cfg.EventDelay, "delay of cache events")
	f.Float64Var(&cfg.EventLoss, "event-loss", cfg.EventLoss, "share of cache events lost")
	f.Uint64Var(&cfg.Seed, "seed", cfg.Seed, "seed of the losses")
	f.BoolVar(&cfg.CheckFence, "check-fence", cfg.CheckFence, "refuse orders with an old fencing number")
	return cmd
}

// runEngines serves count engines until SIGINT or SIGTERM.
func runEngines(cmd *cobra.Command, listen string, cfg engine.Config, count int) error {
	logger := newLogger("standin-engine", cfg.ID)
	base, err := netip.ParseAddrPort(listen)
	if err != nil {
		return err
	}
	var listeners []listener
	for i := range count {
		addr := netip.AddrPortFrom(base.Addr(), base.Port()+uint16(i)).String()
		c := engineConfig(cfg, addr, i, count)
		node := engine.NewNode(c)
		defer node.Close()
		listeners = append(listeners, listener{addr, engine.NewHandler(node, fault.NewSet(logger))})
	}
	return serve(cmd, logger, listeners...)
}

// engineConfig returns the configuration of engine i of count, which listens on addr.
func engineConfig(cfg engine.Config, addr string, i, count int) engine.Config {
	if cfg.Source == "" || count > 1 {
		cfg.Source = "http://" + addr
	}
	if count > 1 {
		cfg.ID += "-" + strconv.Itoa(i+1)
		cfg.Seed += uint64(i)
	}
	return cfg
}
