// Package peer carries requests between the controllers, as JSON lines on
// one connection a direction, and tells each what the others know of the
// leader.
package peer

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/goccy/go-json"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/internal/store"
	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

// Operations that are forwarded.
const (
	OpSubmit = "submit"
	OpQuery  = "query"
	OpCancel = "cancel"
	OpReport = "report"
)

// Call is a request on its way to the leader.
type Call struct {
	ID   uint64    `json:"id"`
	Op   string    `json:"op"`
	Job  string    `json:"job,omitempty"`
	Spec *wire.Job `json:"spec,omitempty"`
	// Chained is in the place of Spec for a job that needs others. Versions
	// that don't know such jobs would lose what it needs and start it early;
	// without Spec the call is incomplete to them, and refused at once.
	Chained *wire.Job    `json:"chained,omitempty"`
	Report  *wire.Report `json:"report,omitempty"`
	// Hops counts forwards; a call is relayed once at most.
	Hops int `json:"hops,omitempty"`
}

// Submit returns the call for a submission.
func Submit(job *wire.Job) Call {
	c := Call{Op: OpSubmit, Job: job.ID}
	if len(job.Needs) > 0 {
		c.Chained = job
	} else {
		c.Spec = job
	}
	return c
}

// Submission is the job to be submitted.
func (c *Call) Submission() *wire.Job {
	if c.Chained != nil {
		return c.Chained
	}
	return c.Spec
}

// complete reports whether the call carries what its operation needs. A peer
// of another version, in the middle of an upgrade, may send less.
func (c *Call) complete() bool {
	switch c.Op {
	case OpSubmit:
		return c.Submission() != nil
	case OpReport:
		return c.Report != nil
	}
	return true
}

// Answer is a status with what the caller is told: of a job, of a report, or
// why it is refused.
type Answer struct {
	ID     uint64             `json:"id"`
	Status int                `json:"status"`
	Job    *wire.JobStatus    `json:"job,omitempty"`
	Report *wire.ReportAnswer `json:"report,omitempty"`
	Why    string             `json:"why,omitempty"`
}

// Final reports whether the answer stays true for good, whoever leads.
func (a *Answer) Final() bool { return a.Status/100 == 2 && a.Job != nil && wire.Final(a.Job.State) }

// Refusal is an answer other than success.
func Refusal(status int, why string) Answer { return Answer{Status: status, Why: why} }

// Beat says what a node knows of the leader.
type Beat struct {
	Node string `json:"node"`
	// Term is the node's own term if it leads, or may still answer reports.
	Term uint64 `json:"term,omitempty"`
	// Leads: with authority. Grace: reports only.
	Leads bool `json:"leads,omitempty"`
	Grace bool `json:"grace,omitempty"`
	// Hears: the node has a direct link to a leader with authority.
	Hears bool `json:"hears,omitempty"`
}

type line struct {
	Beat   *Beat   `json:"beat,omitempty"`
	Call   *Call   `json:"call,omitempty"`
	Answer *Answer `json:"answer,omitempty"`
}

// ErrUnreachable: there is no way to a leader now.
var ErrUnreachable = errors.New("no leader within reach")

// Hub holds the links to all peers.
type Hub struct {
	Log zerolog.Logger
	// Self tells this node's own beat.
	Self func() Beat
	// Superseded is told the term of a peer that leads with authority.
	Superseded func(term uint64)
	// Serve answers a peer's call.
	Serve func(context.Context, Call) Answer

	mu    sync.Mutex
	links []*link
	views map[string]view
}

type view struct {
	beat Beat
	at   time.Time
}

// NewHub returns a hub for the given peers.
func NewHub(log zerolog.Logger, peers []config.Peer) *Hub {
	h := &Hub{Log: log, views: map[string]view{}}
	for _, p := range peers {
		h.links = append(h.links, &link{hub: h, name: p.Name, addr: p.Addr, poke: make(chan struct{}, 1)})
	}
	return h
}

// Run serves ln and keeps the links up until the context ends.
func (h *Hub) Run(ctx context.Context, ln net.Listener) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, l := range h.links {
		g.Go(func() error { return l.run(ctx) })
	}
	g.Go(func() error {
		<-ctx.Done()
		return ln.Close()
	})
	g.Go(func() error {
		slots := make(chan struct{}, len(h.links)*4+4)
		for {
			conn, err := ln.Accept()
			if err != nil {
				if ctx.Err() != nil {
					return nil
				}
				h.Log.Debug().Err(err).Msg("accept peer")
				if store.Pause(ctx, tuning.PeerRedial) != nil {
					return nil
				}
				continue
			}
			select {
			case slots <- struct{}{}:
				go func() {
					defer func() { <-slots }()
					h.serve(ctx, conn)
				}()
			default:
				_ = conn.Close()
			}
		}
	})
	return g.Wait()
}

// Poke sends beats at once, after a change of leadership.
func (h *Hub) Poke() {
	for _, l := range h.links {
		select {
		case l.poke <- struct{}{}:
		default:
		}
	}
}

func (h *Hub) saw(b *Beat) {
	h.mu.Lock()
	h.views[b.Node] = view{*b, time.Now()}
	h.mu.Unlock()
	if b.Leads {
		h.Superseded(b.Term)
	}
}

// HearsLeader reports whether a peer with authority is directly in reach.
func (h *Hub) HearsLeader() bool { l, _ := h.route(false, 1); return l != nil }

// Reaches reports whether a leader is in reach, directly or through a peer.
func (h *Hub) Reaches() bool { l, _ := h.route(false, 0); return l != nil }

// route picks the link for a call: to the leader of the highest term, or,
// for a call not relayed yet, to a peer that hears one.
func (h *Hub) route(report bool, hops int) (*link, int) {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	var direct, relay *link
	var term uint64
	for _, l := range h.links {
		v := h.views[l.name]
		if !l.up || now.Sub(v.at) > tuning.PeerSilence {
			continue
		}
		if (v.beat.Leads || report && v.beat.Grace) && v.beat.Term >= term {
			direct, term = l, v.beat.Term
		}
		if v.beat.Hears {
			relay = l
		}
	}
	if direct != nil {
		return direct, hops + 1
	}
	if hops == 0 {
		return relay, hops + 1
	}
	return nil, 0
}

// Forward sends a call towards the leader and waits for the answer.
func (h *Hub) Forward(ctx context.Context, c Call) (Answer, error) {
	l, hops := h.route(c.Op == OpReport, c.Hops)
	if l == nil {
		return Answer{}, ErrUnreachable
	}
	c.Hops = hops
	return l.call(ctx, c)
}

// serve answers one peer's connection.
func (h *Hub) serve(ctx context.Context, conn net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	defer conn.Close()
	out := newLineWriter(conn)
	go out.run(ctx)
	slots := make(chan struct{}, tuning.PeerCalls)
	_ = readLines(conn, func(m *line) {
		switch {
		case m.Beat != nil:
			h.saw(m.Beat)
			self := h.Self()
			_ = out.write(&line{Beat: &self})
		case m.Call != nil && !m.Call.complete():
			_ = out.write(&line{Answer: &Answer{ID: m.Call.ID, Status: http.StatusServiceUnavailable, Why: "incomplete call"}})
		case m.Call != nil:
			select {
			case slots <- struct{}{}:
				go func(c Call) {
					defer func() { <-slots }()
					a := h.Serve(ctx, c)
					a.ID = c.ID
					_ = out.write(&line{Answer: &a})
				}(*m.Call)
			default:
				_ = out.write(&line{Answer: &Answer{ID: m.Call.ID, Status: http.StatusServiceUnavailable}})
			}
		}
	})
}

// link is this node's connection to one peer.
type link struct {
	hub        *Hub
	name, addr string
	poke       chan struct{}

	up      bool // guarded by hub.mu
	mu      sync.Mutex
	out     *lineWriter
	nextID  uint64
	waiting map[uint64]chan Answer
}

func (l *link) run(ctx context.Context) error {
	for ctx.Err() == nil {
		conn, err := net.DialTimeout("tcp4", l.addr, tuning.PeerDialTimeout)
		if err == nil {
			l.serve(ctx, conn)
		}
		if store.Pause(ctx, tuning.PeerRedial) != nil {
			break
		}
	}
	return nil
}

// serve keeps one connection: beats out, beats and answers in. A connection
// on which nothing comes back for PeerSilence is given up, as a cut gives no
// error.
func (l *link) serve(ctx context.Context, conn net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	out := newLineWriter(conn)
	go out.run(ctx)
	l.mu.Lock()
	l.out = out
	l.waiting = map[uint64]chan Answer{}
	l.mu.Unlock()
	go func() {
		defer cancel()
		for ctx.Err() == nil {
			self := l.hub.Self()
			if out.write(&line{Beat: &self}) != nil {
				return
			}
			select {
			case <-ctx.Done():
			case <-l.poke:
			case <-time.After(tuning.BeatEvery):
			}
		}
	}()
	_ = readLines(conn, func(m *line) {
		switch {
		case m.Beat != nil:
			l.hub.saw(m.Beat)
			l.setUp(true)
		case m.Answer != nil:
			l.mu.Lock()
			ch := l.waiting[m.Answer.ID]
			delete(l.waiting, m.Answer.ID)
			l.mu.Unlock()
			if ch != nil {
				ch <- *m.Answer
			}
		}
	})
	l.setUp(false)
	_ = conn.Close()
	l.mu.Lock()
	l.out = nil
	for id, ch := range l.waiting {
		delete(l.waiting, id)
		close(ch)
	}
	l.mu.Unlock()
}

func (l *link) setUp(up bool) {
	l.hub.mu.Lock()
	l.up = up
	l.hub.mu.Unlock()
}

func (l *link) call(ctx context.Context, c Call) (Answer, error) {
	ch := make(chan Answer, 1)
	l.mu.Lock()
	out := l.out
	if out == nil || len(l.waiting) >= tuning.PeerCalls {
		l.mu.Unlock()
		return Answer{}, ErrUnreachable
	}
	l.nextID++
	c.ID = l.nextID
	l.waiting[c.ID] = ch
	l.mu.Unlock()
	if err := out.write(&line{Call: &c}); err != nil {
		return Answer{}, err
	}
	select {
	case a, ok := <-ch:
		if !ok {
			return Answer{}, ErrUnreachable
		}
		return a, nil
	case <-ctx.Done():
		l.mu.Lock()
		if l.waiting[c.ID] == ch {
			delete(l.waiting, c.ID)
		}
		l.mu.Unlock()
		return Answer{}, ctx.Err()
	}
}

// lineWriter writes whole lines. Lines that come while a write is under way,
// or shortly after one, go out together: at some hundred reports a second a
// packet and a system call for each would cost more than their content. A
// write that makes no progress ends the connection, and so does a peer that
// takes nothing while lines pile up.
type lineWriter struct {
	conn net.Conn
	wake chan struct{}

	mu      sync.Mutex
	pending []byte
	failed  error
}

func newLineWriter(conn net.Conn) *lineWriter {
	return &lineWriter{conn: conn, wake: make(chan struct{}, 1)}
}

func (w *lineWriter) write(m *line) error {
	data, err := json.Marshal(m)
	if err != nil {
		return err
	}
	w.mu.Lock()
	if w.failed == nil && len(w.pending) > tuning.PeerPending {
		w.failed = ErrUnreachable
		_ = w.conn.Close()
	}
	if err = w.failed; err == nil {
		w.pending = append(append(w.pending, data...), '\n')
	}
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return err
}

// run sends the lines until the context ends or the connection fails.
func (w *lineWriter) run(ctx context.Context) {
	var sending []byte
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.wake:
		}
		w.mu.Lock()
		sending, w.pending = w.pending, sending[:0]
		w.mu.Unlock()
		if len(sending) == 0 {
			continue
		}
		_ = w.conn.SetWriteDeadline(time.Now().Add(tuning.PeerSilence))
		if _, err := w.conn.Write(sending); err != nil {
			w.mu.Lock()
			w.failed = err
			w.mu.Unlock()
			_ = w.conn.Close()
			return
		}
		if store.Pause(ctx, tuning.PeerGather) != nil {
			return
		}
	}
}

// patient is a connection whose reads fail when nothing comes for a while.
type patient struct{ net.Conn }

func (c patient) Read(b []byte) (int, error) {
	_ = c.SetReadDeadline(time.Now().Add(tuning.PeerSilence))
	return c.Conn.Read(b)
}

// readLines calls f for every line until the connection ends or falls silent.
func readLines(conn net.Conn, f func(*line)) error {
	s := bufio.NewScanner(patient{conn})
	s.Buffer(make([]byte, 0, tuning.PeerBuffer), tuning.PeerLine)
	for s.Scan() {
		var m line
		if err := json.Unmarshal(s.Bytes(), &m); err != nil {
			return err
		}
		f(&m)
	}
	return s.Err()
}
