package loadtest

import (
	"time"

	"github.com/valyala/fasthttp"
)

// httpResponse is a response; its status is 0 if there was none.
type httpResponse struct {
	status     int
	retryAfter int // seconds, 0 if the response does not say
	body       []byte
}

// isSuccess reports whether a status is one of success.
func isSuccess(status int) bool { return status/100 == 2 }

// isClientError reports whether a status says that the request itself is at fault.
func isClientError(status int) bool { return status/100 == 4 }

// sendHTTP sends a request to an address on loopback.
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

// retryAfter is the header of that name in seconds, 0 if there is none.
func retryAfter(response *fasthttp.Response) int {
	seconds, err := fasthttp.ParseUint(response.Header.Peek(fasthttp.HeaderRetryAfter))
	if err != nil {
		return 0
	}
	return seconds
}
