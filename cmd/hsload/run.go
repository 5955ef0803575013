package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"

	"github.com/hibiscusspur/hibiscusspur/load"
	"github.com/hibiscusspur/hibiscusspur/load/lab"
)

// errWrongAnswers means that the content of a response was not as expected.
var errWrongAnswers = merry.Sentinel("some responses were wrong")

// runCmd starts the deployments and runs one load against them.
func runCmd() *cobra.Command {
	e := lab.Experiment{Variant: lab.Variant{Name: "default"}}
	var out output
	var size, bin string
	var check bool
	cmd := &cobra.Command{
		Use:   "run",
		Short: "Start both deployments on loopback, offer one load and report",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			e.Bin = binDir(bin)
			e.Deployments = lab.Deployments(size)
			if check {
				e.Check = lab.NewChecker()
			}
			rep, err := e.Run(cmd.Context())
			if err != nil {
				return err
			}
			if err := rep.WriteTable(cmd.OutOrStdout()); err != nil {
				return err
			}
			if err := out.write(rep, rep.WriteHTML); err != nil {
				return err
			}
			if err := reportBreaches(cmd, e.Check); err != nil {
				return err
			}
			return wrongAnswers(rep)
		},
	}
	f := cmd.Flags()
	f.BoolVar(&check, "check", false, "check what must always hold")
	f.StringVar(&size, "size", lab.SizeSmall, "size of the deployments: brief (18 + 3 and 9 + 3 replicas) or small")
	f.Float64Var(&e.Load, "load", 1, "load as a part of the capacity")
	f.Uint64Var(&e.Seed, "seed", 1, "seed of all that is offered")
	f.DurationVar(&e.Warm, "warm", 12*time.Second, "time before the window that is counted")
	f.DurationVar(&e.Window, "window", 15*time.Second, "time that is counted")
	binFlag(cmd, &bin)
	out.flags(cmd)
	return cmd
}

// reportBreaches prints the violations of invariants that the checker found and returns an error if there are any.
func reportBreaches(cmd *cobra.Command, c *lab.Checker) error {
	if c == nil {
		return nil
	}
	found := c.Breaches()
	for _, b := range found {
		fmt.Fprintln(cmd.OutOrStdout(), "BREACH", b)
	}
	if len(found) > 0 {
		return merry.Errorf("%d violations of invariants", len(found))
	}
	fmt.Fprintln(cmd.OutOrStdout(), "checked: no breach")
	return nil
}

func binFlag(cmd *cobra.Command, bin *string) {
	cmd.Flags().StringVar(bin, "bin", "", "directory of the programs hibiscusspur and standin (default: that of hsload)")
}

func binDir(flag string) string {
	if flag != "" {
		return flag
	}
	self, err := os.Executable()
	if err != nil {
		return "bin"
	}
	return filepath.Dir(self)
}

func wrongAnswers(rep *load.Report) error {
	if len(rep.Wrong) > 0 {
		return errWrongAnswers
	}
	return nil
}
