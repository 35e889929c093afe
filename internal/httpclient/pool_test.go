package httpclient

import (
	"fmt"
	"testing"
)

// TestPoolKeepsItsBound: the host unused for longest makes way, one with a
// request under way does not.
func TestPoolKeepsItsBound(t *testing.T) {
	p := NewPool(1, 3)
	busy := p.take("busy:1")
	for i := range 20 {
		p.leave(p.take(fmt.Sprint("host:", i)))
		if len(p.hosts) > 3 {
			t.Fatalf("%d hosts", len(p.hosts))
		}
	}
	if p.hosts["busy:1"] != busy || p.hosts["host:19"] == nil || p.hosts["host:17"] != nil {
		t.Fatalf("%v", p.hosts)
	}
}
