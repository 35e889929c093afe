package httpclient_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"switchshore.example/switchshore/internal/httpclient"
	"switchshore.example/switchshore/internal/httpclient/loopback"
)

// echoStatusAndBody responds to "/STATUS/BODY" with that status and that body.
func echoStatusAndBody(rc *fasthttp.RequestCtx) {
	status, body, _ := strings.Cut(strings.TrimPrefix(string(rc.Path()), "/"), "/")
	code, err := strconv.Atoi(status)
	if err != nil {
		code = fasthttp.StatusTeapot
	}
	rc.SetStatusCode(code)
	rc.SetBodyString(body)
}

// TestResponses checks that only a 2xx or 409 response is decoded, and that a body that can't be
// decoded counts as no response.
func TestResponses(t *testing.T) {
	client := httpclient.New(loopback.Serve(t, echoStatusAndBody), 1, time.Second)
	for _, c := range []struct {
		uri    string
		status int
		result int
		err    error
	}{
		{"/200/7", http.StatusOK, 7, nil},
		{"/201/7", http.StatusCreated, 7, nil},
		{"/409/7", http.StatusConflict, 7, nil},
		{"/404/7", http.StatusNotFound, 0, nil},
		{"/503/{", http.StatusServiceUnavailable, 0, nil},
		{"/200/{", http.StatusOK, 0, httpclient.ErrNoResponse},
	} {
		result := 0
		status, err := client.Do(context.Background(), time.Second, http.MethodGet, c.uri, nil, &result)
		if status != c.status || result != c.result || !errors.Is(err, c.err) {
			t.Errorf("%s: %d, %d, %v", c.uri, status, result, err)
		}
	}
}

// TestConnectFailureIsErrNotSent checks that a failed connection gives ErrNotSent, as the request
// can't have been executed, and that the error matches ErrNoResponse too.
func TestConnectFailureIsErrNotSent(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = ln.Close() // nobody listens there now
	_, err = httpclient.New(ln.Addr().String(), 1, time.Second).Do(context.Background(), time.Second, http.MethodGet, "/x", nil, nil)
	var noResponse *httpclient.NoResponseError
	if !errors.Is(err, httpclient.ErrNotSent) || !errors.Is(err, httpclient.ErrNoResponse) || !errors.As(err, &noResponse) || noResponse.URI != "/x" {
		t.Errorf("error %v", err)
	}
}

// TestStatusErrorWrapsItsCause checks that callers can match the wrapped error and read the status.
func TestStatusErrorWrapsItsCause(t *testing.T) {
	cause := errors.New("refused")
	var err error = &httpclient.StatusError{Method: http.MethodGet, URI: "/x", Status: http.StatusTooManyRequests, Err: cause}
	var status *httpclient.StatusError
	if !errors.Is(err, cause) || !errors.As(err, &status) || status.Status != http.StatusTooManyRequests {
		t.Errorf("%v", err)
	}
	if want := "refused: GET /x: status 429"; err.Error() != want {
		t.Errorf("%q, want %q", err, want)
	}
}
