package httpclient

import (
	"fmt"
	"testing"
)

// TestPoolRemovesLeastRecentlyUsed checks that a full pool removes the least recently used host, but
// never a host with a request in flight.
func TestPoolRemovesLeastRecentlyUsed(t *testing.T) {
	p := NewPool(1, 3) // 3 hosts
	busy := p.acquire("busy:1")
	for i := range 20 {
		p.release(p.acquire(fmt.Sprint("host:", i)))
		if len(p.hosts) > 3 {
			t.Fatalf("the pool has %d hosts, want at most 3", len(p.hosts))
		}
	}
	if p.hosts["busy:1"] != busy || p.hosts["host:19"] == nil || p.hosts["host:17"] != nil {
		t.Fatalf("got the hosts %v, want busy:1, host:18 and host:19", p.hosts)
	}
}
