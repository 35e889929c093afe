package loadtest

import (
	"time"

	"github.com/valyala/fasthttp"
)

// httpResponse is a response to an HTTP request. Its status is 0 if none was received.
type httpResponse struct {
	status     int
	retryAfter int // seconds, 0 without a valid Retry-After header
	body       []byte
}

// isSuccess reports whether a status is 2xx.
func isSuccess(status int) bool { return status/100 == 2 }

// isClientError reports whether a status is 4xx.
func isClientError(status int) bool { return status/100 == 4 }

// sendHTTP sends a request and returns the response.
func sendHTTP(client *fasthttp.Client, addr, method, path string, body []byte, timeout time.Duration) httpResponse {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + addr + path)
	request.SetBody(body)
	if err := client.DoTimeout(request, response, timeout); err != nil {
		return httpResponse{}
	}
	return httpResponse{response.StatusCode(), retryAfter(response), append([]byte(nil), response.Body()...)}
}

// retryAfter returns the Retry-After header in seconds, or 0 if it is missing or not a number.
func retryAfter(response *fasthttp.Response) int {
	seconds, err := fasthttp.ParseUint(response.Header.Peek(fasthttp.HeaderRetryAfter))
	if err != nil {
		return 0
	}
	return seconds
}
