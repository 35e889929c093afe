package peer

import (
	"context"
	"errors"
	"net"
	"testing"

	"switchshore.example/switchshore/internal/tuning"
)

// TestPendingCalls checks that each call receives the response with its ID, that a removed call
// receives none, that all calls end with their connection, and that their number is limited.
func TestPendingCalls(t *testing.T) {
	local, remote := net.Pipe()
	defer local.Close()
	defer remote.Close()
	var p pendingCalls
	if _, out := p.add(&Call{}); out != nil {
		t.Fatal("a call was added without a connection")
	}
	p.open(newLineWriter(local))
	var first, second, third Call
	firstResult, _ := p.add(&first)
	secondResult, _ := p.add(&second)
	thirdResult, _ := p.add(&third)
	if first.ID == second.ID || second.ID == third.ID {
		t.Fatalf("IDs %d, %d, %d", first.ID, second.ID, third.ID)
	}
	p.resolve(&Response{ID: second.ID, Status: 201})
	if got := <-secondResult; got.Status != 201 {
		t.Errorf("the second call: %+v", got)
	}
	p.remove(first.ID, firstResult)
	p.resolve(&Response{ID: first.ID})
	if len(firstResult) != 0 {
		t.Error("a removed call received a response")
	}
	p.close()
	if _, open := <-thirdResult; open {
		t.Error("a call is pending after its connection has ended")
	}
	p.open(newLineWriter(local))
	for range tuning.PeerMaxCalls {
		if _, out := p.add(&Call{}); out == nil {
			t.Fatal("a call below the limit was not added")
		}
	}
	if _, out := p.add(&Call{}); out != nil {
		t.Error("a call above the limit was added")
	}
}

// TestCancelledCallIsRemoved checks that a call to a peer that does not respond ends with the
// caller's context and is no longer pending.
func TestCancelledCallIsRemoved(t *testing.T) {
	local, remote := net.Pipe()
	defer local.Close()
	defer remote.Close()
	var l link
	l.calls.open(newLineWriter(local))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := l.call(ctx, Call{Op: OpQuery}); !errors.Is(err, context.Canceled) {
		t.Errorf("error %v", err)
	}
	if len(l.calls.results) != 0 {
		t.Errorf("%d calls are pending", len(l.calls.results))
	}
}
