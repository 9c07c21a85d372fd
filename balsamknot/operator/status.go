package operator

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"

	"github.com/peterbourgon/ff/v4"

	"balsamknot.org/balsamknot/node"
	"balsamknot.org/balsamknot/report"
	"balsamknot.org/fleet/burn"
)

func statusCommand(parent *ff.FlagSet, s Streams) *ff.Command {
	flags := ff.NewFlagSet("status").SetParent(parent)
	address := nodeFlag(flags)
	format := outputFlag(flags)
	return &ff.Command{
		Name: "status", Usage: "balsamknot status --node IP:PORT", ShortHelp: "show the hosts, endpoints, load and revision known to a node",
		LongHelp: "Example:\n  balsamknot status --node 127.0.0.1:17003 --output json",
		Flags:    flags,
		Exec: func(ctx context.Context, _ []string) error {
			status, err := requestJSON[node.Status](ctx, http.MethodGet, *address, "/status?fresh=1", nil)
			if err != nil {
				return err
			}
			if outputFormat(*format) == outputJSON {
				return writeJSON(s.Out, status)
			}
			return writeStatus(s.Out, status)
		},
	}
}

func writeStatus(w io.Writer, status node.Status) error {
	fmt.Fprintf(w, "node %s  ready %t  draining %t  in flight %d  revision %d\n\n",
		status.Host, status.Ready, status.Draining, status.InFlight, status.Revision)
	if status.Refused > 0 {
		fmt.Fprintf(w, "revision %d is refused:\n%s\n\n", status.Refused, status.RefusedReason)
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "HOST\tDATA CENTRE\tSTATE\tREVISION")
	for _, h := range status.Hosts {
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\n", h.Host, h.DataCentre, h.State, h.Revision)
	}
	fmt.Fprintln(table, "\nENDPOINT KEPT HERE\tPOOL\tRUNNING\tQUEUED\tLIMIT\tLEAVING")
	for _, e := range status.Endpoints {
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%t\n", e.Engine, e.Pool, e.Running, e.Queued, e.Limit, e.Leaving)
	}
	return table.Flush()
}

func burnCommand(parent *ff.FlagSet, s Streams) *ff.Command {
	flags := ff.NewFlagSet("burn").SetParent(parent)
	address := nodeFlag(flags)
	format := flags.StringEnumLong("output", "output format", "text", "json", "html")
	return &ff.Command{
		Name: "burn", Usage: "balsamknot burn --node IP:PORT", ShortHelp: "show the burn rate of each service's error budget",
		LongHelp: "A burn rate of 1 uses up the budget exactly at the end of the objective's period; page someone at 14 over both windows.\n\nExample:\n  balsamknot burn --node 127.0.0.1:17003 --output html > burn.html",
		Flags:    flags,
		Exec: func(ctx context.Context, _ []string) error {
			if *format == "html" {
				page, err := request(ctx, http.MethodGet, *address, "/burn?format=html", nil)
				if err != nil {
					return err
				}
				_, err = s.Out.Write(page)
				return err
			}
			rates, err := requestJSON[[]burn.Rate](ctx, http.MethodGet, *address, "/burn", nil)
			if err != nil {
				return err
			}
			if *format == "json" {
				return writeJSON(s.Out, rates)
			}
			return report.Table(s.Out, rates)
		},
	}
}
