package peer

import (
	"sync"

	"switchshore.example/switchshore/internal/tuning"
)

// pendingCalls are the calls that wait for an answer over a link's connection.
type pendingCalls struct {
	mu      sync.Mutex
	out     *lineWriter // nil without a connection
	lastID  uint64
	answers map[uint64]chan Response
}

// open lets calls go out over a connection.
func (p *pendingCalls) open(out *lineWriter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.out = out
	p.answers = map[uint64]chan Response{}
}

// close ends all calls, as their connection has ended: their channels are closed.
func (p *pendingCalls) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.out = nil
	for id, answer := range p.answers {
		delete(p.answers, id)
		close(answer)
	}
}

// add gives a call its ID; it returns where the answer will come and the writer to send
// the call with, nil without a connection or with too many calls on it.
func (p *pendingCalls) add(c *Call) (chan Response, *lineWriter) {
	answer := make(chan Response, 1)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.out == nil || len(p.answers) >= tuning.PeerMaxCalls {
		return nil, nil
	}
	p.lastID++
	c.ID = p.lastID
	p.answers[c.ID] = answer
	return answer, p.out
}

// resolve passes an answer on, unless its call was given up.
func (p *pendingCalls) resolve(r *Response) {
	p.mu.Lock()
	answer := p.answers[r.ID]
	delete(p.answers, r.ID)
	p.mu.Unlock()
	if answer != nil {
		answer <- *r
	}
}

// remove gives a call up, unless its ID is that of another one on a later connection.
func (p *pendingCalls) remove(id uint64, answer chan Response) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.answers[id] == answer {
		delete(p.answers, id)
	}
}
