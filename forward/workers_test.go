package forward

import (
	"runtime"
	"sync"
	"testing"
	"time"
)

// A function that blocks must not delay others, and the number of idle goroutines
// is bounded.
func TestWorkersDoNotDelayEachOther(t *testing.T) {
	w := newWorkers()
	before := runtime.NumGoroutine()
	for range 3 {
		release := make(chan struct{})
		var began, ended sync.WaitGroup
		for range 2 * maxIdleWorkers {
			began.Add(1)
			ended.Add(1)
			w.run(func() {
				began.Done()
				<-release
				ended.Done()
			})
		}
		began.Wait()
		close(release)
		ended.Wait()
	}
	waitFor(t, func() bool { return runtime.NumGoroutine() <= before+maxIdleWorkers })
	w.close()
	waitFor(t, func() bool { return runtime.NumGoroutine() <= before })
}

func waitFor(t *testing.T, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("condition not met within 10 s")
		}
	}
}
