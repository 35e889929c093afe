package httpclient

import (
	"context"
	"sync"
	"time"

	"switchshore.example/switchshore/internal/tuning"
)

// Pool holds clients for many hosts. As each client keeps connections open, the pool evicts the
// least recently used host when it exceeds maxHosts.
type Pool struct {
	maxConnections int // per host
	maxHosts       int

	mu    sync.Mutex
	hosts map[string]*pooledClient
}

type pooledClient struct {
	client   *Client
	lastUsed time.Time
	inFlight int // number of requests
}

// NewPool returns a pool for maxHosts hosts with at most maxConnections connections each.
func NewPool(maxConnections, maxHosts int) *Pool {
	return &Pool{maxConnections: maxConnections, maxHosts: maxHosts, hosts: map[string]*pooledClient{}}
}

// Do sends a request to addr; see Client.Do.
func (p *Pool) Do(ctx context.Context, addr string, timeout time.Duration, method, uri string, body, out any) (int, error) {
	host := p.acquire(addr)
	defer p.release(host)
	return host.client.Do(ctx, timeout, method, uri, body, out)
}

// acquire returns a host's client for one request. The caller must release it.
func (p *Pool) acquire(addr string) *pooledClient {
	p.mu.Lock()
	defer p.mu.Unlock()
	host := p.hosts[addr]
	if host == nil {
		if len(p.hosts) >= p.maxHosts {
			p.evictIdle()
		}
		host = &pooledClient{client: New(addr, p.maxConnections, tuning.WorkerIdleTimeout)}
		p.hosts[addr] = host
	}
	host.inFlight++
	return host
}

// release records the end of a request.
func (p *Pool) release(host *pooledClient) {
	p.mu.Lock()
	defer p.mu.Unlock()
	host.inFlight--
	host.lastUsed = time.Now()
}

// evictIdle removes the least recently used host that has no request in flight, if there is one.
// The caller must hold mu.
func (p *Pool) evictIdle() {
	leastRecent := ""
	for addr, host := range p.hosts {
		if host.inFlight == 0 && (leastRecent == "" || host.lastUsed.Before(p.hosts[leastRecent].lastUsed)) {
			leastRecent = addr
		}
	}
	if leastRecent != "" {
		p.hosts[leastRecent].client.host.CloseIdleConnections()
		delete(p.hosts, leastRecent)
	}
}
