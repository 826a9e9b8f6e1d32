package main

import (
	"math"
	"net"
	"runtime"
	"sync/atomic"
	"syscall"
	"time"
)

// rounds is how often each size is measured. The least value counts, since
// other work on the machine only adds.
const rounds = 3

// processorTime returns the processor time of this process so far.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// heldMemory returns the bytes that the Go runtime holds for live objects and
// stacks.
func heldMemory() uint64 {
	var m runtime.MemStats
	for range 3 {
		runtime.GC()
		time.Sleep(20 * time.Millisecond)
	}
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

// least measures rounds times and returns the least value.
func least(measure func() (float64, error)) (float64, error) {
	lowest := math.Inf(1)
	for range rounds {
		v, err := measure()
		if err != nil {
			return 0, err
		}
		lowest = min(lowest, v)
	}
	return lowest, nil
}

// measureSizes measures y at each size and fits the line.
func measureSizes(s Slope, sizes []int, measure func(size int) (float64, error)) (Slope, error) {
	for _, size := range sizes {
		y, err := least(func() (float64, error) { return measure(size) })
		if err != nil {
			return s, &MeasureError{Slope: s.Key, Size: size, Cause: err}
		}
		s.Points = append(s.Points, Point{float64(size), y})
	}
	s.fit()
	return s, nil
}

// MeasureError says that a size couldn't be measured.
type MeasureError struct {
	Slope string
	Size  int
	Cause error
}

// Error describes the failure.
func (e *MeasureError) Error() string { return e.Slope + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *MeasureError) Unwrap() error { return e.Cause }

// countingListener counts the bytes of all of its connections.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept counts what goes over the connection.
func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{c, l.bytes}, nil
}

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

// listen opens a loopback port whose traffic is counted.
func listen() (countingListener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	return countingListener{l, new(atomic.Int64)}, err
}
