package peer

import (
	"sync"

	"switchshore.example/switchshore/internal/tuning"
)

// pendingCalls holds the calls on a link's connection that have no response yet.
type pendingCalls struct {
	mu      sync.Mutex
	writer  *lineWriter // nil without a connection
	lastID  uint64
	results map[uint64]chan Response
}

// open lets new calls use a connection.
func (p *pendingCalls) open(writer *lineWriter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.writer = writer
	p.results = map[uint64]chan Response{}
}

// close fails all calls after their connection has ended, by closing their channels.
func (p *pendingCalls) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.writer = nil
	for id, result := range p.results {
		delete(p.results, id)
		close(result)
	}
}

// add assigns an ID to a call. It returns the channel that will receive the response and the
// writer with which to send the call, or nil for both if there is no connection or too many calls
// are in flight on it.
func (p *pendingCalls) add(c *Call) (chan Response, *lineWriter) {
	result := make(chan Response, 1)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.writer == nil || len(p.results) >= tuning.PeerMaxCalls {
		return nil, nil
	}
	p.lastID++
	c.ID = p.lastID
	p.results[c.ID] = result
	return result, p.writer
}

// resolve delivers a response to its call. It drops a response whose call was removed.
func (p *pendingCalls) resolve(r *Response) {
	p.mu.Lock()
	result := p.results[r.ID]
	delete(p.results, r.ID)
	p.mu.Unlock()
	if result != nil {
		result <- *r
	}
}

// remove discards a call whose caller no longer waits. The comparison of the channels prevents it
// from removing a later connection's call with the same ID.
func (p *pendingCalls) remove(id uint64, result chan Response) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.results[id] == result {
		delete(p.results, id)
	}
}
