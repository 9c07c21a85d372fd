// Package report shows service-level burn as a table and as one HTML page.
package report

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/go-echarts/go-echarts/v2/charts"
	"github.com/go-echarts/go-echarts/v2/opts"

	"balsamknot.org/fleet/burn"
)

// Table writes one line a series for a terminal.
func Table(w io.Writer, rates []burn.Rate) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "WORKSPACE\tSERVICE\tINDICATOR\tOBJECTIVE\tBURN 5m\tBURN 1h\tREQUESTS 1h")
	for _, r := range rates {
		fmt.Fprintf(table, "%s\t%s\t%s\t%.5g\t%.2f\t%.2f\t%d\n", r.Workspace, r.Service, r.Indicator, r.Objective, r.Short, r.Long, r.Total)
	}
	return table.Flush()
}

// HTML writes the burn rates of a node as a bar chart.
func HTML(w io.Writer, node string, rates []burn.Rate) error {
	bar := charts.NewBar()
	bar.SetGlobalOptions(
		charts.WithTitleOpts(opts.Title{Title: "Service-level burn", Subtitle: "node " + node + "; 1 spends the error budget exactly"}),
		charts.WithXAxisOpts(opts.XAxis{AxisLabel: &opts.AxisLabel{Rotate: 30}}),
	)
	names := make([]string, 0, len(rates))
	short := make([]opts.BarData, 0, len(rates))
	long := make([]opts.BarData, 0, len(rates))
	for _, r := range rates {
		names = append(names, fmt.Sprintf("%s %s %s", r.Workspace, r.Service, r.Indicator))
		short = append(short, opts.BarData{Value: r.Short})
		long = append(long, opts.BarData{Value: r.Long})
	}
	bar.SetXAxis(names).AddSeries("5 minutes", short).AddSeries("1 hour", long)
	return bar.Render(w)
}
