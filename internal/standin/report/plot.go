package report

import (
	"fmt"
	"html"
	"html/template"
	"strconv"
	"strings"
	"time"
)

// The layout of a plot. Sizes are in pixels. tickCount is the number of intervals
// between the ticks of an axis. The labels of the marks alternate between three
// rows of markRowHeight, so that neighbours do not overlap.
const (
	plotWidth         = 760
	plotHeight        = 220
	marginLeft        = 56
	marginTop         = 34
	marginRightBottom = 28
	tickCount         = 4
	markRowHeight     = 11
)

// seriesColours are assigned to the series in their order, and reused if there are
// more series.
var seriesColours = []string{"#1b6ca8", "#d1495b", "#66a182", "#edae49", "#8d6a9f"}

// segment is a constant value over a time interval.
type segment struct {
	from, to time.Duration
	value    float64
}

// series is one step line of a plot.
type series struct {
	name     string
	segments []segment
}

// plot is a chart of values over time. length is the range of its time axis.
type plot struct {
	title, unit string
	length      time.Duration
	series      []series
	marks       []mark
}

// mark is a labelled vertical line.
type mark struct {
	at    time.Duration
	label string
}

func (p *plot) maxValue() float64 {
	maxValue := 0.0
	for _, s := range p.series {
		for _, segment := range s.segments {
			maxValue = max(maxValue, segment.value)
		}
	}
	if maxValue == 0 {
		return 1
	}
	return maxValue
}

func (p *plot) x(at time.Duration) float64 {
	return marginLeft + (plotWidth-marginLeft-marginRightBottom)*at.Seconds()/p.length.Seconds()
}

func (p *plot) y(value, maxValue float64) float64 {
	return plotHeight - marginRightBottom - (plotHeight-marginRightBottom-marginTop)*value/maxValue
}

// svg renders the plot as SVG. All text is escaped, because labels and tier names
// come from the results file.
func (p *plot) svg() template.HTML {
	var out strings.Builder
	fmt.Fprintf(&out, `<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 %d %d" width="%d" height="%d" role="img" font-family="sans-serif" font-size="10">`, plotWidth, plotHeight, plotWidth, plotHeight)
	fmt.Fprintf(&out, `<title>%s</title><text x="%d" y="14" font-size="12" font-weight="bold">%s</text>`, html.EscapeString(p.title), marginLeft, html.EscapeString(p.title))
	maxValue := p.maxValue()
	p.drawAxes(&out, maxValue)
	for i, s := range p.series {
		p.drawSeries(&out, s, seriesColours[i%len(seriesColours)], i, maxValue)
	}
	for i, m := range p.marks {
		p.drawMark(&out, m, i)
	}
	out.WriteString(`</svg>`)
	return template.HTML(out.String())
}

func (p *plot) drawAxes(out *strings.Builder, maxValue float64) {
	for i := range tickCount + 1 {
		value := maxValue * float64(i) / tickCount
		y := p.y(value, maxValue)
		fmt.Fprintf(out, `<line x1="%d" x2="%d" y1="%.1f" y2="%.1f" stroke="#ddd"/>`, marginLeft, plotWidth-marginRightBottom, y, y)
		fmt.Fprintf(out, `<text x="%d" y="%.1f" text-anchor="end">%s</text>`, marginLeft-5, y+3, strconv.FormatFloat(value, 'g', 3, 64))
		at := p.length * time.Duration(i) / tickCount
		fmt.Fprintf(out, `<text x="%.1f" y="%d" text-anchor="middle">%s</text>`, p.x(at), plotHeight-marginRightBottom+13, at.Round(100*time.Millisecond))
	}
	fmt.Fprintf(out, `<text x="4" y="%d">%s</text>`, marginTop-8, html.EscapeString(p.unit))
}

// drawSeries draws a series as a step line, because its values are rates that are
// constant over an interval.
func (p *plot) drawSeries(out *strings.Builder, s series, colour string, index int, maxValue float64) {
	var path []string
	for _, segment := range s.segments {
		y := p.y(segment.value, maxValue)
		path = append(path, fmt.Sprintf("%.1f,%.1f %.1f,%.1f", p.x(segment.from), y, p.x(segment.to), y))
	}
	fmt.Fprintf(out, `<polyline fill="none" stroke="%s" stroke-width="1.5" points="%s"/>`, colour, strings.Join(path, " "))
	fmt.Fprintf(out, `<text x="%d" y="14" fill="%s">%s</text>`, plotWidth/2+index*80, colour, html.EscapeString(s.name))
}

func (p *plot) drawMark(out *strings.Builder, m mark, index int) {
	x := p.x(m.at)
	fmt.Fprintf(out, `<line x1="%.1f" x2="%.1f" y1="%d" y2="%d" stroke="#444" stroke-dasharray="4 3"/>`, x, x, marginTop-6, plotHeight-marginRightBottom)
	fmt.Fprintf(out, `<text x="%.1f" y="%d" fill="#444">%s</text>`, x+3, marginTop+index%3*markRowHeight, html.EscapeString(m.label))
}
