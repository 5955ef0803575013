package main

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"github.com/hibiscusspur/hibiscusspur/load"
	"github.com/hibiscusspur/hibiscusspur/load/lab"
)

// faultCmd injects one fault under load, or lists all fault scenarios.
func faultCmd() *cobra.Command {
	e := lab.Experiment{Variant: lab.Variant{Name: "default"}}
	p := load.Phases{Lookback: 8 * time.Second}
	var before, during, after time.Duration
	var size, bin string
	var out output
	cmd := &cobra.Command{
		Use:   "fault [NAME]",
		Short: "Meet one fault under load and report goodput before, during and after",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if len(args) == 0 {
				return listScenarios(cmd)
			}
			s, err := lab.ScenarioByName(args[0])
			if err != nil {
				return err
			}
			p.Begin = p.Warm + before + p.Lookback
			p.End = p.Begin + during
			p.Length = p.End + after
			e.Bin, e.Deployments = binDir(bin), lab.Deployments(size)
			rep, err := s.Run(cmd.Context(), e, p)
			if err != nil {
				return err
			}
			if err := rep.WriteTable(cmd.OutOrStdout()); err != nil {
				return err
			}
			if err := out.write(rep, rep.Run.WriteHTML); err != nil {
				return err
			}
			return wrongAnswers(rep.Run)
		},
	}
	f := cmd.Flags()
	f.StringVar(&size, "size", lab.SizeFull, "size of the deployments: brief or small")
	f.Float64Var(&e.Load, "load", 0.9, "load as a part of the capacity")
	f.Uint64Var(&e.Seed, "seed", 1, "seed of all that is offered")
	f.DurationVar(&p.Warm, "warm", 8*time.Second, "time that is not counted")
	f.DurationVar(&before, "before", 10*time.Second, "time counted before the fault")
	f.DurationVar(&during, "during", 10*time.Second, "length of the fault")
	f.DurationVar(&after, "after", 15*time.Second, "time counted after the fault")
	binFlag(cmd, &bin)
	out.flags(cmd)
	return cmd
}

func listScenarios(cmd *cobra.Command) error {
	for _, s := range lab.Scenarios() {
		fmt.Fprintf(cmd.OutOrStdout(), "%-14s %s\n", s.Name, s.Description)
	}
	return nil
}
