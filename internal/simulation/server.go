package simulation

import (
	"encoding/json"
	"errors"
	"maps"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"switchshore.example/switchshore/internal/kvstore"
	"switchshore.example/switchshore/wire"
)

// watchPollInterval is the interval at which a blocked watch checks for a new revision.
const watchPollInterval = 20 * time.Millisecond

// Server serves a key-value store and a cloud over HTTP in real time, for tests of whole nodes.
type Server struct {
	mu    sync.Mutex
	Store *KeyValueStore
	Cloud *Cloud
	rng   *rand.Rand
	// OnBoot, if set, is called with every provisioned machine, each time in a new goroutine.
	OnBoot func(wire.ListedMachine)
}

// NewServer returns a server with an empty store and a cloud with one machine type.
func NewServer(t wire.MachineType) *Server {
	return &Server{Store: NewKeyValueStore(), Cloud: NewCloud(t, cloudCapacity), rng: rand.New(rand.NewPCG(1, 1))}
}

// SetStoreDown starts or ends an outage of the key-value store.
func (s *Server) SetStoreDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Store.Down = down
	s.Store.Advance(time.Now())
}

// HasMachine reports whether a machine exists.
func (s *Server) HasMachine(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Cloud.machines[name] != nil
}

// ReleaseZone removes all machines of a zone and returns their number.
func (s *Server) ReleaseZone(zone string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := len(s.Cloud.machines)
	maps.DeleteFunc(s.Cloud.machines, func(_ string, machine *cloudMachine) bool { return machine.Zone == zone })
	return before - len(s.Cloud.machines)
}

// Serve handles requests to both services until the listener is closed.
func (s *Server) Serve(ln net.Listener) error {
	return (&fasthttp.Server{Handler: s.handle}).Serve(ln)
}

// writeResponse writes a body as JSON, with the status code for the error.
func writeResponse(rc *fasthttp.RequestCtx, err error, body any) {
	data, marshalErr := json.Marshal(body)
	if marshalErr != nil {
		rc.Error(marshalErr.Error(), fasthttp.StatusInternalServerError)
		return
	}
	rc.SetStatusCode(statusOf(err))
	rc.SetBody(data)
}

func statusOf(err error) int {
	switch {
	case err == nil:
		return fasthttp.StatusOK
	case errors.Is(err, kvstore.ErrUnavailable):
		return fasthttp.StatusServiceUnavailable
	case errors.Is(err, kvstore.ErrNotFound):
		return fasthttp.StatusNotFound
	case errors.Is(err, kvstore.ErrConflict):
		return fasthttp.StatusConflict
	}
	return fasthttp.StatusBadRequest
}

// decode decodes the JSON body of a request. If the body is invalid, it writes a response with
// status 400 and returns false.
func decode(rc *fasthttp.RequestCtx, body any) bool {
	if err := json.Unmarshal(rc.PostBody(), body); err != nil {
		writeResponse(rc, err, nil)
		return false
	}
	return true
}

// handle handles a request to either service.
func (s *Server) handle(rc *fasthttp.RequestCtx) {
	if string(rc.Path()) == "/changes" {
		s.handleWatch(rc)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.Store.Advance(now)
	if s.handleStore(rc, now) || s.handleCloud(rc, now) {
		return
	}
	writeResponse(rc, kvstore.ErrNotFound, struct{}{})
}
