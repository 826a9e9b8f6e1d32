package clientlimit

import (
	"errors"
	"net/http"
	"strconv"
)

// TooLargeError means that a request's body exceeds the limit, in bytes.
type TooLargeError struct{ Limit int64 }

// Error describes the failure.
func (e *TooLargeError) Error() string {
	return "the body is larger than " + strconv.FormatInt(e.Limit, 10) + " bytes"
}

// ShortError means that clients hold as much as they may, so that the request wasn't read.
type ShortError struct{}

// Error describes the failure.
func (*ShortError) Error() string { return "clients hold too much memory" }

// SlowError means that a body arrived too slowly. Bytes is how much of it did.
type SlowError struct{ Bytes int64 }

// Error describes the failure.
func (e *SlowError) Error() string {
	return "the body arrived too slowly: " + strconv.FormatInt(e.Bytes, 10) + " bytes"
}

// StatusOf returns the HTTP status of a refusal for an error of ReadBody.
func StatusOf(err error) int {
	var tooLarge *TooLargeError
	var short *ShortError
	var slow *SlowError
	switch {
	case errors.As(err, &tooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.As(err, &short):
		return http.StatusServiceUnavailable
	case errors.As(err, &slow):
		return http.StatusRequestTimeout
	}
	return http.StatusBadRequest
}
