package main

import (
	"encoding/csv"
	"fmt"
	"io"
	"math"
	"os"
	"strings"
	"text/tabwriter"
	"time"
)

// row is one line of the table: a measure, and its value by fleet.
type row struct {
	name  string
	value func(r result) float64
	// format prints a value.
	format string
}

func seconds(d time.Duration) float64 { return d.Seconds() }

var rows = []row{
	{"partners, most", func(r result) float64 { return float64(r.partners) }, "%.0f"},
	{"peers called, median", func(r result) float64 { return float64(r.median.peers) }, "%.0f"},
	{"messages/s, median", func(r result) float64 { return r.median.messages }, "%.1f"},
	{"messages/s, busiest", func(r result) float64 { return r.busiest.messages }, "%.1f"},
	{"messages/s, leader", func(r result) float64 { return r.leader.messages }, "%.1f"},
	{"KB/s in and out, median", func(r result) float64 { return r.median.bytes / 1000 }, "%.2f"},
	{"KB/s between domains, median", func(r result) float64 { return r.median.bytesAcross / 1000 }, "%.2f"},
	{"heap, KB a daemon", func(r result) float64 { return r.heap / 1000 }, "%.0f"},
	{"store calls/s, all, idle", func(r result) float64 { return r.idleCalls }, "%.1f"},
	{"% of time not ready, idle", func(r result) float64 { return 100 * r.unready }, "%.2f"},
	{"oldest confirmed configuration, s", func(r result) float64 { return seconds(r.oldestConfig) }, "%.2f"},
	{"store calls/s, all, servers register", func(r result) float64 { return r.registeringCalls }, "%.1f"},
	{"% of time not ready, servers register", func(r result) float64 { return 100 * r.registeringUnready }, "%.2f"},
	{"store calls a daemon, start", func(r result) float64 { return r.startCalls }, "%.2f"},
	{"store calls a daemon, restart of all", func(r result) float64 { return r.restartCalls }, "%.2f"},
	{"s until all are ready, start", func(r result) float64 { return seconds(r.ready) }, "%.2f"},
	{"s until all know all, start", func(r result) float64 { return seconds(r.complete) }, "%.2f"},
	{"s until all are ready, restart of all", func(r result) float64 { return seconds(r.restart) }, "%.2f"},
	{"s until a configuration is in force", func(r result) float64 { return seconds(r.config) }, "%.3f"},
	{"s until a leaving server is dropped", func(r result) float64 { return seconds(r.leavingServer) }, "%.3f"},
	{"s until a killed daemon is dropped", func(r result) float64 { return seconds(r.killedDaemon) }, "%.3f"},
	{"s until a returned daemon is known", func(r result) float64 { return seconds(r.returnedDaemon) }, "%.3f"},
}

// power returns the exponent with which a measure grows from the first fleet to the last.
func (w row) power(all []result) float64 {
	first, last := all[0], all[len(all)-1]
	from, to := w.value(first), w.value(last)
	if from <= 0 || to <= 0 || first.daemons == last.daemons {
		return 0
	}
	return math.Log(to/from) / math.Log(float64(last.daemons)/float64(first.daemons))
}

func (w row) cells(all []result) []string {
	out := []string{w.name}
	for _, r := range all {
		out = append(out, fmt.Sprintf(w.format, w.value(r)))
	}
	return append(out, fmt.Sprintf("%.2f", w.power(all)))
}

func header(all []result) []string {
	out := []string{"daemons"}
	for _, r := range all {
		out = append(out, fmt.Sprint(r.daemons))
	}
	return append(out, "power")
}

func writeTable(w io.Writer, all []result) {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(tw, strings.Join(header(all), "\t")+"\t") // the buffer reports errors in Flush
	for _, row := range rows {
		_, _ = fmt.Fprintln(tw, strings.Join(row.cells(all), "\t")+"\t")
	}
	if err := tw.Flush(); err != nil {
		fmt.Fprintln(os.Stderr, "emulate:", err)
	}
}

func writeFiles(prefix string, all []result) error {
	var table strings.Builder
	w := csv.NewWriter(&table)
	if err := w.Write(header(all)); err != nil {
		return err
	}
	for _, row := range rows {
		if err := w.Write(row.cells(all)); err != nil {
			return err
		}
	}
	w.Flush()
	if err := os.WriteFile(prefix+".csv", []byte(table.String()), 0o644); err != nil {
		return err
	}
	return os.WriteFile(prefix+".svg", []byte(plot(all)), 0o644)
}

const (
	plotWidth, plotHeight = 240, 120
	plotColumns           = 3
	plotMargin            = 30
)

// plot draws each measure over the size of the fleet, both from zero.
func plot(all []result) string {
	var b strings.Builder
	lines := (len(rows) + plotColumns - 1) / plotColumns
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="9">`, plotColumns*(plotWidth+plotMargin), lines*(plotHeight+plotMargin))
	for i, row := range rows {
		x, y := i%plotColumns*(plotWidth+plotMargin)+plotMargin/2, i/plotColumns*(plotHeight+plotMargin)+plotMargin/2
		fmt.Fprintf(&b, `<g transform="translate(%d,%d)"><rect width="%d" height="%d" fill="none" stroke="#999"/><text y="-3">%s</text><polyline fill="none" stroke="#06c" points="%s"/></g>`, x, y, plotWidth, plotHeight, row.name, row.points(all))
	}
	b.WriteString("</svg>\n")
	return b.String()
}

func (w row) points(all []result) string {
	top, right := 0.0, 0.0
	for _, r := range all {
		top, right = max(top, w.value(r)), max(right, float64(r.daemons))
	}
	var out []string
	for _, r := range all {
		x, y := plotWidth*float64(r.daemons)/right, plotHeight*(1-w.value(r)/max(top, 1e-9))
		out = append(out, fmt.Sprintf("%.1f,%.1f", x, y))
	}
	return strings.Join(out, " ")
}
