package main

import (
	"strings"
	"testing"
)

// soundPage builds a page with every row.
func soundPage() string {
	var b strings.Builder
	for section, names := range required {
		b.WriteString("## " + section + "\n\n| promise | m | t | f | g | n |\n|---|---|---|---|---|---|\n")
		for _, name := range names {
			b.WriteString("| " + name + " | [owner](../owner) | `TestKnown` | broken | 1 | none |\n")
		}
	}
	return b.String()
}

func check(text string) []Problem {
	return checkPage([]byte(text), map[string]bool{"TestKnown": true}, func(l string) bool { return l == "../owner" })
}

func TestSoundPageHasNoProblems(t *testing.T) {
	if p := check(soundPage()); len(p) > 0 {
		t.Fatal(p)
	}
}

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
			problems := check(strings.Replace(soundPage(), c.old, c.new, 1))
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

func TestFindTests(t *testing.T) {
	tests, err := findTests(".")
	if err != nil || !tests["TestFindTests"] || tests["check"] {
		t.Fatalf("%v, %v", tests, err)
	}
}
