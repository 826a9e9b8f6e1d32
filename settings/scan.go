package settings

import (
	"bytes"
	"strings"
)

// place is the line of a section and of each of its keys.
type place struct {
	line int
	keys map[string]int
}

// scan holds what the INI library doesn't tell: the places of sections and
// keys, and the lines that are wrong in themselves.
type scan struct {
	file     string
	sections map[string]*place
	// order lists the sections as they come in the file.
	order  []string
	faults Faults

	current string
}

func scanLines(file string, data []byte) *scan {
	s := &scan{file: file, sections: make(map[string]*place)}
	text := string(bytes.TrimPrefix(data, []byte("\xef\xbb\xbf")))
	number := 0
	for line := range strings.Lines(text) {
		number++
		s.take(number, strings.TrimSpace(line))
	}
	return s
}

func (s *scan) take(number int, line string) {
	switch {
	case line == "" || line[0] == '#' || line[0] == ';':
	case line[0] == '[':
		s.takeSection(number, line)
	default:
		s.takeKey(number, line)
	}
}

func (s *scan) takeSection(number int, line string) {
	end := strings.LastIndexByte(line, ']')
	if end < 0 {
		s.fault(number, "", "a section's name in brackets", line)
		return
	}
	name := line[1:end]
	s.current = name
	if first, ok := s.sections[name]; ok {
		s.fault(number, "", "one section of this name, the first is in line "+itoa(first.line), line)
		return
	}
	s.sections[name] = &place{line: number, keys: make(map[string]int)}
	s.order = append(s.order, name)
}

func (s *scan) takeKey(number int, line string) {
	key, value, ok := strings.Cut(line, "=")
	if !ok {
		s.fault(number, "", "key = value, a [section] or a comment", line)
		return
	}
	key = strings.TrimSpace(key)
	value = strings.TrimSpace(value)
	if strings.HasPrefix(value, "`") || strings.HasPrefix(value, `"""`) {
		s.fault(number, key, "a value on one line", value)
	}
	p := s.sections[s.current]
	if p == nil {
		s.fault(number, key, "a [section] before the first key", line)
		return
	}
	if first, ok := p.keys[key]; ok {
		s.fault(number, key, "one key of this name, the first is in line "+itoa(first), line)
		return
	}
	p.keys[key] = number
}

func (s *scan) fault(line int, key, expected, got string) {
	s.faults = append(s.faults, Fault{
		File: s.file, Line: line, Section: s.current, Key: key, Expected: expected, Got: got,
	})
}
