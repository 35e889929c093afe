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

// TestIncompleteCallsAreRefused: a peer of another version may send calls
// without what this one requires; they are refused for now, and neither carried
// out nor a reason to close the link.
func TestIncompleteCallsAreRefused(t *testing.T) {
	h := NewHub(zerolog.Nop(), nil)
	h.Handle = func(_ context.Context, c Call) Response {
		if !c.isComplete() {
			t.Errorf("carried out: %+v", c)
		}
		return Response{Status: http.StatusOK}
	}
	ours, theirs := net.Pipe()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go h.serveConnection(ctx, theirs)
	answers := bufio.NewReader(ours)
	for _, c := range []struct{ call, want string }{
		{`{"call":{"id":1,"op":"report","body":{"deck":"i-1"}}}`, `"status":503`},
		{`{"call":{"id":2,"op":"submit","body":{}}}`, `"status":503`},
		{`{"call":{"id":3,"op":"query","job":"job-000001"}}`, `"status":200`},
	} {
		if _, err := ours.Write([]byte(c.call + "\n")); err != nil {
			t.Fatal(err)
		}
		if got, err := answers.ReadString('\n'); err != nil || !strings.Contains(got, c.want) {
			t.Errorf("%s: %s %v", c.call, got, err)
		}
	}
}
