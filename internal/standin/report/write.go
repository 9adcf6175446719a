package report

import (
	"html/template"
	"io"
	"strconv"
	"time"
)

// targetBuckets is about how many steps a line of goodput has.
const targetBuckets = 60

// page is what the template shows.
type page struct{ Runs []section }

// section shows one run.
type section struct {
	Title   string
	Tiers   []TierSummary
	Prefill int64
	Wasted  int64
	// Share is the wasted part of the prefill, in percent.
	Share   float64
	Goodput template.HTML
	Waste   template.HTML
}

var document = template.Must(template.New("report").Parse(`<!doctype html>
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
<p>Goodput counts answers that were whole, the caller's own, and on time, at the
moment when their requests were sent. Dashed lines mark injected faults.</p>
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

// Write writes the report of the runs.
func Write(out io.Writer, runs []*Run) error {
	shown := page{}
	for _, run := range runs {
		shown.Runs = append(shown.Runs, run.section())
	}
	return document.Execute(out, shown)
}

func (r *Run) title() string {
	return r.Mix + ", " + r.Policy + ", load " + strconv.FormatFloat(r.Load, 'g', -1, 64) + ", seed " + strconv.FormatUint(r.Seed, 10)
}

func (r *Run) section() section {
	made := section{Title: r.title(), Tiers: r.tiers(), Goodput: r.goodputPlot().svg(), Waste: r.wastePlot().svg()}
	if len(r.totals) > 0 {
		last := r.totals[len(r.totals)-1]
		made.Prefill, made.Wasted = last.PrefillTokens, last.WastedPrefill
		made.Share = percent(last.WastedPrefill, last.PrefillTokens)
	}
	return made
}

func (r *Run) shownMarks() []mark {
	marks := make([]mark, 0, len(r.marks))
	for _, one := range r.marks {
		marks = append(marks, mark{at: one.At, what: one.What})
	}
	return marks
}

func (r *Run) goodputPlot() *plot {
	length := r.length()
	width := max((length / targetBuckets).Round(100*time.Millisecond), 100*time.Millisecond)
	buckets := int((length + width - 1) / width)
	drawn := &plot{title: "goodput by tier", unit: "answers/s", length: length, marks: r.shownMarks()}
	for _, tier := range r.tiers() {
		line := series{name: string(tier.Tier)}
		for i, value := range r.goodput(tier.Tier, width, buckets) {
			from := width * time.Duration(i)
			line.points = append(line.points, point{from: from, to: min(from+width, length), value: value})
		}
		drawn.lines = append(drawn.lines, line)
	}
	return drawn
}

func (r *Run) wastePlot() *plot {
	return &plot{
		title: "wasted prefill", unit: "tokens/s", length: r.length(), marks: r.shownMarks(),
		lines: []series{{name: "wasted", points: r.wasted()}},
	}
}
