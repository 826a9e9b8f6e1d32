package settings

import (
	"log/slog"
	"math"
	"net/netip"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/peridotmux/peridotmux/api"
	"github.com/peridotmux/peridotmux/topology"
)

// value is a type of setting: how it is described and parsed.
type value[T any] struct {
	// expected describes the valid values in faults.
	expected string
	// parse returns false if the text is not valid.
	parse func(string) (T, bool)
}

// maxNameBytes is the maximum length of names of VMs, groups, kinds and so on.
const maxNameBytes = 64

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]*[a-z0-9])?$`)

func isName(s string) bool { return len(s) <= maxNameBytes && namePattern.MatchString(s) }

// nameOf returns the value type for names of type T.
func nameOf[T ~string]() value[T] {
	return value[T]{
		expected: "a name of small letters, digits, '.', '_' and '-', at most " + itoa(maxNameBytes) + " long",
		parse:    func(s string) (T, bool) { return T(s), isName(s) },
	}
}

var addrValue = value[netip.AddrPort]{
	expected: "an IP number and port, such as 10.0.0.1:7000",
	parse: func(s string) (netip.AddrPort, bool) {
		a, err := netip.ParseAddrPort(s)
		return a, err == nil && a.Port() > 0 && !a.Addr().IsUnspecified()
	},
}

var shareValue = value[float64]{
	expected: "a share from 0 to 1, such as 0.02",
	parse: func(s string) (float64, bool) {
		f, err := strconv.ParseFloat(s, 64)
		return f, err == nil && f >= 0 && f <= 1
	},
}

var weightValue = value[float64]{
	expected: "a number above 0",
	parse: func(s string) (float64, bool) {
		f, err := strconv.ParseFloat(s, 64)
		return f, err == nil && f > 0 && !math.IsInf(f, 1)
	},
}

var amountValue = value[float64]{
	expected: "a number from 0, such as 0.2 or 32.75",
	parse: func(s string) (float64, bool) {
		f, err := strconv.ParseFloat(s, 64)
		return f, err == nil && f >= 0 && !math.IsInf(f, 1)
	},
}

// roundedDownValue is a number that is rounded down to a whole one.
func roundedDownValue(least, most int) value[int] {
	return value[int]{
		expected: "a number from " + itoa(least) + " to " + itoa(most),
		parse: func(s string) (int, bool) {
			f, err := strconv.ParseFloat(s, 64)
			return int(f), err == nil && f >= float64(least) && f <= float64(most)
		},
	}
}

func countValue(most int) value[int] {
	return value[int]{
		expected: "a whole number from 1 to " + itoa(most),
		parse: func(s string) (int, bool) {
			n, err := strconv.Atoi(s)
			return n, err == nil && n >= 1 && n <= most
		},
	}
}

func durationValue(least, most time.Duration) value[time.Duration] {
	return value[time.Duration]{
		expected: "a time with its unit from " + least.String() + " to " + most.String() + ", such as 250ms",
		parse: func(s string) (time.Duration, bool) {
			d, err := time.ParseDuration(s)
			return d, err == nil && d >= least && d <= most
		},
	}
}

var deadlineValue = durationValue(time.Millisecond, api.MaxDeadlineMS*time.Millisecond)

var boolValue = value[bool]{
	expected: "yes or no",
	parse: func(s string) (bool, bool) {
		return s == "yes", s == "yes" || s == "no"
	},
}

// flagValue is a boolean as the platform writes it.
var flagValue = value[bool]{
	expected: "true or false",
	parse: func(s string) (bool, bool) {
		return s == "true", s == "true" || s == "false"
	},
}

var policyValue = value[topology.Policy]{
	expected: string(topology.PolicyCoverage) + " or " + string(topology.PolicyLatency),
	parse: func(s string) (topology.Policy, bool) {
		p := topology.Policy(s)
		return p, p == topology.PolicyCoverage || p == topology.PolicyLatency
	},
}

var formatValue = value[LogFormat]{
	expected: string(LogJSON) + " or " + string(LogText),
	parse: func(s string) (LogFormat, bool) {
		f := LogFormat(s)
		return f, f == LogJSON || f == LogText
	},
}

var levels = map[string]slog.Level{
	"debug": slog.LevelDebug, "info": slog.LevelInfo, "warn": slog.LevelWarn, "error": slog.LevelError,
}

var levelValue = value[slog.Level]{
	expected: "debug, info, warn or error",
	parse: func(s string) (slog.Level, bool) {
		l, ok := levels[s]
		return l, ok
	},
}

// required returns the value of a mandatory key. If the key is missing or invalid,
// it reports a fault and returns the zero value.
func required[T any](s *section, key string, v value[T]) T {
	var zero T
	e, ok := s.keys[key]
	if !ok {
		s.fault(key, v.expected, "")
		return zero
	}
	return read(s, key, e, v)
}

// optional returns the value of an optional key, or fallback if the key is missing.
// If the value is invalid, it reports a fault and returns the zero value.
func optional[T any](s *section, key string, v value[T], fallback T) T {
	e, ok := s.keys[key]
	if !ok {
		return fallback
	}
	return read(s, key, e, v)
}

// read parses an entry and marks it as used. If it is invalid, it reports a fault
// and returns the zero value.
func read[T any](s *section, key string, e *entry, v value[T]) T {
	e.used = true
	result, ok := v.parse(e.value)
	if !ok {
		s.faultAt(e.line, key, v.expected, e.value)
		var zero T
		return zero
	}
	return result
}

// list returns the values of a mandatory key that holds a list separated by
// commas. It reports a fault for each invalid or duplicate value and skips it.
func list[T comparable](s *section, key string, v value[T]) []T {
	e, ok := s.keys[key]
	if !ok {
		s.fault(key, "a list separated by commas, each item "+v.expected, "")
		return nil
	}
	e.used = true
	var items []T
	seen := make(map[T]bool)
	for text := range strings.SplitSeq(e.value, ",") {
		text = strings.TrimSpace(text)
		item, ok := v.parse(text)
		switch {
		case !ok:
			s.faultAt(e.line, key, v.expected, text)
		case seen[item]:
			s.faultAt(e.line, key, "each item once", text)
		default:
			seen[item] = true
			items = append(items, item)
		}
	}
	return items
}
