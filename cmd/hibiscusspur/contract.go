package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"

	"github.com/hibiscusspur/hibiscusspur/operator"
)

// defaultHistory is the default number of changes listed by contract history.
const defaultHistory = 50

func contractCmd() *cobra.Command {
	cmd := &cobra.Command{Use: "contract", Short: "Write, change and withdraw customers' contracts"}
	d := newDriver(cmd)
	cmd.AddCommand(
		contractApplyCmd(d), contractDiffCmd(d), contractGetCmd(d), contractListCmd(d),
		contractHistoryCmd(d), contractWithdrawCmd(d), contractStatusCmd(d),
	)
	return cmd
}

// applyFlags are the flags of contract apply and diff.
type applyFlags struct {
	file       string
	prune      bool
	expectHead uint64
}

func (a *applyFlags) add(cmd *cobra.Command) {
	f := cmd.Flags()
	f.StringVarP(&a.file, "file", "f", "", "contract file, or directory of *.yaml and *.yml files")
	f.BoolVar(&a.prune, "prune", false, "withdraw the contracts that the directory doesn't hold")
	f.Uint64Var(&a.expectHead, "expect-head", 0, "refuse unless the head is at this revision")
	_ = cmd.MarkFlagRequired("file")
}

func (a *applyFlags) plan(ctx context.Context, o *operator.Operator, cmd *cobra.Command) (*operator.Plan, error) {
	if info, err := os.Stat(a.file); a.prune && (err != nil || !info.IsDir()) {
		return nil, merry.Append(operator.ErrInput, "--prune needs a directory")
	}
	wanted, err := operator.LoadContracts(a.file)
	if err != nil {
		return nil, err
	}
	var expect *uint64
	if cmd.Flags().Changed("expect-head") {
		expect = &a.expectHead
	}
	return o.Plan(ctx, wanted, expect, operator.Options{Prune: a.prune})
}

func contractApplyCmd(d *driver) *cobra.Command {
	var a applyFlags
	var yes bool
	var wait time.Duration
	cmd := &cobra.Command{
		Use:   "apply -f DIR|FILE",
		Short: "Commit the contracts of files as one change",
		Args:  cobra.NoArgs,
		RunE: d.run(func(ctx context.Context, o *operator.Operator, cmd *cobra.Command, _ []string) error {
			d.wait = wait
			return d.change(ctx, o, cmd, yes, func(ctx context.Context) (*operator.Plan, error) { return a.plan(ctx, o, cmd) })
		}),
	}
	a.add(cmd)
	addYes(cmd, &yes)
	cmd.Flags().DurationVar(&wait, "wait", 0, "wait as long until every process has confirmed the change")
	return cmd
}

func contractDiffCmd(d *driver) *cobra.Command {
	var a applyFlags
	cmd := &cobra.Command{
		Use:   "diff -f DIR|FILE",
		Short: "Show what apply would change",
		Args:  cobra.NoArgs,
		RunE: d.runOnce(func(ctx context.Context, o *operator.Operator, cmd *cobra.Command, _ []string) error {
			p, err := a.plan(ctx, o, cmd)
			if err != nil {
				return err
			}
			return d.show(cmd, p, func(w io.Writer) { showDiff(w, p) })
		}),
	}
	a.add(cmd)
	return cmd
}

func showDiff(w io.Writer, p *operator.Plan) {
	if p.Empty() {
		fmt.Fprintf(w, "nothing to change at revision %d\n", p.Head)
		return
	}
	p.WriteText(w)
	fmt.Fprintf(w, "against revision %d\n", p.Head)
}

func contractGetCmd(d *driver) *cobra.Command {
	return &cobra.Command{
		Use:   "get CUSTOMER",
		Short: "Print a customer's contract",
		Args:  cobra.ExactArgs(1),
		RunE: d.runOnce(func(ctx context.Context, o *operator.Operator, cmd *cobra.Command, args []string) error {
			v, err := o.Contract(ctx, args[0])
			if err != nil {
				return err
			}
			return d.show(cmd, v, func(w io.Writer) { fmt.Fprintf(w, "# revision %d\n%s", v.Revision, v.Body) })
		}),
	}
}

func contractListCmd(d *driver) *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "List all contracts",
		Args:  cobra.NoArgs,
		RunE: d.runOnce(func(ctx context.Context, o *operator.Operator, cmd *cobra.Command, _ []string) error {
			views, head, err := o.Contracts(ctx)
			if err != nil {
				return err
			}
			return d.show(cmd, views, func(w io.Writer) { operator.WriteContracts(w, head, views) })
		}),
	}
}

func contractHistoryCmd(d *driver) *cobra.Command {
	var limit int
	cmd := &cobra.Command{
		Use:   "history [CUSTOMER]",
		Short: "List changes, newest first",
		Args:  cobra.MaximumNArgs(1),
		RunE: d.run(func(ctx context.Context, o *operator.Operator, cmd *cobra.Command, args []string) error {
			customer := ""
			if len(args) > 0 {
				customer = args[0]
			}
			return d.withTimeout(ctx, func(ctx context.Context) error {
				h, err := o.History(ctx, customer, max(limit, 1))
				if err != nil {
					return err
				}
				return d.show(cmd, h, h.WriteText)
			})
		}),
	}
	cmd.Flags().IntVar(&limit, "limit", defaultHistory, "how many changes to list")
	return cmd
}

func contractWithdrawCmd(d *driver) *cobra.Command {
	var yes bool
	cmd := &cobra.Command{
		Use:   "withdraw CUSTOMER",
		Short: "Withdraw a customer's contract",
		Args:  cobra.ExactArgs(1),
		RunE: d.run(func(ctx context.Context, o *operator.Operator, cmd *cobra.Command, args []string) error {
			return d.change(ctx, o, cmd, yes, func(ctx context.Context) (*operator.Plan, error) { return o.PlanWithdraw(ctx, args[0]) })
		}),
	}
	addYes(cmd, &yes)
	return cmd
}

func contractStatusCmd(d *driver) *cobra.Command {
	var change string
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Show the newest revision and which processes have it in force",
		Args:  cobra.NoArgs,
		RunE: d.runOnce(func(ctx context.Context, o *operator.Operator, cmd *cobra.Command, _ []string) error {
			if change != "" {
				return showChange(ctx, d, o, cmd, change)
			}
			s, err := o.Status(ctx)
			if err != nil {
				return err
			}
			return d.show(cmd, s, s.WriteText)
		}),
	}
	cmd.Flags().StringVar(&change, "change", "", "tell what became of the change with this reference")
	return cmd
}

func showChange(ctx context.Context, d *driver, o *operator.Operator, cmd *cobra.Command, change string) error {
	ref, err := operator.ParseRef(change)
	if err != nil {
		return err
	}
	r, err := o.FindChange(ctx, ref)
	if err != nil {
		return err
	}
	return d.show(cmd, r, r.WriteText)
}

func addYes(cmd *cobra.Command, yes *bool) {
	cmd.Flags().BoolVar(yes, "yes", false, "commit without asking")
}
