package main

import (
	"strings"
	"testing"
)

// validPage returns a page with every required row.
func validPage() string {
	var b strings.Builder
	for section, names := range requiredRows {
		b.WriteString("## " + section + "\n\n| promise | m | t | f | g | n |\n|---|---|---|---|---|---|\n")
		for _, name := range names {
			b.WriteString("| " + name + " | [owner](../owner) | `TestKnown` | broken | 1 | none |\n")
		}
	}
	return b.String()
}

// check validates text in a repository with the test TestKnown and the folder
// owner only.
func check(text string) []Problem {
	return checkPage([]byte(text), map[string]bool{"TestKnown": true}, func(link string) bool { return link == "../owner" })
}

func TestValidPageHasNoProblems(t *testing.T) {
	if p := check(validPage()); len(p) > 0 {
		t.Fatal(p)
	}
}

// Guards against a fault of the page that goes unreported: each case makes one
// change to a valid page.
func TestProblemsAreFound(t *testing.T) {
	for _, c := range []struct{ name, old, new, want string }{
		{"row missing", "| Stragglers", "| Strugglers", "Stragglers: no row"},
		{"no such test", "`TestKnown`", "`TestUnknown`", "no test TestUnknown"},
		{"no test at all", "`TestKnown`", "", "neither a test"},
		{"dead link", "(../owner)", "(../owners)", "no file ../owners"},
		{"column missing", "| broken ", "", "5 columns"},
		{"not proved is enough", "`TestKnown`", "not proved", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			problems := check(strings.Replace(validPage(), c.old, c.new, 1))
			if c.want == "" {
				if len(problems) > 0 {
					t.Fatal(problems)
				}
				return
			}
			if len(problems) == 0 || !strings.Contains(problems[0].Error(), c.want) {
				t.Fatalf("got %v", problems)
			}
		})
	}
}

// Guards against test functions that aren't found and against other functions
// counted as tests.
func TestFindTests(t *testing.T) {
	tests, err := findTests(".")
	if err != nil || !tests["TestFindTests"] || tests["check"] {
		t.Fatalf("%v, %v", tests, err)
	}
}
