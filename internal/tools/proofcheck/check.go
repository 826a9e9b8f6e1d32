package main

import (
	"bytes"
	"cmp"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
)

// pagePath is the validated page, relative to the root of the repository.
const pagePath = "docs/PROOFS.md"

// notProvedMark replaces the test names in a row without a test.
const notProvedMark = "not proved"

// columnCount is the number of columns of every table.
const columnCount = 6

// testColumn is the index, from 0, of the column with the test names.
const testColumn = 2

// requiredRows maps the heading of a section to the first cells of the rows
// that it must contain. Tables of other sections aren't checked.
var requiredRows = map[string][]string{
	"What always holds": {
		"One snapshot per answer",
		"True coverage",
		"Cold targets within their limit",
		"Quiet data centre gets no new work",
		"Whole answer to its own request",
		"True \"not run\"",
		"Non-idempotent requests at most once",
		"Leaving target gets no new work",
		"Graceful shutdown cuts nothing",
		"Configuration in force everywhere, never back",
	},
	"What fails": {
		"Stragglers",
		"Lost replicas",
		"Repartitioned data",
		"Targets cold without warning",
		"Control member cut off silently",
		"Racing operators and resent commands",
		"Second loss right after a repair",
		"Restart hundreds of changes behind",
	},
}

// Problem is one fault of the page. It implements error.
type Problem struct {
	// Line is the line number, from 1, or 0 if a required row is missing.
	Line int
	// Row is the first cell of the row.
	Row    string
	Detail string
}

// Error returns the problem as "path:line: row: detail".
func (p Problem) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s", pagePath, p.Line, p.Row, p.Detail)
}

// row is one row of a Markdown table.
type row struct {
	// line is the line number, from 1.
	line int
	// section is the heading that precedes the table.
	section string
	// cells are trimmed of white space.
	cells []string
}

var (
	// testNamePattern matches the name of a test, fuzz or benchmark function.
	testNamePattern = regexp.MustCompile(`\b(?:Test|Fuzz|Benchmark)[A-Z]\w*`)
	// linkPattern captures the path of a Markdown link to a file, without URLs
	// and links to an anchor.
	linkPattern = regexp.MustCompile(`\]\(([^)#:]+)\)`)
)

// checkTree validates the page of the repository at root against the tests and
// files of that repository.
func checkTree(root string) ([]Problem, error) {
	data, err := os.ReadFile(filepath.Join(root, pagePath))
	if err != nil {
		return nil, err
	}
	tests, err := findTests(root)
	if err != nil {
		return nil, err
	}
	exists := func(link string) bool {
		_, err := os.Stat(filepath.Join(root, filepath.Dir(pagePath), link))
		return err == nil
	}
	return checkPage(data, tests, exists), nil
}

// checkPage validates the text of the page. tests is the set of known test
// names; exists reports whether the path of a link, relative to the page, is an
// existing file. The problems are sorted by line.
func checkPage(data []byte, tests map[string]bool, exists func(string) bool) []Problem {
	rows := readRows(data)
	problems := missingRows(rows)
	for _, r := range rows {
		problems = append(problems, checkRow(r, tests, exists)...)
	}
	slices.SortFunc(problems, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), strings.Compare(a.Row, b.Row))
	})
	return problems
}

// readRows returns the table rows of the sections in requiredRows, header rows
// included and separator rows left out.
func readRows(data []byte) []row {
	var rows []row
	section, lineNumber := "", 0
	for line := range bytes.Lines(data) {
		lineNumber++
		text := strings.TrimSpace(string(line))
		if name, ok := strings.CutPrefix(text, "## "); ok {
			section = name
		}
		if !strings.HasPrefix(text, "|") || strings.HasPrefix(text, "|-") || requiredRows[section] == nil {
			continue
		}
		var cells []string
		for cell := range strings.SplitSeq(strings.Trim(text, "|"), "|") {
			cells = append(cells, strings.TrimSpace(cell))
		}
		rows = append(rows, row{lineNumber, section, cells})
	}
	return rows
}

// missingRows returns a problem for each required row that isn't in rows.
func missingRows(rows []row) []Problem {
	found := make(map[string]bool)
	for _, r := range rows {
		found[r.section+"/"+r.cells[0]] = true
	}
	var problems []Problem
	for section, names := range requiredRows {
		for _, name := range names {
			if !found[section+"/"+name] {
				problems = append(problems, Problem{0, name, "no row in the section " + section})
			}
		}
	}
	return problems
}

// checkRow validates the number of columns, the test names and the links of one
// row. Header rows have no problems.
func checkRow(r row, tests map[string]bool, exists func(string) bool) []Problem {
	name := r.cells[0]
	if name == "" || strings.HasPrefix(name, "promise") || strings.HasPrefix(name, "failure") {
		return nil
	}
	var problems []Problem
	if len(r.cells) != columnCount {
		return []Problem{{r.line, name, fmt.Sprintf("%d columns, expected %d", len(r.cells), columnCount)}}
	}
	named := testNamePattern.FindAllString(r.cells[testColumn], -1)
	if len(named) == 0 && !strings.Contains(r.cells[testColumn], notProvedMark) {
		problems = append(problems, Problem{r.line, name, "neither a test nor \"" + notProvedMark + "\""})
	}
	for _, cell := range r.cells {
		for _, test := range testNamePattern.FindAllString(cell, -1) {
			if !tests[test] {
				problems = append(problems, Problem{r.line, name, "no test " + test})
			}
		}
		for _, match := range linkPattern.FindAllStringSubmatch(cell, -1) {
			if !exists(match[1]) {
				problems = append(problems, Problem{r.line, name, "no file " + match[1]})
			}
		}
	}
	return problems
}

// findTests returns the names of the test, fuzz and benchmark functions below
// root. Folders whose name begins with a dot are skipped.
func findTests(root string) (map[string]bool, error) {
	tests := make(map[string]bool)
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() && path != root && strings.HasPrefix(d.Name(), ".") {
			return filepath.SkipDir
		}
		if d.IsDir() || !strings.HasSuffix(path, "_test.go") {
			return nil
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		for _, decl := range file.Decls {
			f, ok := decl.(*ast.FuncDecl)
			if ok && f.Recv == nil && testNamePattern.MatchString(f.Name.Name) {
				tests[f.Name.Name] = true
			}
		}
		return nil
	})
	return tests, err
}
