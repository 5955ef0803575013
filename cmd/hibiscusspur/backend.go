package main

import (
	"context"
	"io"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"

	"github.com/hibiscusspur/hibiscusspur/contract"
	"github.com/hibiscusspur/hibiscusspur/operator"
)

func backendCmd() *cobra.Command {
	cmd := &cobra.Command{Use: "backend", Short: "Add and retire backend servers"}
	d := newDriver(cmd)
	cmd.AddCommand(backendAddCmd(d), backendRetireCmd(d), backendListCmd(d))
	return cmd
}

// backendFlags are the flags that describe backend servers, in files or one server by flags.
type backendFlags struct {
	file   string
	record contract.Backend
}

func (b *backendFlags) add(cmd *cobra.Command) {
	f := cmd.Flags()
	f.StringVarP(&b.file, "file", "f", "", "backend file, or directory of *.yaml and *.yml files")
	f.StringVar(&b.record.ID, "id", "", "id of the VM")
	f.StringVar(&b.record.Address, "address", "", "ip:port of its sidecar")
	f.StringVar(&b.record.Zone, "zone", "", "availability zone")
	f.StringVar(&b.record.Role, "role", "", "prefill, decode, mixed or service")
	f.StringSliceVar(&b.record.Models, "models", nil, "models, or plain services, that it serves")
	f.BoolVar(&b.record.ChecksFence, "checks-fence", false, "the server itself refuses orders with an old fencing number")
	cmd.MarkFlagsMutuallyExclusive("file", "id")
	cmd.MarkFlagsOneRequired("file", "id")
}

func (b *backendFlags) wanted() (operator.Desired, error) {
	if b.file != "" {
		return operator.LoadBackends(b.file)
	}
	return operator.DesiredBackend(&b.record)
}

func backendAddCmd(d *driver) *cobra.Command {
	var b backendFlags
	var yes bool
	var opts operator.Options
	cmd := &cobra.Command{
		Use:   "add -f DIR|FILE | --id ID --address IP:PORT --zone ZONE --role ROLE --models NAMES",
		Short: "Add backend servers, or change their records, as one change",
		Args:  cobra.NoArgs,
		RunE: d.run(func(ctx context.Context, o *operator.Operator, cmd *cobra.Command, _ []string) error {
			wanted, err := b.wanted()
			if err != nil {
				return err
			}
			return d.change(ctx, o, cmd, yes, func(ctx context.Context) (*operator.Plan, error) { return o.Plan(ctx, wanted, nil, opts) })
		}),
	}
	b.add(cmd)
	addYes(cmd, &yes)
	cmd.Flags().BoolVar(&opts.Revive, "revive", false, "allow a retired backend server to be put back in use")
	return cmd
}

func backendRetireCmd(d *driver) *cobra.Command {
	var yes bool
	cmd := &cobra.Command{
		Use:   "retire ID...",
		Short: "Give backend servers no new work",
		RunE: d.run(func(ctx context.Context, o *operator.Operator, cmd *cobra.Command, args []string) error {
			if len(args) == 0 {
				return merry.Append(operator.ErrInput, "name at least one backend server")
			}
			return d.change(ctx, o, cmd, yes, func(ctx context.Context) (*operator.Plan, error) { return o.PlanRetire(ctx, args) })
		}),
	}
	addYes(cmd, &yes)
	return cmd
}

func backendListCmd(d *driver) *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "List all backend servers",
		Args:  cobra.NoArgs,
		RunE: d.runOnce(func(ctx context.Context, o *operator.Operator, cmd *cobra.Command, _ []string) error {
			views, head, err := o.Backends(ctx)
			if err != nil {
				return err
			}
			return d.show(cmd, views, func(w io.Writer) { operator.WriteBackends(w, head, views) })
		}),
	}
}
