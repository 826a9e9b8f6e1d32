package settings

import (
	"os"
	"slices"
	"strconv"

	"gopkg.in/ini.v1"
)

// MaxFileBytes is the maximum size of a settings file.
const MaxFileBytes = 4 << 20

// document is a parsed file and the faults found in it so far.
type document struct {
	file     string
	sections []*section
	faults   Faults
}

// section is one section of a document.
type section struct {
	doc  *document
	name string
	// line is 0 if the file doesn't have the section.
	line int
	keys map[string]*entry
}

// entry is the value of one key.
type entry struct {
	value string
	line  int
	// used is true once the key has been read. Keys that are never read are unknown.
	used bool
}

func itoa(n int) string { return strconv.Itoa(n) }

// readDocument reads and parses the file at path. Failures are faults of the
// document.
func readDocument(path string) *document {
	data, fault := readFile(path)
	if fault != nil {
		return &document{file: path, faults: Faults{*fault}}
	}
	return parseDocument(path, data)
}

func readFile(path string) ([]byte, *Fault) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, &Fault{File: path, Expected: "a file that can be read", Got: err.Error()}
	}
	if info.Size() > MaxFileBytes {
		return nil, tooLarge(path, info.Size())
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &Fault{File: path, Expected: "a file that can be read", Got: err.Error()}
	}
	return data, nil
}

func tooLarge(file string, size int64) *Fault {
	return &Fault{
		File:     file,
		Expected: "at most " + itoa(MaxFileBytes) + " bytes",
		Got:      strconv.FormatInt(size, 10) + " bytes",
	}
}

// parseDocument parses data. File is the file name in faults.
func parseDocument(file string, data []byte) *document {
	d := &document{file: file}
	if len(data) > MaxFileBytes {
		d.faults = Faults{*tooLarge(file, int64(len(data)))}
		return d
	}
	s := scanLines(file, data)
	d.faults = s.faults
	parsed, err := ini.LoadSources(ini.LoadOptions{
		IgnoreContinuation:      true,
		SkipUnrecognizableLines: true,
		KeyValueDelimiters:      "=",
	}, data)
	if err != nil {
		if len(d.faults) == 0 {
			d.faults = Faults{{File: file, Expected: "an INI file", Got: err.Error()}}
		}
		return d
	}
	for _, name := range s.sectionOrder {
		d.addSection(parsed, name, s.sections[name])
	}
	return d
}

// addSection adds a section with the values from the INI library and the lines
// from the scan.
func (d *document) addSection(parsed *ini.File, name string, p *position) {
	s := &section{doc: d, name: name, line: p.line, keys: make(map[string]*entry)}
	d.sections = append(d.sections, s)
	source, err := parsed.GetSection(name)
	if err != nil {
		d.faults = append(d.faults, Fault{
			File: d.file, Line: p.line, Section: name, Expected: "a section's name", Got: name,
		})
		return
	}
	for _, key := range source.Keys() {
		line, ok := p.keys[key.Name()]
		if !ok {
			line = p.line
		}
		s.keys[key.Name()] = &entry{value: key.Value(), line: line}
	}
}

// result returns the document's faults as a sorted Faults, or nil if there are
// none.
func (d *document) result() error {
	if len(d.faults) == 0 {
		return nil
	}
	return d.faults.sorted()
}

// checkUsed reports each key that was not read as unknown.
func (d *document) checkUsed() {
	for _, s := range d.sections {
		for name, e := range s.keys {
			if !e.used {
				s.faultAt(e.line, name, "a known key", name)
			}
		}
	}
}

// requiredSection returns the section with the given name. If there is none, it
// reports a fault and returns an empty section.
func (d *document) requiredSection(name string) *section {
	for _, s := range d.sections {
		if s.name == name {
			return s
		}
	}
	d.faults = append(d.faults, Fault{File: d.file, Section: name, Expected: "the section [" + name + "]"})
	return &section{doc: d, name: name, keys: make(map[string]*entry)}
}

// sectionOrEmpty returns the section with the given name, or an empty one.
func (d *document) sectionOrEmpty(name string) *section {
	for _, s := range d.sections {
		if s.name == name {
			return s
		}
	}
	return &section{doc: d, name: name, keys: make(map[string]*entry)}
}

func (s *section) faultAt(line int, key, expected, got string) {
	s.doc.faults = append(s.doc.faults, Fault{
		File: s.doc.file, Line: line, Section: s.name, Key: key, Expected: expected, Got: got,
	})
}

// fault reports a fault at the line of key, or of the section if the key is
// missing.
func (s *section) fault(key, expected, got string) {
	line := s.line
	if e, ok := s.keys[key]; ok {
		line = e.line
	}
	s.faultAt(line, key, expected, got)
}

// checkSectionNames reports sections that are neither named nor common to all files.
func (d *document) checkSectionNames(names ...string) {
	text := ""
	for _, name := range names {
		text += "[" + name + "], "
	}
	d.checkSections(text+"[log], [log levels] or [bounds]", func(name string) bool {
		return slices.Contains(names, name) || isCommon(name)
	})
}
