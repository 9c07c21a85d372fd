// Package report renders burn rates of service-level objectives as a text table and as a self-contained HTML page.
package report

import (
	"bytes"
	"fmt"
	"html/template"
	"io"
	"strings"
	"text/tabwriter"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"balsamknot.org/fleet/burn"
)

// Table writes the burn rates as a text table for a terminal, with one line per series.
func Table(w io.Writer, rates []burn.Rate) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "WORKSPACE\tSERVICE\tINDICATOR\tOBJECTIVE\tBURN 5m\tBURN 1h\tREQUESTS 1h")
	for _, r := range rates {
		fmt.Fprintf(table, "%s\t%s\t%s\t%.5g\t%.2f\t%.2f\t%d\n", r.Workspace, r.Service, r.Indicator, r.Objective, r.Short, r.Long, r.Total)
	}
	return table.Flush()
}

var pageTemplate = template.Must(template.New("burn").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Service-level burn, node {{.Node}}</title>
<style>body{font:14px sans-serif;margin:2em}table{border-collapse:collapse}td,th{padding:.3em .8em;text-align:left;border-bottom:1px solid #ccc}.hot{color:#b00;font-weight:bold}</style>
</head><body><h1>Service-level burn, node {{.Node}}</h1>
<p>A rate of 1 spends the error budget exactly over the objective's period.</p>
{{.Plot}}
<table><tr><th>Workspace</th><th>Service</th><th>Indicator</th><th>Objective</th><th>Burn 5 min</th><th>Burn 1 h</th><th>Requests 1 h</th></tr>
{{range .Rates}}<tr><td>{{.Workspace}}</td><td>{{.Service}}</td><td>{{.Indicator}}</td><td>{{.Objective}}</td>
<td{{if gt .Short 1.0}} class="hot"{{end}}>{{printf "%.2f" .Short}}</td><td{{if gt .Long 1.0}} class="hot"{{end}}>{{printf "%.2f" .Long}}</td><td>{{.Total}}</td></tr>
{{end}}</table></body></html>
`))

// HTML writes the burn rates of a node as one page with an inline chart; the page loads no other resources.
func HTML(w io.Writer, node string, rates []burn.Rate) error {
	var svg template.HTML
	if len(rates) > 0 {
		var err error
		if svg, err = chart(rates); err != nil {
			return fmt.Errorf("burn report: draw chart: %w", err)
		}
	}
	return pageTemplate.Execute(w, struct {
		Node  string
		Plot  template.HTML
		Rates []burn.Rate
	}{node, svg, rates})
}

// Sizes of the chart, in points; the label angle is in radians.
const (
	barWidth      = vg.Length(8)
	seriesWidth   = vg.Length(26)
	marginWidth   = vg.Length(120)
	chartHeight   = vg.Length(320)
	labelRotation = 0.6
)

// chart returns an SVG element with two bars per series: the burn rate over the short and over the long window.
func chart(rates []burn.Rate) (template.HTML, error) {
	p := plot.New()
	p.Y.Label.Text = "burn rate"
	p.Y.Min = 0
	var labels []string
	var short, long plotter.Values
	for _, r := range rates {
		labels = append(labels, fmt.Sprintf("%s %s %s", r.Workspace, r.Service, r.Indicator))
		short = append(short, r.Short)
		long = append(long, r.Long)
	}
	for i, values := range []plotter.Values{short, long} {
		bars, err := plotter.NewBarChart(values, barWidth)
		if err != nil {
			return "", err
		}
		bars.Color = plotutil.Color(i)
		bars.Offset = barWidth * vg.Length(2*i-1) / 2
		p.Add(bars)
		p.Legend.Add([]string{"5 minutes", "1 hour"}[i], bars)
	}
	p.Legend.Top = true
	p.NominalX(labels...)
	p.X.Tick.Label.Rotation = labelRotation
	p.X.Tick.Label.XAlign = draw.XRight
	canvas := vgsvg.New(marginWidth+seriesWidth*vg.Length(len(rates)), chartHeight)
	p.Draw(draw.New(canvas))
	var svg bytes.Buffer
	if _, err := canvas.WriteTo(&svg); err != nil {
		return "", err
	}
	// The XML declaration before the svg element is not valid inside an HTML page.
	_, elementBody, _ := strings.Cut(svg.String(), "<svg")
	return template.HTML("<svg" + elementBody), nil
}
