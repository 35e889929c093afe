package peer

import (
	"context"
	"errors"
	"net"
	"testing"

	"switchshore.example/switchshore/internal/tuning"
)

// TestPendingCalls: each gets the answer with its ID, one that was given up gets none, all end
// with their connection, and their number is bounded.
func TestPendingCalls(t *testing.T) {
	ours, theirs := net.Pipe()
	defer ours.Close()
	defer theirs.Close()
	var p pendingCalls
	if _, out := p.add(&Call{}); out != nil {
		t.Fatal("a call without a connection")
	}
	p.open(newLineWriter(ours))
	var first, second, third Call
	firstAnswer, _ := p.add(&first)
	secondAnswer, _ := p.add(&second)
	thirdAnswer, _ := p.add(&third)
	if first.ID == second.ID || second.ID == third.ID {
		t.Fatalf("IDs %d, %d, %d", first.ID, second.ID, third.ID)
	}
	p.resolve(&Response{ID: second.ID, Status: 201})
	if got := <-secondAnswer; got.Status != 201 {
		t.Errorf("the second call: %+v", got)
	}
	p.remove(first.ID, firstAnswer)
	p.resolve(&Response{ID: first.ID})
	if len(firstAnswer) != 0 {
		t.Error("an answer to a call that was given up")
	}
	p.close()
	if _, open := <-thirdAnswer; open {
		t.Error("a call outlives its connection")
	}
	p.open(newLineWriter(ours))
	for range tuning.PeerMaxCalls {
		if _, out := p.add(&Call{}); out == nil {
			t.Fatal("refused below the bound")
		}
	}
	if _, out := p.add(&Call{}); out != nil {
		t.Error("more calls than the bound")
	}
}

// TestCallsEndWithTheCaller: a peer that does not answer is waited for only as long as
// the caller waits, and leaves nothing behind.
func TestCallsEndWithTheCaller(t *testing.T) {
	ours, theirs := net.Pipe()
	defer ours.Close()
	defer theirs.Close()
	var l link
	l.calls.open(newLineWriter(ours))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := l.call(ctx, Call{Op: OpQuery}); !errors.Is(err, context.Canceled) {
		t.Errorf("error %v", err)
	}
	if len(l.calls.answers) != 0 {
		t.Errorf("%d calls are left", len(l.calls.answers))
	}
}
