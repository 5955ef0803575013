package main

import (
	"fmt"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"github.com/hibiscusspur/hibiscusspur/load"
	"github.com/hibiscusspur/hibiscusspur/load/lab"
)

// comparison holds the flags and settings of compareCmd.
type comparison struct {
	lab.Comparison
	size, bin, file string
	only            []string
	seeds           int
	quick           bool
	out             output
}

// compareCmd compares the policy with the baselines under the same load.
func compareCmd() *cobra.Command {
	var c comparison
	cmd := &cobra.Command{
		Use:   "compare",
		Short: "Run the policy and all baselines at several loads and seeds, and print their ratios",
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return c.run(cmd) },
	}
	f := cmd.Flags()
	f.StringVar(&c.size, "size", lab.SizeFull, "size of the deployments: brief (18 + 3 and 9 + 3 replicas) or small")
	f.Float64SliceVar(&c.Loads, "loads", []float64{0.7, 0.9, 1, 1.2, 1.5}, "loads as parts of the capacity")
	f.IntVar(&c.seeds, "seeds", 3, "number of seeds, from 1 on")
	f.DurationVar(&c.Base.Warm, "warm", 12*time.Second, "time before the window that is counted")
	f.DurationVar(&c.Base.Window, "window", 15*time.Second, "time that is counted")
	f.IntVar(&c.Parallel, "parallel", 2, "experiments at the same time; one in the brief's size is about 50 processes")
	f.StringVar(&c.file, "variants", "", "YAML file with a list of variants in place of the built-in one; the first is compared with its baselines")
	f.StringSliceVar(&c.only, "only", nil, "names of the variants to run (default: all)")
	f.BoolVar(&c.quick, "quick", false, "small size, one seed, loads 0.9 and 1.2, short window")
	binFlag(cmd, &c.bin)
	c.out.flags(cmd)
	return cmd
}

func (c *comparison) run(cmd *cobra.Command) error {
	if c.quick {
		c.size, c.seeds, c.Loads = lab.SizeSmall, 1, []float64{0.9, 1.2}
		c.Base.Warm, c.Base.Window = 5*time.Second, 8*time.Second
	}
	if err := c.variants(); err != nil {
		return err
	}
	c.Base.Bin, c.Base.Deployments = binDir(c.bin), lab.Deployments(c.size)
	for i := range c.seeds {
		c.Seeds = append(c.Seeds, uint64(i+1))
	}
	c.Done = func(rep *load.Report) {
		fmt.Fprintln(cmd.ErrOrStderr(), time.Now().Format(time.TimeOnly), summaryLine(rep))
	}
	reports, err := c.Run(cmd.Context())
	if err != nil {
		return err
	}
	return c.report(cmd, reports)
}

func (c *comparison) variants() error {
	c.Variants = lab.Variants()
	if c.file != "" {
		var err error
		if c.Variants, err = lab.ReadVariants(c.file); err != nil {
			return err
		}
	}
	if len(c.only) > 0 {
		c.Variants = slices.DeleteFunc(c.Variants, func(v lab.Variant) bool { return !slices.Contains(c.only, v.Name) })
	}
	return nil
}

func (c *comparison) report(cmd *cobra.Command, reports []*load.Report) error {
	all := &load.Comparison{Loads: c.Loads, Seeds: c.Seeds, Reports: reports}
	for _, v := range c.Variants {
		all.Variants = append(all.Variants, v.Name)
		if v.Baseline {
			all.Baselines = append(all.Baselines, v.Name)
		}
	}
	if err := all.WriteTable(cmd.OutOrStdout()); err != nil {
		return err
	}
	all.WriteTargets(cmd.OutOrStdout())
	if err := c.out.write(all, all.WriteHTML); err != nil {
		return err
	}
	for _, rep := range reports {
		if err := wrongAnswers(rep); err != nil {
			return err
		}
	}
	return nil
}

// summaryLine returns the result of one experiment in one line.
func summaryLine(rep *load.Report) string {
	s := fmt.Sprintf("%-12s load %3.0f %% seed %d late p99 %.0f ms:", rep.Name, 100*rep.Load, rep.Seed, rep.Late.P99)
	for _, c := range rep.Classes {
		s += fmt.Sprintf(" %s %.1f %%", c.Class, 100*c.GoodShare)
	}
	for _, p := range rep.Prefill {
		if p.Wasted > 0 {
			s += fmt.Sprintf(" wasted %s %.1f %%", p.Group, 100*p.Share())
		}
	}
	if len(rep.Wrong) > 0 {
		s += " WRONG ANSWERS"
	}
	return s
}
