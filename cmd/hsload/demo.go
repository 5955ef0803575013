package main

import (
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"github.com/hibiscusspur/hibiscusspur/contract"
	"github.com/hibiscusspur/hibiscusspur/load"
)

// demoCmd sends a small load of both customers to entries that are already running.
func demoCmd() *cobra.Command {
	run := load.Run{Load: 1, Tag: "demo"}
	var targets []string
	var contracts string
	var out output
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Offer a small load of both customers to running entries and report goodput",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			promised, err := readContracts(contracts)
			if err != nil {
				return err
			}
			run.Flows = load.WithContractTargets(load.DemoFlows(), promised)
			c := load.NewClient(targets)
			defer c.Close()
			rep := run.Summarise("demo", run.Do(cmd.Context(), c), 0, run.Length)
			if err := rep.WriteTable(cmd.OutOrStdout()); err != nil {
				return err
			}
			if err := out.write(rep, rep.WriteHTML); err != nil {
				return err
			}
			return wrongAnswers(rep)
		},
	}
	f := cmd.Flags()
	f.StringSliceVar(&targets, "target", []string{"http://127.0.0.1:8080"}, "base URLs of the entries")
	f.StringVar(&contracts, "contracts", "examples/contracts", "directory of the contracts whose targets are promised")
	f.DurationVar(&run.Length, "duration", 5*time.Second, "time during which requests arrive")
	f.Uint64Var(&run.Seed, "seed", 1, "seed of all that is offered")
	f.StringVar(&run.Tag, "tag", run.Tag, "begin of the request ids; a second run needs another")
	out.flags(cmd)
	return cmd
}

func readContracts(dir string) ([]*contract.Contract, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*.yaml"))
	if err != nil {
		return nil, err
	}
	var out []*contract.Contract
	for _, f := range files {
		data, err := os.ReadFile(f)
		if err != nil {
			return nil, err
		}
		c, err := contract.Parse(f, data)
		if err != nil {
			return nil, err
		}
		out = append(out, c)
	}
	return out, nil
}
