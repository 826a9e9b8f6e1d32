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

// page is the checked page, from the root of the repository.
const page = "docs/PROOFS.md"

// notProved is what a row says that names no test.
const notProved = "not proved"

// columns is the number of columns of the tables.
const columns = 6

// column of the tables that names the tests.
const testColumn = 2

// required lists the first column of the rows that must be there, by section.
var required = map[string][]string{
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

// Problem is one thing that is wrong in the page.
type Problem struct {
	Line int
	Row  string
	What string
}

// Error describes the problem.
func (p Problem) Error() string { return fmt.Sprintf("%s:%d: %s: %s", page, p.Line, p.Row, p.What) }

// row is one row of a table.
type row struct {
	line    int
	section string
	cells   []string
}

var (
	testName = regexp.MustCompile(`\b(?:Test|Fuzz|Benchmark)[A-Z]\w*`)
	link     = regexp.MustCompile(`\]\(([^)#:]+)\)`)
)

func checkTree(root string) ([]Problem, error) {
	data, err := os.ReadFile(filepath.Join(root, page))
	if err != nil {
		return nil, err
	}
	tests, err := findTests(root)
	if err != nil {
		return nil, err
	}
	exists := func(link string) bool {
		_, err := os.Stat(filepath.Join(root, filepath.Dir(page), link))
		return err == nil
	}
	return checkPage(data, tests, exists), nil
}

// checkPage checks the page against the tests and files there are.
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

func readRows(data []byte) []row {
	var rows []row
	section, number := "", 0
	for line := range bytes.Lines(data) {
		number++
		text := strings.TrimSpace(string(line))
		if name, ok := strings.CutPrefix(text, "## "); ok {
			section = name
		}
		if !strings.HasPrefix(text, "|") || strings.HasPrefix(text, "|-") || required[section] == nil {
			continue
		}
		var cells []string
		for cell := range strings.SplitSeq(strings.Trim(text, "|"), "|") {
			cells = append(cells, strings.TrimSpace(cell))
		}
		rows = append(rows, row{number, section, cells})
	}
	return rows
}

func missingRows(rows []row) []Problem {
	found := make(map[string]bool)
	for _, r := range rows {
		found[r.section+"/"+r.cells[0]] = true
	}
	var problems []Problem
	for section, names := range required {
		for _, name := range names {
			if !found[section+"/"+name] {
				problems = append(problems, Problem{0, name, "no row in the section " + section})
			}
		}
	}
	return problems
}

func checkRow(r row, tests map[string]bool, exists func(string) bool) []Problem {
	name := r.cells[0]
	if name == "" || strings.HasPrefix(name, "promise") || strings.HasPrefix(name, "failure") {
		return nil
	}
	var problems []Problem
	if len(r.cells) != columns {
		return []Problem{{r.line, name, fmt.Sprintf("%d columns, expected %d", len(r.cells), columns)}}
	}
	named := testName.FindAllString(r.cells[testColumn], -1)
	if len(named) == 0 && !strings.Contains(r.cells[testColumn], notProved) {
		problems = append(problems, Problem{r.line, name, "neither a test nor \"" + notProved + "\""})
	}
	for _, cell := range r.cells {
		for _, test := range testName.FindAllString(cell, -1) {
			if !tests[test] {
				problems = append(problems, Problem{r.line, name, "no test " + test})
			}
		}
		for _, match := range link.FindAllStringSubmatch(cell, -1) {
			if !exists(match[1]) {
				problems = append(problems, Problem{r.line, name, "no file " + match[1]})
			}
		}
	}
	return problems
}

// findTests lists the test, fuzz and benchmark functions of the tree.
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
			if ok && f.Recv == nil && testName.MatchString(f.Name.Name) {
				tests[f.Name.Name] = true
			}
		}
		return nil
	})
	return tests, err
}
