// Package peertest provides a fake node for tests of clients of the protocol between nodes.
package peertest

import (
	"bufio"
	"encoding/json"
	"errors"
	"net"
	"sync"
	"testing"

	"switchshore.example/switchshore/internal/peer"
)

// Server responds to calls on a loopback address until the test ends.
type Server struct {
	// Addr is the address on which the server listens.
	Addr string

	t       testing.TB
	respond func(peer.Call) *peer.Response

	mu    sync.Mutex
	calls []peer.Call
}

// callLine and responseLine are the lines of a call and of its response.
type (
	callLine struct {
		Call *peer.Call `json:"call"`
	}
	responseLine struct {
		Response *peer.Response `json:"answer"`
	}
)

// Start starts a server that sends the result of respond to each call, or closes the connection
// if the result is nil.
func Start(t testing.TB, respond func(peer.Call) *peer.Response) *Server {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &Server{Addr: listener.Addr().String(), t: t, respond: respond}
	var done sync.WaitGroup
	done.Go(func() { s.accept(listener) })
	t.Cleanup(func() {
		if err := listener.Close(); err != nil {
			t.Error(err)
		}
		done.Wait()
	})
	return s
}

// Calls returns the calls received so far.
func (s *Server) Calls() []peer.Call {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]peer.Call(nil), s.calls...)
}

// accept serves one connection at a time, which suffices as clients in tests call sequentially.
func (s *Server) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.t.Error(err)
			return
		}
		s.serve(conn)
	}
}

// serve responds to the calls on a connection until the client closes it.
func (s *Server) serve(conn net.Conn) {
	defer conn.Close()
	lines := bufio.NewScanner(conn)
	for lines.Scan() {
		var line callLine
		if err := json.Unmarshal(lines.Bytes(), &line); err != nil || line.Call == nil {
			s.t.Errorf("not a call: %s (%v)", lines.Bytes(), err)
			return
		}
		s.mu.Lock()
		s.calls = append(s.calls, *line.Call)
		s.mu.Unlock()
		response := s.respond(*line.Call)
		if response == nil {
			return
		}
		response.ID = line.Call.ID
		if err := json.NewEncoder(conn).Encode(responseLine{Response: response}); err != nil {
			s.t.Error(err)
			return
		}
	}
}
