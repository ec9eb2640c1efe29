package hitchburn

import (
	_ "embed" // for the page's template
	"html/template"
	"io"
	"time"
)

//go:embed report.html.tmpl
var pageTemplateText string

var pageTemplate = template.Must(template.New("report").Funcs(template.FuncMap{
	"percent": percent,
	"rfc3339": func(t time.Time) string { return t.UTC().Format(time.RFC3339) },
}).Parse(pageTemplateText))

// pageData is the input of the page's template.
type pageData struct {
	Report Report
	Plots  []template.HTML
	Tables []pageTable
}

// pageTable is the table of one dimension.
type pageTable struct {
	Dimension Dimension
	Rows      []LevelRow
}

// WriteHTML writes the report as a self-contained HTML page with inline SVG plots.
func (r Report) WriteHTML(w io.Writer) error {
	data := pageData{Report: r}
	for l := range levelCount {
		svg, err := r.plotSVG(l)
		if err != nil {
			return err
		}
		if svg != "" {
			data.Plots = append(data.Plots, svg)
		}
	}
	for d := range dimensionCount {
		if rows := r.rows(d); len(rows) > 0 {
			data.Tables = append(data.Tables, pageTable{d, rows})
		}
	}
	return pageTemplate.Execute(w, data)
}
