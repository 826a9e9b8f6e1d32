// Package workspace identifies the workspace of a request by its key. A workspace is
// a group of callers that share keys, a priority and a quota.
package workspace

import (
	"crypto/sha256"
	"slices"
	"strconv"
	"strings"
)

// Name names a workspace.
type Name string

// MaxKeyBytes bounds the length of a key.
const MaxKeyBytes = 4096

// Definition is one workspace of a configuration.
type Definition struct {
	Name Name
	// Keys are the keys that identify the workspace's requests.
	Keys []string
	// Priority takes precedence over the priority of a route, 0 being the highest. Nil
	// leaves the route's.
	Priority *int
	// RatePerSecond and Burst are the quota over all routers together: requests per
	// second, and requests on top of that. A rate of 0 is no limit.
	RatePerSecond, Burst float64
}

// Workspace is a workspace in force. It must not be modified.
type Workspace struct {
	Name Name
	// Priority and HasPriority are Definition.Priority.
	Priority    int
	HasPriority bool
	// RatePerSecond and Burst are as in Definition.
	RatePerSecond, Burst float64
}

// Limited reports whether the workspace has a quota.
func (w *Workspace) Limited() bool { return w.RatePerSecond > 0 }

// DefinitionError means that a workspace's definition is invalid. It never contains a
// key.
type DefinitionError struct {
	Workspace Name
	Field     Field
	Reason    string
}

// Field is a field of a Definition.
type Field string

// The fields that a DefinitionError names.
const (
	FieldName  Field = "name"
	FieldKeys  Field = "keys"
	FieldRate  Field = "rate"
	FieldBurst Field = "burst"
)

// Error describes the failure.
func (e *DefinitionError) Error() string {
	return "workspace " + strconv.Quote(string(e.Workspace)) + " " + string(e.Field) + ": " + e.Reason
}

// digest identifies a key. Keys aren't kept, so that they can't get into logs, and the
// time of a lookup tells nothing about them.
type digest [sha256.Size]byte

func digestOf(key string) digest { return sha256.Sum256([]byte(key)) }

// Directory finds workspaces by key. It is immutable.
type Directory struct {
	byKey  map[digest]*Workspace
	byName map[Name]*Workspace
}

// NewDirectory returns the directory of the workspaces. The error is a
// *DefinitionError.
func NewDirectory(definitions []Definition) (*Directory, error) {
	d := &Directory{byKey: make(map[digest]*Workspace), byName: make(map[Name]*Workspace, len(definitions))}
	for i := range definitions {
		if err := d.add(&definitions[i]); err != nil {
			return nil, err
		}
	}
	return d, nil
}

func (d *Directory) add(def *Definition) error {
	invalid := func(field Field, reason string) error {
		return &DefinitionError{Workspace: def.Name, Field: field, Reason: reason}
	}
	switch {
	case def.Name == "":
		return invalid(FieldName, "is missing")
	case !isHeaderValue(string(def.Name)):
		return invalid(FieldName, "can't be sent in a header")
	case d.byName[def.Name] != nil:
		return invalid(FieldName, "is used twice")
	case !(def.RatePerSecond >= 0):
		return invalid(FieldRate, "is not a number from 0 up")
	case !(def.Burst >= 0):
		return invalid(FieldBurst, "is not a number from 0 up")
	}
	w := &Workspace{Name: def.Name, RatePerSecond: def.RatePerSecond, Burst: def.Burst}
	if def.Priority != nil {
		w.Priority, w.HasPriority = *def.Priority, true
	}
	d.byName[def.Name] = w
	for _, key := range def.Keys {
		if key == "" || len(key) > MaxKeyBytes {
			return invalid(FieldKeys, "a key has 1 to "+strconv.Itoa(MaxKeyBytes)+" bytes")
		}
		if other := d.byKey[digestOf(key)]; other != nil && other != w {
			return invalid(FieldKeys, "one is also a key of workspace "+strconv.Quote(string(other.Name)))
		}
		d.byKey[digestOf(key)] = w
	}
	return nil
}

// isHeaderValue reports whether s can be the value of an HTTP header unchanged.
func isHeaderValue(s string) bool {
	isControl := func(r rune) bool { return r < ' ' || r == 0x7f }
	return strings.TrimSpace(s) == s && !strings.ContainsFunc(s, isControl)
}

// Len returns the number of workspaces.
func (d *Directory) Len() int { return len(d.byName) }

// All calls yield for each workspace, in no order, until it returns false.
func (d *Directory) All(yield func(*Workspace) bool) {
	for _, w := range d.byName {
		if !yield(w) {
			return
		}
	}
}

// ByName returns the workspace with a name, nil if there is none.
func (d *Directory) ByName(name Name) *Workspace { return d.byName[name] }

// KeyError means that a request's key names no workspace.
type KeyError struct{ Reason string }

// Error describes the failure.
func (e *KeyError) Error() string { return e.Reason }

// The reasons of KeyErrors.
const (
	reasonNoKey      = "no key"
	reasonManyKeys   = "more than one key"
	reasonKeyLength  = "key empty or too long"
	reasonUnknownKey = "unknown key"
)

// Identify returns the workspace of a request, given all values of its key's header.
// The error is a *KeyError.
func (d *Directory) Identify(keys []string) (*Workspace, error) {
	switch {
	case len(keys) == 0:
		return nil, &KeyError{Reason: reasonNoKey}
	case len(keys) > 1:
		return nil, &KeyError{Reason: reasonManyKeys}
	case keys[0] == "" || len(keys[0]) > MaxKeyBytes:
		return nil, &KeyError{Reason: reasonKeyLength}
	}
	w := d.byKey[digestOf(keys[0])]
	if w == nil {
		return nil, &KeyError{Reason: reasonUnknownKey}
	}
	return w, nil
}

// KeysFingerprint returns text that is the same for two workspaces if they have the same
// keys. It is for comparisons within a process and must not be printed or stored.
func (d *Directory) KeysFingerprint(name Name) string {
	var digests []string
	for key, w := range d.byKey {
		if w.Name == name {
			digests = append(digests, string(key[:]))
		}
	}
	slices.Sort(digests)
	return strings.Join(digests, "")
}
