package settings

import (
	"log/slog"
	"time"
)

// LogFormat is the encoding of log lines.
type LogFormat string

const (
	// LogJSON writes each line as a JSON object.
	LogJSON LogFormat = "json"
	// LogText writes each line as key=value pairs.
	LogText LogFormat = "text"
)

// Part names a part of a process that has a log level of its own.
type Part string

// Parts of a process. A process has only some of them.
const (
	PartEntry     Part = "entry"
	PartQuery     Part = "query"
	PartOwner     Part = "owner"
	PartTarget    Part = "target"
	PartRouter    Part = "router"
	PartLease     Part = "lease"
	PartControl   Part = "control"
	PartConsensus Part = "consensus"
	PartPlacement Part = "placement"
	PartHTTP      Part = "http"
)

var parts = []Part{
	PartEntry, PartQuery, PartOwner, PartTarget, PartRouter,
	PartLease, PartControl, PartConsensus, PartPlacement, PartHTTP,
}

// Log holds the settings of logging.
type Log struct {
	Format LogFormat
	// Level is the level of each part that is not in Parts.
	Level slog.Level
	Parts map[Part]slog.Level
}

// Bounds holds the limits of a process's HTTP server.
type Bounds struct {
	// InFlight is the maximum number of requests that are served concurrently.
	InFlight int
	// HeaderBytes is the maximum size of a request's headers.
	HeaderBytes       int
	ReadHeaderTimeout time.Duration
	ReadTimeout       time.Duration
	WriteTimeout      time.Duration
	IdleTimeout       time.Duration
}

// DefaultBounds holds the values of the bounds that a file does not set.
var DefaultBounds = Bounds{
	InFlight:          4096,
	HeaderBytes:       16 << 10,
	ReadHeaderTimeout: 2 * time.Second,
	ReadTimeout:       5 * time.Second,
	WriteTimeout:      15 * time.Second,
	IdleTimeout:       time.Minute,
}

const (
	sectionLog    = "log"
	sectionLevels = "log levels"
	sectionBounds = "bounds"

	maxInFlight    = 1 << 20
	maxHeaderBytes = 1 << 20
	maxTimeout     = 10 * time.Minute
)

func readLog(d *document) Log {
	s := d.sectionOrEmpty(sectionLog)
	l := Log{
		Format: optional(s, "format", formatValue, LogJSON),
		Level:  optional(s, "level", levelValue, slog.LevelInfo),
		Parts:  make(map[Part]slog.Level),
	}
	levelSection := d.sectionOrEmpty(sectionLevels)
	for _, p := range parts {
		if _, ok := levelSection.keys[string(p)]; ok {
			l.Parts[p] = required(levelSection, string(p), levelValue)
		}
	}
	return l
}

func readBounds(d *document) Bounds {
	s := d.sectionOrEmpty(sectionBounds)
	timeout := durationValue(time.Millisecond, maxTimeout)
	def := DefaultBounds
	return Bounds{
		InFlight:          optional(s, "in_flight", countValue(maxInFlight), def.InFlight),
		HeaderBytes:       optional(s, "header_bytes", countValue(maxHeaderBytes), def.HeaderBytes),
		ReadHeaderTimeout: optional(s, "read_header_timeout", timeout, def.ReadHeaderTimeout),
		ReadTimeout:       optional(s, "read_timeout", timeout, def.ReadTimeout),
		WriteTimeout:      optional(s, "write_timeout", timeout, def.WriteTimeout),
		IdleTimeout:       optional(s, "idle_timeout", timeout, def.IdleTimeout),
	}
}

// checkSections reports each section for whose name known returns false. Expected
// describes the known sections.
func (d *document) checkSections(expected string, known func(name string) bool) {
	for _, s := range d.sections {
		if !known(s.name) {
			s.faultAt(s.line, "", expected, s.name)
			s.markAllUsed()
		}
	}
}
