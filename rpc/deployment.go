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
