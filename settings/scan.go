package settings

import (
	"bytes"
	"strings"
)

// position is the position of a section and of its keys.
type position struct {
	// line is the line of the section's header, counted from 1.
	line int
	// keys holds the line of each key.
	keys map[string]int
}

// scan collects what the INI library does not provide: the lines of sections and
// keys, and syntax errors with their lines.
type scan struct {
	file     string
	sections map[string]*position
	// sectionOrder lists the names of the sections in the order of the file.
	sectionOrder []string
	faults       Faults

	// current is the name of the section being scanned.
	current string
}

// scanLines scans data line by line. It ignores a byte order mark.
func scanLines(file string, data []byte) *scan {
	s := &scan{file: file, sections: make(map[string]*position)}
	text := string(bytes.TrimPrefix(data, []byte("\xef\xbb\xbf")))
	number := 0
	for line := range strings.Lines(text) {
		number++
		s.scanLine(number, strings.TrimSpace(line))
	}
	return s
}

func (s *scan) scanLine(number int, line string) {
	switch {
	case line == "" || line[0] == '#' || line[0] == ';':
	case line[0] == '[':
		s.scanSection(number, line)
	default:
		s.scanKey(number, line)
	}
}

func (s *scan) scanSection(number int, line string) {
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
	s.sections[name] = &position{line: number, keys: make(map[string]int)}
	s.sectionOrder = append(s.sectionOrder, name)
}

func (s *scan) scanKey(number int, line string) {
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
