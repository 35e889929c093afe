package httpclient

import (
	"fmt"
	"testing"
)

// TestPoolEvictsLeastRecentlyUsed checks that a full pool evicts the least recently used host, and
// never one with a request in flight.
func TestPoolEvictsLeastRecentlyUsed(t *testing.T) {
	p := NewPool(1, 3)
	busy := p.acquire("busy:1")
	for i := range 20 {
		p.release(p.acquire(fmt.Sprint("host:", i)))
		if len(p.hosts) > 3 {
			t.Fatalf("%d hosts", len(p.hosts))
		}
	}
	if p.hosts["busy:1"] != busy || p.hosts["host:19"] == nil || p.hosts["host:17"] != nil {
		t.Fatalf("%v", p.hosts)
	}
}
