package target

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/peridotmux/peridotmux/internal/connpool"
	"github.com/peridotmux/peridotmux/internal/response"
)

// maxHeaderBytes bounds the status line and headers of an answer.
const maxHeaderBytes = 16 << 10

// maxVersions bounds the index versions that one answer may list.
const maxVersions = 64

// readAnswer reads the answer to a and reports whether the connection can be
// reused.
func readAnswer(c *connpool.Conn, a *attempt) (Outcome, bool) {
	resp, body, err := response.Read(c, http.MethodPost, response.Limits{
		HeadBytes: maxHeaderBytes, BodyBytes: MaxAnswerBytes, Memory: a.memory,
	})
	if err != nil {
		return readFailure(err), false
	}
	out, valid := classify(resp, a)
	if !valid {
		return out, false
	}
	out.Body = body
	if out.Status != OK {
		out.Body = nil
	}
	return out, !resp.Close
}

// readFailure classifies an error while reading an answer. The status is always
// Unknown, because the target may have run the search.
func readFailure(err error) Outcome {
	out := Outcome{Status: Unknown, Reason: ReasonBadAnswer}
	if isTimeout(err) || isConnectionClosed(err) {
		out.Reason = ReasonConnectionLost
	}
	return out
}

// classify classifies an answer whose body was read, and reports whether it is a
// valid answer to a. If it is not, the connection must not be reused.
func classify(resp *http.Response, a *attempt) (Outcome, bool) {
	h := resp.Header
	s := &a.search
	out := Outcome{Status: Unknown, Reason: ReasonBadAnswer}
	if h.Get(HeaderAttempt) != a.number || h.Get(HeaderShard) != string(s.Target.Shard) {
		return out, false
	}
	out.Process, _ = strconv.ParseUint(h.Get(HeaderProcess), 10, 64)
	out.Versions = parseVersions(h.Get(HeaderVersions))
	out.Work = parseWork(h.Get(HeaderWork))
	out.TargetDone = true
	if h.Get(HeaderStarted) == "no" {
		return classifyNotStarted(resp.StatusCode, out)
	}
	switch resp.StatusCode {
	case http.StatusOK:
		version, err := strconv.ParseUint(h.Get(HeaderIndexVersion), 10, 64)
		if err != nil || version != s.IndexVersion || h.Get("Content-Encoding") != "" {
			return Outcome{Status: Unknown, Reason: ReasonBadAnswer, TargetDone: true}, false
		}
		out.Status, out.Reason, out.IndexVersion = OK, ReasonNone, version
	case StatusCancelled:
		out.Reason = ReasonCancelled
	case StatusTooLate:
		out.Reason = ReasonDeadline
	default:
		out.Reason = ReasonTargetError
	}
	return out, true
}

// classifyNotStarted classifies an answer with HeaderStarted "no". Status 200
// contradicts that header and is a bad answer.
func classifyNotStarted(status int, out Outcome) (Outcome, bool) {
	out.Status = NotStarted
	switch status {
	case http.StatusOK:
		return Outcome{Status: Unknown, Reason: ReasonBadAnswer}, false
	case StatusShed:
		out.Reason = ReasonShed
	case StatusDraining:
		out.Reason = ReasonDraining
	case StatusVersionGone:
		out.Reason = ReasonVersionGone
	case StatusCancelled:
		out.Reason = ReasonCancelled
	case StatusTooLate:
		out.Reason = ReasonDeadline
	default:
		out.Reason = ReasonTargetError
	}
	return out, true
}

// parseVersions parses the value of HeaderVersions. It stops at the first
// malformed version and after maxVersions.
func parseVersions(list string) []uint64 {
	if list == "" {
		return nil
	}
	var versions []uint64
	for field := range strings.SplitSeq(list, ",") {
		v, err := strconv.ParseUint(strings.TrimSpace(field), 10, 64)
		if err != nil || len(versions) == maxVersions {
			return versions
		}
		versions = append(versions, v)
	}
	return versions
}

// parseWork parses the value of HeaderWork. It returns 0 for a malformed one.
func parseWork(text string) time.Duration {
	us, err := strconv.ParseUint(text, 10, 32)
	if err != nil {
		return 0
	}
	return time.Duration(us) * time.Microsecond //nolint:gosec // 32 bits.
}

// isConnectionClosed reports whether err means that the connection was closed.
func isConnectionClosed(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || errors.Is(err, net.ErrClosed)
}

// isTimeout reports whether err means that the connection's deadline passed.
func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}
