package httpc

import (
	"context"
	"sync"
	"time"

	"switchshore.example/switchshore/internal/tuning"
)

// Pool holds clients for many hosts and drops those long unused.
type Pool struct {
	conns int

	mu    sync.Mutex
	hosts map[string]*pooled
}

type pooled struct {
	client *Client
	used   time.Time
}

// NewPool returns a pool with at most conns connections to each host.
func NewPool(conns int) *Pool { return &Pool{conns: conns, hosts: map[string]*pooled{}} }

// Do sends a request to addr; see Client.Do.
func (p *Pool) Do(ctx context.Context, addr string, timeout time.Duration, method, uri string, body, out any) (int, error) {
	return p.host(addr).Do(ctx, timeout, method, uri, body, out)
}

func (p *Pool) host(addr string) *Client {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[addr]
	if h == nil {
		for a, old := range p.hosts {
			if now.Sub(old.used) > 2*tuning.IdleConnection {
				delete(p.hosts, a)
			}
		}
		h = &pooled{client: New(addr, p.conns)}
		p.hosts[addr] = h
	}
	h.used = now
	return h.client
}
