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

// writePage fills the page's template.
func writePage(w io.Writer, s *sums) error {
	t, err := template.New("page").Funcs(template.FuncMap{
		"num": num, "sizes": sizes, "verdict": verdict,
	}).Parse(pageText)
	if err != nil {
		return err
	}
	return t.Execute(w, s)
}

// num writes a number with three digits and separators of thousands.
func num(v float64) string {
	if v == 0 {
		return "0"
	}
	digits := max(0, 2-int(math.Floor(math.Log10(math.Abs(v)))))
	text := strconv.FormatFloat(v, 'f', digits, 64)
	whole, rest, _ := strings.Cut(text, ".")
	sign := ""
	if strings.HasPrefix(whole, "-") {
		sign, whole = "-", whole[1:]
	}
	for i := len(whole) - 3; i > 0; i -= 3 {
		whole = whole[:i] + "," + whole[i:]
	}
	rest = strings.TrimRight(rest, "0")
	if rest != "" {
		rest = "." + rest
	}
	return sign + whole + rest
}

// sizes lists the sizes measured.
func sizes(s Slope) string {
	out := make([]string, len(s.Points))
	for i, p := range s.Points {
		out[i] = num(p.X)
	}
	return strings.Join(out, ", ")
}

// verdict says whether a sum keeps its bar, and by what margin.
func verdict(sum, bar float64) string {
	if sum <= bar {
		return fmt.Sprintf("holds, %s %% of the bar", num(100*sum/bar))
	}
	return fmt.Sprintf("**doesn't hold**, %s times the bar", num(sum/bar))
}
