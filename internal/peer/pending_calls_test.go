package peer

import (
	"context"
	"errors"
	"net"
	"testing"

	"switchshore.example/switchshore/internal/tuning"
)

// TestPendingCalls checks that a call receives the response with its ID, that a removed call receives
// none, that all calls fail when the connection ends, and that the number of calls is limited.
func TestPendingCalls(t *testing.T) {
	local, remote := net.Pipe()
	defer local.Close()
	defer remote.Close()
	var p pendingCalls
	if _, writer := p.add(&Call{}); writer != nil {
		t.Fatal("a call was added without a connection")
	}
	p.open(newLineWriter(local))
	var first, second, third Call
	firstResult, _ := p.add(&first)
	secondResult, _ := p.add(&second)
	thirdResult, _ := p.add(&third)
	if first.ID == second.ID || second.ID == third.ID {
		t.Fatalf("got the IDs %d, %d, %d, want different ones", first.ID, second.ID, third.ID)
	}
	p.resolve(&Response{ID: second.ID, Status: 201})
	if got := <-secondResult; got.Status != 201 {
		t.Errorf("the second call received %+v, want status 201", got)
	}
	p.remove(first.ID, firstResult)
	p.resolve(&Response{ID: first.ID})
	if len(firstResult) != 0 {
		t.Error("a removed call received a response")
	}
	p.close()
	if _, open := <-thirdResult; open {
		t.Error("the third call did not fail when its connection ended")
	}
	p.open(newLineWriter(local))
	for range tuning.PeerMaxCalls {
		if _, writer := p.add(&Call{}); writer == nil {
			t.Fatal("a call below the limit was not added")
		}
	}
	if _, writer := p.add(&Call{}); writer != nil {
		t.Error("a call above the limit was added")
	}
}

// TestCancelledCallIsRemoved checks that a call to a peer that does not respond returns when the
// caller's context ends, and is no longer pending.
func TestCancelledCallIsRemoved(t *testing.T) {
	local, remote := net.Pipe()
	defer local.Close()
	defer remote.Close()
	var l link
	l.calls.open(newLineWriter(local))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := l.call(ctx, Call{Op: OpQuery}); !errors.Is(err, context.Canceled) {
		t.Errorf("error %v, want context.Canceled", err)
	}
	if len(l.calls.results) != 0 {
		t.Errorf("%d calls are pending, want none", len(l.calls.results))
	}
}
