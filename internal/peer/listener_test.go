package peer

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/rs/zerolog"
)

// TestIncompleteCallsAreRejected: a peer of another version may send calls without the fields that
// this version requires. The hub must respond with 503, must not execute them, and must keep the
// connection open.
func TestIncompleteCallsAreRejected(t *testing.T) {
	h := NewHub(zerolog.Nop(), nil)
	h.Handle = func(_ context.Context, c Call) Response {
		if !c.isComplete() {
			t.Errorf("executed: %+v", c)
		}
		return Response{Status: http.StatusOK}
	}
	client, server := net.Pipe()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go h.serveConnection(ctx, server)
	responses := bufio.NewReader(client)
	for _, c := range []struct{ call, want string }{
		{`{"call":{"id":1,"op":"report","body":{"deck":"i-1"}}}`, `"status":503`},
		{`{"call":{"id":2,"op":"submit","body":{}}}`, `"status":503`},
		{`{"call":{"id":3,"op":"query","job":"job-000001"}}`, `"status":200`},
	} {
		if _, err := client.Write([]byte(c.call + "\n")); err != nil {
			t.Fatal(err)
		}
		if got, err := responses.ReadString('\n'); err != nil || !strings.Contains(got, c.want) {
			t.Errorf("%s: %s %v", c.call, got, err)
		}
	}
}
