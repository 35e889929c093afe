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
	Store *KeyValueStore
	Cloud *Cloud
	rng   *rand.Rand
	// OnBoot is told of every machine once it is up.
	OnBoot func(wire.ListedMachine)
}

// NewServer returns a server around a state service and a cloud.
func NewServer(t wire.MachineType) *Server {
	return &Server{Store: NewKeyValueStore(), Cloud: NewCloud(t, 4), rng: rand.New(rand.NewPCG(1, 1))}
}

// SetStoreDown begins or ends an outage of the state service.
func (s *Server) SetStoreDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Store.Down = down
	s.Store.Advance(time.Now())
}

// HasMachine reports whether a machine is still rented.
func (s *Server) HasMachine(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Cloud.machines[name] != nil
}

// ReleaseZone takes all machines of a zone away, and returns how many there were.
func (s *Server) ReleaseZone(zone string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := len(s.Cloud.machines)
	maps.DeleteFunc(s.Cloud.machines, func(_ string, row *cloudMachine) bool { return row.Zone == zone })
	return before - len(s.Cloud.machines)
}

// Serve answers both services on ln.
func (s *Server) Serve(ln net.Listener) error {
	return (&fasthttp.Server{Handler: s.handle}).Serve(ln)
}

func writeResponse(rc *fasthttp.RequestCtx, err error, body any) {
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
	s.Store.Advance(now)
	switch {
	case strings.HasPrefix(path, "/store/"):
		item, err := s.Store.Get(strings.TrimPrefix(path, "/store/"))
		writeResponse(rc, err, item)
	case path == "/store":
		items, err := s.Store.List(string(args.Peek("starts")))
		writeResponse(rc, err, wire.KeyValuePage{Items: items})
	case path == "/multi":
		var txn wire.Txn
		if err := json.Unmarshal(rc.PostBody(), &txn); err != nil {
			writeResponse(rc, err, nil)
			return
		}
		res, err := s.Store.Commit(txn)
		writeResponse(rc, err, res)
	case path == "/leases":
		var r wire.LeaseRequest
		_ = json.Unmarshal(rc.PostBody(), &r)
		id, err := s.Store.Grant(now, time.Duration(r.TTLMS)*time.Millisecond)
		writeResponse(rc, err, wire.LeaseResponse{Lease: id})
	case strings.HasPrefix(path, "/leases/"):
		id, err := strconv.ParseUint(strings.TrimSuffix(strings.TrimPrefix(path, "/leases/"), "/touch"), 10, 64)
		if err == nil && method == fasthttp.MethodDelete {
			s.Store.revoke(id)
		} else if err == nil {
			err = s.Store.Renew(now, id)
		}
		writeResponse(rc, err, struct{}{})
	case path == "/machine_types":
		writeResponse(rc, nil, wire.MachineTypes{Types: []wire.MachineType{s.Cloud.Type}})
	case path == "/rentals" && method == fasthttp.MethodPost:
		var r wire.ProvisionRequest
		_ = json.Unmarshal(rc.PostBody(), &r)
		names := s.Cloud.Provision(now, s.rng, r)
		if len(names) == 0 {
			writeResponse(rc, kvstore.ErrUnavailable, wire.Error{Error: "no capacity"})
			return
		}
		for _, id := range names {
			if s.OnBoot != nil {
				go s.OnBoot(s.Cloud.machines[id].ListedMachine)
			}
		}
		writeResponse(rc, nil, wire.MachineNames{Machines: names})
	case path == "/rentals/release":
		var r wire.MachineNames
		_ = json.Unmarshal(rc.PostBody(), &r)
		for _, id := range r.Machines {
			delete(s.Cloud.machines, id)
		}
		writeResponse(rc, nil, struct{}{})
	case path == "/rentals":
		writeResponse(rc, nil, wire.MachineList{Machines: s.Cloud.List(now, 0)})
	default:
		writeResponse(rc, kvstore.ErrNotFound, struct{}{})
	}
}

// changes waits until the revision has moved or the time has run out.
func (s *Server) changes(rc *fasthttp.RequestCtx) {
	since, _ := strconv.ParseUint(string(rc.QueryArgs().Peek("since")), 10, 64)
	block, _ := strconv.Atoi(string(rc.QueryArgs().Peek("blockMs")))
	end := time.Now().Add(time.Duration(block) * time.Millisecond)
	for {
		s.mu.Lock()
		s.Store.Advance(time.Now())
		revision := s.Store.revision
		s.mu.Unlock()
		if revision > since || !time.Now().Before(end) {
			writeResponse(rc, nil, wire.WatchResponse{Revision: revision})
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}
