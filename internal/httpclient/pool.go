package httpclient

import (
	"context"
	"sync"
	"time"

	"switchshore.example/switchshore/internal/tuning"
)

// Pool holds clients for many hosts. Beyond a number of hosts the one unused
// for longest is evicted, as each keeps a socket.
type Pool struct {
	maxConnections int // a host
	maxHosts       int

	mu    sync.Mutex
	hosts map[string]*pooledClient
}

type pooledClient struct {
	client   *Client
	lastUsed time.Time
	inFlight int // requests
}

// NewPool returns a pool for maxHosts hosts, with at most maxConnections each.
func NewPool(maxConnections, maxHosts int) *Pool {
	return &Pool{maxConnections: maxConnections, maxHosts: maxHosts, hosts: map[string]*pooledClient{}}
}

// Do sends a request to addr; see Client.Do.
func (p *Pool) Do(ctx context.Context, addr string, timeout time.Duration, method, uri string, body, out any) (int, error) {
	host := p.acquire(addr)
	defer p.release(host)
	return host.client.Do(ctx, timeout, method, uri, body, out)
}

// acquire returns the client for a host, for one request.
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

// release ends a request.
func (p *Pool) release(host *pooledClient) {
	p.mu.Lock()
	defer p.mu.Unlock()
	host.inFlight--
	host.lastUsed = time.Now()
}

// evictIdle removes the host without a request in flight that is unused for longest, if
// there is one. It is called under mu.
func (p *Pool) evictIdle() {
	oldest := ""
	for addr, host := range p.hosts {
		if host.inFlight == 0 && (oldest == "" || host.lastUsed.Before(p.hosts[oldest].lastUsed)) {
			oldest = addr
		}
	}
	if oldest != "" {
		p.hosts[oldest].client.host.CloseIdleConnections()
		delete(p.hosts, oldest)
	}
}
