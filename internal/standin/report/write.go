package report

import (
	"html/template"
	"io"
	"strconv"
	"time"
)

// goodputBuckets is the approximate number of time buckets in a goodput plot.
const goodputBuckets = 60

// page is the data of the report template.
type page struct{ Runs []section }

// section is the part of the report about one run.
type section struct {
	Title   string
	Tiers   []TierSummary
	Prefill int64
	Wasted  int64
	// Share is the wasted percentage of the computed prefill.
	Share   float64
	Goodput template.HTML
	Waste   template.HTML
}

var reportTemplate = template.Must(template.New("report").Parse(`<!doctype html>
<html lang="en">
<meta charset="utf-8">
<title>filbertusher: goodput and wasted prefill</title>
<style>
body { font-family: sans-serif; max-width: 800px; margin: 2em auto; color: #222 }
table { border-collapse: collapse; margin: 0.5em 0 }
td, th { padding: 2px 10px; text-align: right; border-bottom: 1px solid #ddd }
td:first-child, th:first-child { text-align: left }
</style>
<h1>Goodput by tier and wasted prefill</h1>
<p>Goodput counts complete, correct answers within their deadline, by the time at
which their requests were sent. Dashed lines mark injected faults.</p>
{{range .Runs}}<h2>{{.Title}}</h2>
{{.Goodput}}
{{.Waste}}
<table>
<tr><th>tier</th><th>sent</th><th>on time</th><th>goodput %</th><th>late</th><th>refused</th><th>unknown</th><th>damaged</th></tr>
{{range .Tiers}}<tr><td>{{.Tier}}</td><td>{{.Sent}}</td><td>{{.OnTime}}</td><td>{{printf "%.1f" .Goodput}}</td><td>{{.Late}}</td><td>{{.Refused}}</td><td>{{.Unknown}}</td><td>{{.Damaged}}</td></tr>
{{end}}</table>
<p>Prefill: {{.Prefill}} tokens computed, {{.Wasted}} of them wasted ({{printf "%.1f" .Share}} %).</p>
{{end}}</html>
`))

// Write writes an HTML report of the runs.
func Write(out io.Writer, runs []*Run) error {
	content := page{}
	for _, run := range runs {
		content.Runs = append(content.Runs, run.section())
	}
	return reportTemplate.Execute(out, content)
}

func (r *Run) title() string {
	return r.Mix + ", " + r.Policy + ", load " + strconv.FormatFloat(r.Load, 'g', -1, 64) + ", seed " + strconv.FormatUint(r.Seed, 10)
}

func (r *Run) section() section {
	result := section{Title: r.title(), Tiers: r.tiers(), Goodput: r.goodputPlot().svg(), Waste: r.wastePlot().svg()}
	if len(r.totals) > 0 {
		last := r.totals[len(r.totals)-1]
		result.Prefill, result.Wasted = last.PrefillTokens, last.WastedPrefill
		result.Share = percent(last.WastedPrefill, last.PrefillTokens)
	}
	return result
}

func (r *Run) plotMarks() []mark {
	marks := make([]mark, 0, len(r.marks))
	for _, m := range r.marks {
		marks = append(marks, mark{at: m.At, label: m.Label})
	}
	return marks
}

func (r *Run) goodputPlot() *plot {
	length := r.length()
	width := max((length / goodputBuckets).Round(100*time.Millisecond), 100*time.Millisecond)
	buckets := int((length + width - 1) / width)
	result := &plot{title: "goodput by tier", unit: "answers/s", length: length, marks: r.plotMarks()}
	for _, tier := range r.tiers() {
		s := series{name: string(tier.Tier)}
		for i, value := range r.goodputRates(tier.Tier, width, buckets) {
			from := width * time.Duration(i)
			s.segments = append(s.segments, segment{from: from, to: min(from+width, length), value: value})
		}
		result.series = append(result.series, s)
	}
	return result
}

func (r *Run) wastePlot() *plot {
	return &plot{
		title: "wasted prefill", unit: "tokens/s", length: r.length(), marks: r.plotMarks(),
		series: []series{{name: "wasted", segments: r.wasteRates()}},
	}
}
