package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"text/tabwriter"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"

	"github.com/hibiscusspur/hibiscusspur/forward"
	"github.com/hibiscusspur/hibiscusspur/gateway"
	"github.com/hibiscusspur/hibiscusspur/operator"
)

// accessTimeout bounds the request to a gateway.
const accessTimeout = 5 * time.Second

// accessDriver runs the access command with its flags.
type accessDriver struct{ gateway, format string }

func accessCmd() *cobra.Command {
	d := &accessDriver{}
	c := &cobra.Command{
		Use: "access", Short: "Show a gateway's customers, their quotas, the age of its configuration, and whom it turned away",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return d.show(cmd.Context(), cmd.OutOrStdout()) },
	}
	c.Flags().StringVar(&d.gateway, "gateway", "", "address of a gateway's metrics, ip:port")
	c.Flags().StringVarP(&d.format, "output", "o", formatText, "text or json")
	return c
}

func (d *accessDriver) show(ctx context.Context, out io.Writer) error {
	if d.format != formatText && d.format != formatJSON {
		return merry.Appendf(operator.ErrInput, "--output must be text or json, is %q", d.format)
	}
	if _, err := netip.ParseAddrPort(d.gateway); err != nil {
		return merry.Appendf(operator.ErrInput, "--gateway must be ip:port, is %q", d.gateway)
	}
	if ctx == nil {
		ctx = context.Background()
	}
	a, err := fetchAccess(ctx, d.gateway)
	if err != nil {
		return err
	}
	if d.format == formatJSON {
		return writeJSON(out, a)
	}
	return writeAccess(out, a)
}

func fetchAccess(ctx context.Context, addr string) (gateway.Access, error) {
	var a gateway.Access
	ctx, cancel := context.WithTimeout(ctx, accessTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+gateway.AccessPath, nil)
	if err != nil {
		return a, merry.Wrap(err)
	}
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		return a, merry.Wrap(err)
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return a, merry.Errorf("gateway at %s answered %s", addr, res.Status)
	}
	return a, merry.Wrap(json.NewDecoder(res.Body).Decode(&a))
}

func writeAccess(out io.Writer, a gateway.Access) error {
	proof := "never proved to be the newest"
	if a.ProofAgeMs >= 0 {
		proof = fmt.Sprintf("proved to be the newest %d ms ago", a.ProofAgeMs)
	}
	_, _ = fmt.Fprintf(out, "%s: configuration %d, %s; requests with keys are %s; %d gateways are not heard\n",
		a.VM, a.Version, proof, map[bool]string{true: "served", false: "refused"}[a.Trusted], a.Silent)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "CUSTOMER\tKEYS\tUNIT\tRATE/S\tBURST\tLEFT\tSHARE\tUSED HERE\tDEMAND HERE/S")
	for _, c := range a.Customers {
		_, _ = fmt.Fprintf(w, "%s\t%d\t%s\t%.0f\t%.0f\t%.0f\t%.2f\t%.0f\t%.1f\n",
			c.Name, c.Keys, c.Unit, c.Rate, c.Burst, c.Left, c.Share, c.Used, c.DemandPerS)
	}
	_, _ = fmt.Fprintln(w, "\nREASON\tREFUSED")
	for _, r := range forward.AccessReasons {
		_, _ = fmt.Fprintf(w, "%s\t%d\n", r, a.Refused[r])
	}
	_, _ = fmt.Fprintln(w, "\nAT\tREQUEST\tCUSTOMER\tROUTE\tREASON")
	for _, r := range a.Refusals {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", r.At.Format(time.RFC3339Nano), r.Request, r.Customer, r.Route, r.Reason)
	}
	return w.Flush()
}
