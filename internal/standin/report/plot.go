package report

import (
	"fmt"
	"html"
	"html/template"
	"strconv"
	"strings"
	"time"
)

// Sizes of a plot, in pixels.
const (
	plotWidth  = 760
	plotHeight = 220
	marginLeft = 56
	marginTop  = 34
	marginEnd  = 28
	tickCount  = 4
	markRow    = 11
)

// colours of the series, in the order of tiers.
var colours = []string{"#1b6ca8", "#d1495b", "#66a182", "#edae49", "#8d6a9f"}

// point is a value that holds from one moment to another.
type point struct {
	from, to time.Duration
	value    float64
}

// series is one line of a plot.
type series struct {
	name   string
	points []point
}

// plot is drawn as SVG.
type plot struct {
	title, unit string
	length      time.Duration
	lines       []series
	marks       []mark
}

// mark is a vertical line with a text.
type mark struct {
	at   time.Duration
	what string
}

func (p *plot) highest() float64 {
	highest := 0.0
	for _, line := range p.lines {
		for _, one := range line.points {
			highest = max(highest, one.value)
		}
	}
	if highest == 0 {
		return 1
	}
	return highest
}

func (p *plot) x(at time.Duration) float64 {
	return marginLeft + (plotWidth-marginLeft-marginEnd)*at.Seconds()/p.length.Seconds()
}

func (p *plot) y(value, highest float64) float64 {
	return plotHeight - marginEnd - (plotHeight-marginEnd-marginTop)*value/highest
}

// svg draws the plot. Every text is escaped, because marks and tiers come from
// the results file.
func (p *plot) svg() template.HTML {
	var out strings.Builder
	fmt.Fprintf(&out, `<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 %d %d" width="%d" height="%d" role="img" font-family="sans-serif" font-size="10">`, plotWidth, plotHeight, plotWidth, plotHeight)
	fmt.Fprintf(&out, `<title>%s</title><text x="%d" y="14" font-size="12" font-weight="bold">%s</text>`, html.EscapeString(p.title), marginLeft, html.EscapeString(p.title))
	highest := p.highest()
	p.axes(&out, highest)
	for i, line := range p.lines {
		p.line(&out, line, colours[i%len(colours)], i, highest)
	}
	for i, one := range p.marks {
		p.mark(&out, one, i)
	}
	out.WriteString(`</svg>`)
	return template.HTML(out.String())
}

func (p *plot) axes(out *strings.Builder, highest float64) {
	for i := range tickCount + 1 {
		value := highest * float64(i) / tickCount
		y := p.y(value, highest)
		fmt.Fprintf(out, `<line x1="%d" x2="%d" y1="%.1f" y2="%.1f" stroke="#ddd"/>`, marginLeft, plotWidth-marginEnd, y, y)
		fmt.Fprintf(out, `<text x="%d" y="%.1f" text-anchor="end">%s</text>`, marginLeft-5, y+3, strconv.FormatFloat(value, 'g', 3, 64))
		at := p.length * time.Duration(i) / tickCount
		fmt.Fprintf(out, `<text x="%.1f" y="%d" text-anchor="middle">%s</text>`, p.x(at), plotHeight-marginEnd+13, at.Round(100*time.Millisecond))
	}
	fmt.Fprintf(out, `<text x="4" y="%d">%s</text>`, marginTop-8, html.EscapeString(p.unit))
}

// line draws a series as steps, which is what a rate over an interval is.
func (p *plot) line(out *strings.Builder, line series, colour string, place int, highest float64) {
	var path []string
	for _, one := range line.points {
		y := p.y(one.value, highest)
		path = append(path, fmt.Sprintf("%.1f,%.1f %.1f,%.1f", p.x(one.from), y, p.x(one.to), y))
	}
	fmt.Fprintf(out, `<polyline fill="none" stroke="%s" stroke-width="1.5" points="%s"/>`, colour, strings.Join(path, " "))
	fmt.Fprintf(out, `<text x="%d" y="14" fill="%s">%s</text>`, plotWidth/2+place*80, colour, html.EscapeString(line.name))
}

func (p *plot) mark(out *strings.Builder, one mark, place int) {
	x := p.x(one.at)
	fmt.Fprintf(out, `<line x1="%.1f" x2="%.1f" y1="%d" y2="%d" stroke="#444" stroke-dasharray="4 3"/>`, x, x, marginTop-6, plotHeight-marginEnd)
	fmt.Fprintf(out, `<text x="%.1f" y="%d" fill="#444">%s</text>`, x+3, marginTop+place%3*markRow, html.EscapeString(one.what))
}
