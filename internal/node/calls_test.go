package node

import (
	"errors"
	"fmt"
	"net/http"
	"testing"

	"switchshore.example/switchshore/internal/httpclient"
	"switchshore.example/switchshore/internal/leader"
)

// TestOutcomesOfDirectCalls: commands count as not delivered only if there was no connection.
func TestOutcomesOfDirectCalls(t *testing.T) {
	for _, c := range []struct {
		status int
		err    error
		want   leader.DirectOutcome
	}{
		{http.StatusOK, nil, leader.DirectReplied},
		{http.StatusConflict, nil, leader.DirectReplied},
		{http.StatusServiceUnavailable, nil, leader.DirectUnknown},
		{http.StatusNotFound, nil, leader.DirectUnknown},
		{0, httpclient.ErrNoResponse, leader.DirectUnknown},
		{http.StatusOK, errors.New("malformed"), leader.DirectUnknown},
		{0, fmt.Errorf("call: %w", httpclient.ErrNotSent), leader.DirectNotDelivered},
	} {
		if got := directOutcome(c.status, c.err); got != c.want {
			t.Errorf("%d, %v: %v, want %v", c.status, c.err, got, c.want)
		}
	}
}
