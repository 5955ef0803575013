package main

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"

	"github.com/hibiscusspur/hibiscusspur/entry"
	"github.com/hibiscusspur/hibiscusspur/fingerprint"
	"github.com/hibiscusspur/hibiscusspur/holdback"
	"github.com/hibiscusspur/hibiscusspur/operator"
	"github.com/hibiscusspur/hibiscusspur/platform"
	"github.com/hibiscusspur/hibiscusspur/store"
	"github.com/hibiscusspur/hibiscusspur/upstream"
)

// heldDriver runs the commands on quarantined requests with their shared flags. The holds of gateways are in the store of
// the users' platform, those of entries in the platform's table.
type heldDriver struct{ store, platform, settings, format string }

func heldCmd() *cobra.Command {
	d := &heldDriver{}
	c := &cobra.Command{Use: "held", Short: "Requests that gateways or entries hold back, since servers end under them"}
	c.PersistentFlags().StringVar(&d.store, "store", "", "holds of gateways: address of the users' platform's store, ip:port")
	c.PersistentFlags().StringVar(&d.platform, "platform", "", "holds of entries: base URL of the platform's table")
	c.PersistentFlags().StringVar(&d.settings, "settings", "", "holds of entries: settings file (YAML) with the platform and TLS files")
	c.PersistentFlags().StringVarP(&d.format, "output", "o", formatText, "text or json")
	c.AddCommand(
		&cobra.Command{
			Use: "list", Short: "Show the requests that are held back", Args: cobra.NoArgs,
			RunE: func(cmd *cobra.Command, _ []string) error {
				return d.with(cmd.Context(), func(ctx context.Context, t store.Table) error { return d.list(ctx, t, cmd.OutOrStdout()) })
			},
		},
		&cobra.Command{
			Use: "release DIGEST", Short: "Have all gateways or entries let a request through", Args: cobra.ExactArgs(1),
			RunE: func(cmd *cobra.Command, args []string) error {
				if _, err := fingerprint.Parse(args[0]); err != nil {
					return merry.Appendf(operator.ErrInput, "DIGEST: %v", err)
				}
				return d.with(cmd.Context(), func(ctx context.Context, t store.Table) error { return holdback.Release(ctx, t, args[0]) })
			},
		},
	)
	return c
}

// with validates the flags and runs f on the table of quarantined requests.
func (d *heldDriver) with(ctx context.Context, f func(context.Context, store.Table) error) error {
	if err := checkFormat(d.format); err != nil {
		return err
	}
	if ctx == nil {
		ctx = context.Background()
	}
	t, err := d.table()
	if err != nil {
		return err
	}
	return f(ctx, t)
}

// table returns the table that the flags name.
func (d *heldDriver) table() (store.Table, error) {
	if d.platform != "" || d.settings != "" {
		if d.store != "" {
			return nil, merry.Append(operator.ErrInput, "give either --store, or --platform or --settings")
		}
		set, err := (&driver{platform: d.platform, settings: d.settings}).load()
		if err != nil {
			return nil, err
		}
		t, err := set.Table()
		if err != nil {
			return nil, err
		}
		return holdback.NewPolledTable(t, entry.HoldPrefix, 0), nil
	}
	if _, err := netip.ParseAddrPort(d.store); err != nil {
		return nil, merry.Appendf(operator.ErrInput, "--store must be ip:port, is %q", d.store)
	}
	return platform.NewStore(upstream.New(upstream.Options{}), d.store, storeTimeout).Table(holdback.TableName), nil
}

func (d *heldDriver) list(ctx context.Context, t store.Table, out io.Writer) error {
	held, err := holdback.List(ctx, t)
	if err != nil {
		return err
	}
	if d.format == formatJSON {
		return writeJSON(out, held)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "DIGEST\tBEGUN\tUNTIL\tSERVERS")
	for _, k := range held {
		if k.Fault != "" {
			_, _ = fmt.Fprintf(w, "%s\tnot understood: %s\n", k.Content, k.Fault)
			continue
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", k.Content, k.Begun.Format(time.RFC3339), k.Until().Format(time.RFC3339), strings.Join(k.Servers, " "))
	}
	return w.Flush()
}
