package simulation

import (
	"encoding/json"
	"errors"
	"maps"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"switchshore.example/switchshore/internal/kvstore"
	"switchshore.example/switchshore/wire"
)

// Server serves the state service and the cloud over HTTP in real time, for
// tests of whole nodes.
type Server struct {
	mu    sync.Mutex
	State *State
	Cloud *Cloud
	rng   *rand.Rand
	// Booted is told of every machine once it is up.
	Booted func(wire.ListedMachine)
}

// NewServer returns a server around a state service and a cloud.
func NewServer(t wire.MachineType) *Server {
	return &Server{State: NewState(), Cloud: NewCloud(t, 4), rng: rand.New(rand.NewPCG(1, 1))}
}

// SetDown begins or ends an outage of the state service.
func (s *Server) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.State.Down = down
	s.State.Advance(time.Now())
}

// Rented reports whether a machine is still rented.
func (s *Server) Rented(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Cloud.rows[name] != nil
}

// ReleaseZone takes all machines of a zone away, and returns how many there were.
func (s *Server) ReleaseZone(zone string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := len(s.Cloud.rows)
	maps.DeleteFunc(s.Cloud.rows, func(_ string, row *cloudRow) bool { return row.Zone == zone })
	return before - len(s.Cloud.rows)
}

// Serve answers both services on ln.
func (s *Server) Serve(ln net.Listener) error {
	return (&fasthttp.Server{Handler: s.handle}).Serve(ln)
}

func answer(rc *fasthttp.RequestCtx, err error, body any) {
	status := fasthttp.StatusOK
	switch {
	case errors.Is(err, kvstore.ErrUnavailable):
		status = fasthttp.StatusServiceUnavailable
	case errors.Is(err, kvstore.ErrNotFound):
		status = fasthttp.StatusNotFound
	case errors.Is(err, kvstore.ErrConflict):
		status = fasthttp.StatusConflict
	case err != nil:
		status = fasthttp.StatusBadRequest
	}
	data, _ := json.Marshal(body)
	rc.SetStatusCode(status)
	rc.SetBody(data)
}

func (s *Server) handle(rc *fasthttp.RequestCtx) {
	path, method := string(rc.Path()), string(rc.Method())
	args := rc.QueryArgs()
	if path == "/changes" {
		s.changes(rc)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.State.Advance(now)
	switch {
	case strings.HasPrefix(path, "/store/"):
		item, err := s.State.Get(strings.TrimPrefix(path, "/store/"))
		answer(rc, err, item)
	case path == "/store":
		items, err := s.State.List(string(args.Peek("starts")))
		answer(rc, err, wire.KeyValuePage{Items: items})
	case path == "/multi":
		var txn wire.Txn
		if err := json.Unmarshal(rc.PostBody(), &txn); err != nil {
			answer(rc, err, nil)
			return
		}
		res, err := s.State.Commit(txn)
		answer(rc, err, res)
	case path == "/leases":
		var r wire.LeaseRequest
		_ = json.Unmarshal(rc.PostBody(), &r)
		id, err := s.State.Grant(now, time.Duration(r.TTLMS)*time.Millisecond)
		answer(rc, err, wire.LeaseResponse{Lease: id})
	case strings.HasPrefix(path, "/leases/"):
		id, err := strconv.ParseUint(strings.TrimSuffix(strings.TrimPrefix(path, "/leases/"), "/touch"), 10, 64)
		if err == nil && method == fasthttp.MethodDelete {
			s.State.revoke(id)
		} else if err == nil {
			err = s.State.Renew(now, id)
		}
		answer(rc, err, struct{}{})
	case path == "/machine_types":
		answer(rc, nil, wire.MachineTypes{Types: []wire.MachineType{s.Cloud.Type}})
	case path == "/rentals" && method == fasthttp.MethodPost:
		var r wire.ProvisionRequest
		_ = json.Unmarshal(rc.PostBody(), &r)
		names := s.Cloud.Rent(now, s.rng, r)
		if len(names) == 0 {
			answer(rc, kvstore.ErrUnavailable, wire.Error{Error: "no capacity"})
			return
		}
		for _, id := range names {
			if s.Booted != nil {
				go s.Booted(s.Cloud.rows[id].ListedMachine)
			}
		}
		answer(rc, nil, wire.MachineNames{Machines: names})
	case path == "/rentals/release":
		var r wire.MachineNames
		_ = json.Unmarshal(rc.PostBody(), &r)
		for _, id := range r.Machines {
			delete(s.Cloud.rows, id)
		}
		answer(rc, nil, struct{}{})
	case path == "/rentals":
		answer(rc, nil, wire.MachineList{Machines: s.Cloud.List(now, 0)})
	default:
		answer(rc, kvstore.ErrNotFound, struct{}{})
	}
}

// changes waits until the revision has moved or the time has run out.
func (s *Server) changes(rc *fasthttp.RequestCtx) {
	since, _ := strconv.ParseUint(string(rc.QueryArgs().Peek("since")), 10, 64)
	block, _ := strconv.Atoi(string(rc.QueryArgs().Peek("blockMs")))
	end := time.Now().Add(time.Duration(block) * time.Millisecond)
	for {
		s.mu.Lock()
		s.State.Advance(time.Now())
		revision := s.State.revision
		s.mu.Unlock()
		if revision > since || !time.Now().Before(end) {
			answer(rc, nil, wire.WatchResponse{Revision: revision})
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}
