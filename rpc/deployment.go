package rpc

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"

	"github.com/peridotmux/peridotmux/rpc/pb"
	"github.com/peridotmux/peridotmux/topology"
)

// BadDeploymentError reports that a deployment record could not be encoded or
// decoded.
type BadDeploymentError struct {
	Cause error
}

// Error implements error.
func (e *BadDeploymentError) Error() string { return "deployment record: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *BadDeploymentError) Unwrap() error { return e.Cause }

// PackDeployment encodes a deployment as DEFLATE-compressed JSON. The error is a
// *BadDeploymentError.
func PackDeployment(version uint64, d *topology.Deployment) (*pb.DeploymentRecord, error) {
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.DefaultCompression)
	if err != nil {
		return nil, &BadDeploymentError{Cause: err}
	}
	if err := json.NewEncoder(w).Encode(d); err != nil {
		return nil, &BadDeploymentError{Cause: err}
	}
	if err := w.Close(); err != nil {
		return nil, &BadDeploymentError{Cause: err}
	}
	return &pb.DeploymentRecord{Version: version, Deflated: packed.Bytes()}, nil
}

// UnpackDeployment decodes a deployment of at most MaxMessageBytes, uncompressed.
// The error is a *BadDeploymentError.
func UnpackDeployment(r *pb.DeploymentRecord) (*topology.Deployment, error) {
	d := &topology.Deployment{}
	reader := flate.NewReader(bytes.NewReader(r.GetDeflated()))
	if err := json.NewDecoder(io.LimitReader(reader, MaxMessageBytes)).Decode(d); err != nil {
		return nil, &BadDeploymentError{Cause: err}
	}
	return d, nil
}

// BadRoutesError reports that a routes record could not be encoded or decoded.
type BadRoutesError struct {
	Cause error
}

// Error implements error.
func (e *BadRoutesError) Error() string { return "routes record: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *BadRoutesError) Unwrap() error { return e.Cause }

// PackRoutes compresses a route document with DEFLATE. The error is a
// *BadRoutesError.
func PackRoutes(version uint64, document []byte) (*pb.RoutesRecord, error) {
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.DefaultCompression)
	if err != nil {
		return nil, &BadRoutesError{Cause: err}
	}
	if _, err := w.Write(document); err != nil {
		return nil, &BadRoutesError{Cause: err}
	}
	if err := w.Close(); err != nil {
		return nil, &BadRoutesError{Cause: err}
	}
	return &pb.RoutesRecord{Version: version, Deflated: packed.Bytes()}, nil
}

// UnpackRoutes decompresses a route document and truncates it to MaxMessageBytes.
// The error is a *BadRoutesError.
func UnpackRoutes(r *pb.RoutesRecord) ([]byte, error) {
	reader := flate.NewReader(bytes.NewReader(r.GetDeflated()))
	document, err := io.ReadAll(io.LimitReader(reader, MaxMessageBytes))
	if err != nil {
		return nil, &BadRoutesError{Cause: err}
	}
	return document, nil
}
