package main

import (
	_ "embed"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
	"text/template"
)

//go:embed page.md.tmpl
var pageText string

// writePage executes the page's template with the projection.
func writePage(w io.Writer, p *projection) error {
	t, err := template.New("page").Funcs(template.FuncMap{
		"num": num, "sizes": sizes, "verdict": verdict,
	}).Parse(pageText)
	if err != nil {
		return err
	}
	return t.Execute(w, p)
}

// num formats v with three significant digits, or all digits of a larger
// integer part, and a comma between thousands. Trailing zeros of the fraction
// are left out.
func num(v float64) string {
	if v == 0 {
		return "0"
	}
	digits := max(0, 2-int(math.Floor(math.Log10(math.Abs(v)))))
	text := strconv.FormatFloat(v, 'f', digits, 64)
	integer, fraction, _ := strings.Cut(text, ".")
	sign := ""
	if strings.HasPrefix(integer, "-") {
		sign, integer = "-", integer[1:]
	}
	for i := len(integer) - 3; i > 0; i -= 3 {
		integer = integer[:i] + "," + integer[i:]
	}
	fraction = strings.TrimRight(fraction, "0")
	if fraction != "" {
		fraction = "." + fraction
	}
	return sign + integer + fraction
}

// sizes returns the measured sizes, separated by commas.
func sizes(s Slope) string {
	out := make([]string, len(s.Points))
	for i, p := range s.Points {
		out[i] = num(p.X)
	}
	return strings.Join(out, ", ")
}

// verdict states whether value is within limit, and value as a percentage or a
// multiple of limit.
func verdict(value, limit float64) string {
	if value <= limit {
		return fmt.Sprintf("holds, %s %% of the bar", num(100*value/limit))
	}
	return fmt.Sprintf("**doesn't hold**, %s times the bar", num(value/limit))
}
