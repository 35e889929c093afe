package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"
)

// respond sends a status and a JSON body.
func respond(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		status, data = http.StatusInternalServerError, []byte("{}")
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data) // the client has gone if this fails
}

// decode decodes the JSON body of a request. If it is malformed, decode answers 400 and returns false.
func decode(w http.ResponseWriter, r *http.Request, body any) bool {
	data, err := io.ReadAll(r.Body)
	if err == nil {
		err = json.Unmarshal(data, body)
	}
	if err != nil {
		respond(w, http.StatusBadRequest, map[string]any{"error": "malformed"})
		return false
	}
	return true
}

// listen opens a listener on a free loopback port and serves the handler on it for the life of the
// process. It returns the address.
func listen(handler http.Handler) (string, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(ln, handler) }() // serves until the process exits
	return ln.Addr().String(), nil
}

// freeAddresses returns distinct loopback addresses at which nothing listens.
func freeAddresses(count int) ([]string, error) {
	var addrs []string
	for range count {
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer ln.Close() // after all addresses are found, so that they differ
		addrs = append(addrs, ln.Addr().String())
	}
	return addrs, nil
}

// call sends a request with a JSON body and returns the status and the body of the answer. The
// status is 0 without an answer within the timeout.
func call(client *http.Client, timeout time.Duration, method, url string, body any) (int, []byte) {
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return 0, nil
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	if err != nil {
		return 0, nil
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, answer
}
