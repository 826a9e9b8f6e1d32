package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/peridotmux/peridotmux/internal/wait"
)

const (
	// crowdClients is the number of clients of a crowd. Their bodies alone are more than a
	// gateway may use of memory without an account of what clients hold.
	crowdClients = 700
	// crowdBodyBytes is just below maxBodyBytes of the configurations, and crowdChunkBytes
	// the size of a chunk.
	crowdBodyBytes  = 250_000
	crowdChunkBytes = 60_000
	// crowdRedialPause is the time until a client that was refused or cut connects again.
	crowdRedialPause = 300 * time.Millisecond
)

// disruptByCrowds lets clients that don't keep to limits act on one gateway at times,
// beside the other disruptions and the callers, until cfg.Duration has passed or ctx ends.
// Its random numbers are its own, so that the other disruptions of a seed don't depend on
// it.
func (r *runner) disruptByCrowds(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, r.cluster.cfg.Duration)
	defer cancel()
	rng := rand.New(rand.NewPCG(r.cluster.cfg.Seed, 23)) //nolint:gosec // Not a secret.
	for {
		wait.For(ctx, time.Duration(2000+rng.IntN(8000))*time.Millisecond)
		if ctx.Err() != nil {
			return
		}
		gateway := rng.IntN(r.cluster.cfg.Gateways)
		d := time.Duration(1000+rng.IntN(2500)) * time.Millisecond
		r.printf("%d clients send gateway-%d bodies without end for %v", crowdClients, gateway, d)
		r.cluster.runCrowd(ctx, gateway, d)
	}
}

// runCrowd lets a crowd act on a gateway for a time.
func (c *cluster) runCrowd(ctx context.Context, gateway int, d time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	addr := fmt.Sprintf("%s:%d", c.gatewayIP(gateway), gatewayPort)
	chunk := fmt.Sprintf("%x\r\n%s\r\n", crowdChunkBytes, strings.Repeat("x", crowdChunkBytes))
	text := []byte(fmt.Sprintf("POST /one/x HTTP/1.1\r\nHost: %s\r\n%s: crowd\r\n%s: %s\r\nTransfer-Encoding: chunked\r\n\r\n%s",
		host, headers.RequestID, headers.Key, keyOf(steadyWorkspace), strings.Repeat(chunk, crowdBodyBytes/crowdChunkBytes)))
	var wg sync.WaitGroup
	for range crowdClients {
		wg.Go(func() {
			for ctx.Err() == nil {
				sendAndHold(ctx, addr, text)
				wait.For(ctx, crowdRedialPause)
			}
		})
	}
	wg.Wait()
}

// sendAndHold sends bytes on a connection of its own, and keeps it open until the server
// closes it or ctx ends.
func sendAndHold(ctx context.Context, addr string, text []byte) {
	d := net.Dialer{Timeout: time.Second}
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	defer func() { _ = conn.Close() }()
	if _, err := conn.Write(text); err != nil {
		return
	}
	buf := make([]byte, 512)
	for err == nil {
		_, err = conn.Read(buf)
	}
}
