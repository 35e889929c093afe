package httpclient

import (
	"context"
	"sync"
	"time"

	"switchshore.example/switchshore/internal/tuning"
)

// Pool holds clients for many hosts. Beyond a number of hosts the one unused
// for longest gives its connection up, as each keeps a socket.
type Pool struct {
	conns int
	most  int

	mu    sync.Mutex
	hosts map[string]*pooled
}

type pooled struct {
	client *Client
	used   time.Time
	busy   int
}

// NewPool returns a pool for most hosts, with at most conns connections each.
func NewPool(conns, most int) *Pool {
	return &Pool{conns: conns, most: most, hosts: map[string]*pooled{}}
}

// Do sends a request to addr; see Client.Do.
func (p *Pool) Do(ctx context.Context, addr string, timeout time.Duration, method, uri string, body, out any) (int, error) {
	h := p.take(addr)
	defer p.leave(h)
	return h.client.Do(ctx, timeout, method, uri, body, out)
}

func (p *Pool) take(addr string) *pooled {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[addr]
	if h == nil {
		if len(p.hosts) >= p.most {
			p.evict()
		}
		h = &pooled{client: New(addr, p.conns, tuning.WorkerIdleTimeout)}
		p.hosts[addr] = h
	}
	h.busy++
	return h
}

func (p *Pool) leave(h *pooled) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h.busy--
	h.used = time.Now()
}

// evict drops the host without a request under way that is unused for longest.
func (p *Pool) evict() {
	oldest := ""
	for addr, h := range p.hosts {
		if h.busy == 0 && (oldest == "" || h.used.Before(p.hosts[oldest].used)) {
			oldest = addr
		}
	}
	if oldest != "" {
		p.hosts[oldest].client.host.CloseIdleConnections()
		delete(p.hosts, oldest)
	}
}
