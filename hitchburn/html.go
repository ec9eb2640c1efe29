package hitchburn

import (
	_ "embed" // for the page's template
	"html/template"
	"io"
	"time"
)

//go:embed report.html.tmpl
var pageText string

var page = template.Must(template.New("report").Funcs(template.FuncMap{
	"percent": percent,
	"rfc3339": func(t time.Time) string { return t.UTC().Format(time.RFC3339) },
}).Parse(pageText))

// pageData is what the page shows.
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

// WriteHTML writes the report as a page that needs no other file: the plots stand
// in it as SVG.
func (r Report) WriteHTML(w io.Writer) error {
	data := pageData{Report: r}
	for l := range levelCount {
		svg, err := r.plotOf(l)
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
	return page.Execute(w, data)
}
