package node

import (
	"errors"
	"fmt"
	"net/http"
	"testing"

	"switchshore.example/switchshore/internal/httpclient"
	"switchshore.example/switchshore/internal/leader"
)

// TestDirectOutcome checks that commands count as not delivered only if no connection was made.
func TestDirectOutcome(t *testing.T) {
	for _, c := range []struct {
		status int
		err    error
		want   leader.DirectCallOutcome
	}{
		{http.StatusOK, nil, leader.DirectCallReplied},
		{http.StatusConflict, nil, leader.DirectCallReplied},
		{http.StatusServiceUnavailable, nil, leader.DirectCallUncertain},
		{http.StatusNotFound, nil, leader.DirectCallUncertain},
		{0, httpclient.ErrNoResponse, leader.DirectCallUncertain},
		{http.StatusOK, errors.New("malformed"), leader.DirectCallUncertain},
		{0, fmt.Errorf("call: %w", httpclient.ErrNotSent), leader.DirectCallNotDelivered},
	} {
		if got := directOutcome(c.status, c.err); got != c.want {
			t.Errorf("%d, %v: %v, want %v", c.status, c.err, got, c.want)
		}
	}
}
