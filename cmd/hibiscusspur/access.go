package main

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/hibiscusspur/hibiscusspur/forward"
	"github.com/hibiscusspur/hibiscusspur/gateway"
)

func accessCmd() *cobra.Command {
	r := &gatewayReport{}
	c := &cobra.Command{
		Use: "access", Short: "Show a gateway's customers, their quotas, the age of its configuration, and whom it turned away",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return showReport(cmd, r, gateway.AccessPath, writeAccess)
		},
	}
	r.addFlags(c)
	return c
}

func writeAccess(out io.Writer, a gateway.Access) error {
	proof := "never proved to be the newest"
	if a.ProofAgeMs >= 0 {
		proof = fmt.Sprintf("proved to be the newest %d ms ago", a.ProofAgeMs)
	}
	_, _ = fmt.Fprintf(out, "%s: configuration %d, %s; requests with keys are %s; %d gateways are not heard\n",
		a.VM, a.Version, proof, map[bool]string{true: "served", false: "refused"}[a.Trusted], a.Unresponsive)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "CUSTOMER\tKEYS\tUNIT\tRATE/S\tBURST\tLEFT\tSHARE\tUSED HERE\tDEMAND HERE/S\tMEMORY\tWAITING\tMEMORY SHARE\tWEIGHT")
	for _, c := range a.Customers {
		_, _ = fmt.Fprintf(w, "%s\t%d\t%s\t%.0f\t%.0f\t%.0f\t%.2f\t%.0f\t%.1f\t%d\t%d\t%d\t%.2f\n",
			c.Name, c.Keys, c.Unit, c.Rate, c.Burst, c.Left, c.Share, c.Used, c.DemandPerS,
			c.Memory, c.MemoryWaiting, c.MemoryShare, c.MemoryWeight)
	}
	writeQuotaClasses(w, a.Customers)
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

// writeQuotaClasses shows what each class of customers' requests asks for, and how much of it is admitted.
func writeQuotaClasses(w io.Writer, customers []gateway.CustomerAccess) {
	_, _ = fmt.Fprintln(w, "\nCUSTOMER\tCLASS\tDEMAND/S\tADMITTED HERE\tBY PRIORITY")
	for _, c := range customers {
		for _, class := range c.Classes {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%.0f\t%.2f\t%t\n", c.Name, class.Name, class.DemandPerS, class.Admitted, c.Ordered)
		}
	}
}
