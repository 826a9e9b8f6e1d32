package rpc

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"

	"github.com/peridotmux/peridotmux/rpc/pb"
	"github.com/peridotmux/peridotmux/topology"
)

// BadDeploymentError says that a deployment record can't be read.
type BadDeploymentError struct {
	Cause error
}

// Error describes the failure.
func (e *BadDeploymentError) Error() string { return "deployment record: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *BadDeploymentError) Unwrap() error { return e.Cause }

// PackDeployment encodes a deployment as JSON, deflated.
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

// UnpackDeployment decodes a deployment of at most MaxMessageBytes.
func UnpackDeployment(r *pb.DeploymentRecord) (*topology.Deployment, error) {
	d := &topology.Deployment{}
	reader := flate.NewReader(bytes.NewReader(r.GetDeflated()))
	if err := json.NewDecoder(io.LimitReader(reader, MaxMessageBytes)).Decode(d); err != nil {
		return nil, &BadDeploymentError{Cause: err}
	}
	return d, nil
}

// BadRoutesError says that a routes record can't be read.
type BadRoutesError struct {
	Cause error
}

// Error describes the failure.
func (e *BadRoutesError) Error() string { return "routes record: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *BadRoutesError) Unwrap() error { return e.Cause }

// PackRoutes encodes a route document, deflated.
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

// UnpackRoutes decodes a route document of at most MaxMessageBytes.
func UnpackRoutes(r *pb.RoutesRecord) ([]byte, error) {
	reader := flate.NewReader(bytes.NewReader(r.GetDeflated()))
	document, err := io.ReadAll(io.LimitReader(reader, MaxMessageBytes))
	if err != nil {
		return nil, &BadRoutesError{Cause: err}
	}
	return document, nil
}
