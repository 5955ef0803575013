package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"

	"github.com/hibiscusspur/hibiscusspur/operator"
)

// Defaults of config compact.
const (
	defaultKeep     = 7 * 24 * time.Hour
	defaultKeepLog  = 30 * 24 * time.Hour
	defaultInterval = time.Second
)

func configCompactCmd() *cobra.Command {
	var opts operator.CompactOptions
	var yes bool
	cmd := &cobra.Command{
		Use:   "compact",
		Short: "Remove backend servers retired long ago, old log rows and traces of deleted records",
		Args:  cobra.NoArgs,
	}
	d := newDriver(cmd)
	cmd.RunE = d.run(func(ctx context.Context, o *operator.Operator, cmd *cobra.Command, _ []string) error {
		opts.Step = d.timeout
		return d.compact(ctx, o, cmd, opts, yes)
	})
	f := cmd.Flags()
	f.DurationVar(&opts.Keep, "keep", defaultKeep, "how long the record of a retired backend server stays")
	f.DurationVar(&opts.KeepLog, "keep-log", defaultKeepLog, "how long log rows stay")
	f.DurationVar(&opts.Interval, "pause", defaultInterval, "rest after each transaction of at most 100 rows")
	f.BoolVar(&yes, "yes", false, "compact without asking")
	return cmd
}

// compact shows what would be removed, asks for confirmation unless yes is set, and compacts.
// The timeout applies to each step, not to the whole compaction.
func (d *driver) compact(ctx context.Context, o *operator.Operator, cmd *cobra.Command, opts operator.CompactOptions, yes bool) error {
	if err := opts.Check(); err != nil {
		return err
	}
	if d.format == formatJSON && !yes {
		return merry.Append(operator.ErrInput, "--output json needs --yes")
	}
	if !yes {
		err := d.withTimeout(ctx, func(ctx context.Context) error { return showExpired(ctx, o, cmd, opts) })
		if err != nil {
			return err
		}
		if !confirm(cmd, "Compact?") {
			return operator.ErrDeclined
		}
	}
	r, err := o.Compact(ctx, opts)
	if err != nil {
		return err
	}
	return d.show(cmd, r, r.WriteText)
}

func showExpired(ctx context.Context, o *operator.Operator, cmd *cobra.Command, opts operator.CompactOptions) error {
	ids, _, err := o.Expired(ctx, opts.Keep)
	if err != nil {
		return err
	}
	out := cmd.OutOrStdout()
	for _, id := range ids {
		fmt.Fprintln(out, "remove backends/"+id)
	}
	writeRetention(out, opts)
	return nil
}

func writeRetention(w io.Writer, opts operator.CompactOptions) {
	fmt.Fprintf(w, "delete log rows older than %v, with the tombstones of their revisions\n", opts.KeepLog)
	fmt.Fprintf(w, "delete confirmations older than %v\n", operator.KeepConfirmations)
}
