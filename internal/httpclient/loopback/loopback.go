// Package loopback provides an HTTP server on a loopback address for tests of HTTP clients.
package loopback

import (
	"net"
	"testing"

	"github.com/valyala/fasthttp"
)

// Serve starts a server that runs until the test ends, and returns its address.
func Serve(t testing.TB, handler fasthttp.RequestHandler) (addr string) {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := ln.Close(); err != nil {
			t.Error(err)
		}
	})
	server := &fasthttp.Server{Handler: handler}
	go func() { _ = server.Serve(ln) }() // it returns when the listener is closed
	return ln.Addr().String()
}
