package httpclient

import (
	"context"
	"sync"
	"time"

	"switchshore.example/switchshore/internal/tuning"
)

// Pool holds one client for each host. As the clients keep connections open, a full pool removes the
// least recently used host before it adds another one.
type Pool struct {
	maxConnections int // per host
	maxHosts       int

	mu    sync.Mutex
	hosts map[string]*pooledClient // by address
}

// pooledClient is the client of one host.
type pooledClient struct {
	client   *Client
	lastUsed time.Time
	inFlight int // number of requests in flight
}

// NewPool returns a pool for maxHosts hosts, with at most maxConnections connections to each. If all
// hosts have requests in flight, a full pool adds another host nevertheless.
func NewPool(maxConnections, maxHosts int) *Pool {
	return &Pool{maxConnections: maxConnections, maxHosts: maxHosts, hosts: map[string]*pooledClient{}}
}

// Do sends a request to addr like Client.Do.
func (p *Pool) Do(ctx context.Context, addr string, timeout time.Duration, method, uri string, body, out any) (int, error) {
	host := p.acquire(addr)
	defer p.release(host)
	return host.client.Do(ctx, timeout, method, uri, body, out)
}

// acquire returns the client of a host for one request. The caller must call release after the
// request.
func (p *Pool) acquire(addr string) *pooledClient {
	p.mu.Lock()
	defer p.mu.Unlock()
	host := p.hosts[addr]
	if host == nil {
		if len(p.hosts) >= p.maxHosts {
			p.removeIdleHost()
		}
		host = &pooledClient{client: New(addr, p.maxConnections, tuning.DirectCallIdleTimeout)}
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

// removeIdleHost removes the least recently used host without a request in flight, if there is one,
// and closes its connections. The caller must hold mu.
func (p *Pool) removeIdleHost() {
	leastRecentlyUsed := ""
	for addr, host := range p.hosts {
		if host.inFlight == 0 && (leastRecentlyUsed == "" || host.lastUsed.Before(p.hosts[leastRecentlyUsed].lastUsed)) {
			leastRecentlyUsed = addr
		}
	}
	if leastRecentlyUsed != "" {
		p.hosts[leastRecentlyUsed].client.host.CloseIdleConnections()
		delete(p.hosts, leastRecentlyUsed)
	}
}
