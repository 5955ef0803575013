package main

import (
	"fmt"
	"io"
	"net/url"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/hibiscusspur/hibiscusspur/gateway"
	"github.com/hibiscusspur/hibiscusspur/policy/eligibility"
)

func serversCmd() *cobra.Command {
	r, service := &gatewayReport{}, ""
	c := &cobra.Command{
		Use: "servers", Short: "Show whether a gateway asks each server, and which condition decides",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return showReport(cmd, r, gateway.ServersPath+"?"+url.Values{"service": {service}}.Encode(), writeServers)
		},
	}
	r.addFlags(c)
	c.Flags().StringVar(&service, "service", "", "name of a service; all if empty")
	return c
}

// writeServers writes a line for each server, and below it one for each of its conditions.
func writeServers(out io.Writer, s gateway.Servers) error {
	_, _ = fmt.Fprintf(out, "%s: %d servers\n", s.VM, len(s.Servers))
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "SERVER\tSERVICE\tVERSION\tSTAGE\tZONE\tASKED\tTOKEN\tDECIDES\tAUTHOR\tEFFECT\tSINCE\tLEFT")
	for _, server := range s.Servers {
		asked := map[bool]string{true: "no", false: "yes"}[server.Excluded]
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t\t\t\t\n", server.ID, server.Service, versionText(server), server.Stage, server.Zone, asked, tokenText(server), server.Decides)
		for _, c := range server.Conditions {
			_, _ = fmt.Fprintf(w, "\t\t\t\t\t\t\t%s\t%s\t%s\t%s\t%s\n", c.Reason, c.Author, effectText(c), durationText(c.AgeMs), durationText(c.LeftMs))
		}
	}
	return w.Flush()
}

// tokenText is the time per generated token of an engine, or a dash if it is not known.
func tokenText(s gateway.ServerState) string {
	if s.TokenUs <= 0 {
		return "-"
	}
	text := fmt.Sprintf("%.1fms", float64(s.TokenUs)/1000)
	if s.Slow {
		text += " (slow)"
	}
	return text
}

// versionText is the software version of a server, or a dash if it is not known.
func versionText(s gateway.ServerState) string {
	if s.Version == "" {
		return "-"
	}
	return s.Version
}

// effectText is the effect of a condition and its size.
func effectText(c gateway.ServerCondition) string {
	switch c.Effect {
	case eligibility.Reduced.String():
		return fmt.Sprintf("reduced to %.2f", c.Share)
	case eligibility.Costly.String():
		return fmt.Sprintf("costs %.2f", c.Cost)
	default:
		return c.Effect
	}
}

// durationText is a time in milliseconds, or a dash if it is not known.
func durationText(ms int64) string {
	if ms < 0 {
		return "-"
	}
	return (time.Duration(ms) * time.Millisecond).String()
}
