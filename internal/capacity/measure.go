package main

import (
	"math"
	"net"
	"runtime"
	"sync/atomic"
	"syscall"
	"time"
)

// repetitions is the number of measurements at each size. The minimum counts,
// since other work on the machine only adds to a cost.
const repetitions = 3

// processorTime returns the processor time, user and system, that this process
// has used, or 0 if it can't be read.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// liveMemory returns the bytes of live objects and stacks in the Go runtime,
// after garbage collection.
func liveMemory() uint64 {
	var m runtime.MemStats
	for range 3 {
		runtime.GC()
		time.Sleep(20 * time.Millisecond)
	}
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

// measureMin calls measure repeatedly, as often as the constant repetitions
// states, and returns the minimum.
func measureMin(measure func() (float64, error)) (float64, error) {
	lowest := math.Inf(1)
	for range repetitions {
		v, err := measure()
		if err != nil {
			return 0, err
		}
		lowest = min(lowest, v)
	}
	return lowest, nil
}

// measureSizes measures the cost at each size, adds the points to s and fits
// the line. It returns a *MeasureError if a measurement fails.
func measureSizes(s Slope, sizes []int, measure func(size int) (float64, error)) (Slope, error) {
	for _, size := range sizes {
		y, err := measureMin(func() (float64, error) { return measure(size) })
		if err != nil {
			return s, &MeasureError{Slope: s.Key, Size: size, Cause: err}
		}
		s.Points = append(s.Points, Point{float64(size), y})
	}
	s.fit()
	return s, nil
}

// MeasureError reports that a cost couldn't be measured at a size.
type MeasureError struct {
	// Slope is the slope's key.
	Slope string
	Size  int
	Cause error
}

// Error returns the slope's key and the cause.
func (e *MeasureError) Error() string { return e.Slope + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *MeasureError) Unwrap() error { return e.Cause }

// countingListener counts the bytes read and written on all accepted
// connections.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept returns the next connection, whose bytes are counted.
func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{c, l.bytes}, nil
}

// countingConn adds the bytes read and written to a counter.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read counts the bytes read.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write counts the bytes written.
func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// listen opens a listener on a free loopback port and counts its traffic.
func listen() (countingListener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	return countingListener{l, new(atomic.Int64)}, err
}
