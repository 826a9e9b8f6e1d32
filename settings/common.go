package settings

import (
	"log/slog"
	"time"
)

// LogFormat is the form of log lines.
type LogFormat string

const (
	// LogJSON writes each line as a JSON object.
	LogJSON LogFormat = "json"
	// LogText writes each line as key=value pairs.
	LogText LogFormat = "text"
)

// Part names a part of a process whose log level can be set on its own.
type Part string

// Parts of a process.
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

// Log says what is logged and how.
type Log struct {
	Format LogFormat
	// Level counts for each part that Parts doesn't name.
	Level slog.Level
	Parts map[Part]slog.Level
}

// Bounds limits what a process's HTTP server takes from its clients.
type Bounds struct {
	// InFlight bounds the requests that are served at once.
	InFlight int
	// HeaderBytes bounds the headers of a request.
	HeaderBytes       int
	ReadHeaderTimeout time.Duration
	ReadTimeout       time.Duration
	WriteTimeout      time.Duration
	IdleTimeout       time.Duration
}

// DefaultBounds counts for each bound that a file doesn't set.
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
	s := d.maybe(sectionLog)
	l := Log{
		Format: optional(s, "format", formatValue, LogJSON),
		Level:  optional(s, "level", levelValue, slog.LevelInfo),
		Parts:  make(map[Part]slog.Level),
	}
	own := d.maybe(sectionLevels)
	for _, p := range parts {
		if _, ok := own.keys[string(p)]; ok {
			l.Parts[p] = required(own, string(p), levelValue)
		}
	}
	return l
}

func readBounds(d *document) Bounds {
	s := d.maybe(sectionBounds)
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

// checkSections reports each section that known doesn't accept.
func (d *document) checkSections(expected string, known func(name string) bool) {
	for _, s := range d.sections {
		if !known(s.name) {
			s.faultAt(s.line, "", expected, s.name)
			s.useAll()
		}
	}
}
