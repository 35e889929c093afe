package simulation

import (
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"switchshore.example/switchshore/wire"
)

// handleStore handles a request to the key-value store, and returns false for other requests.
func (s *Server) handleStore(rc *fasthttp.RequestCtx, now time.Time) bool {
	path := string(rc.Path())
	key, isKey := strings.CutPrefix(path, "/store/")
	lease, isLease := strings.CutPrefix(path, "/leases/")
	switch {
	case isKey:
		item, err := s.Store.Get(key)
		writeResponse(rc, err, item)
	case path == "/store":
		items, err := s.Store.List(string(rc.QueryArgs().Peek("starts")))
		writeResponse(rc, err, wire.KeyValuePage{Items: items})
	case path == "/multi":
		var txn wire.Txn
		if decode(rc, &txn) {
			result, err := s.Store.Commit(txn)
			writeResponse(rc, err, result)
		}
	case path == "/leases":
		var r wire.LeaseRequest
		if decode(rc, &r) {
			id, err := s.Store.GrantLease(now, time.Duration(r.TTLMS)*time.Millisecond)
			writeResponse(rc, err, wire.LeaseResponse{Lease: id})
		}
	case isLease:
		writeResponse(rc, s.updateLease(rc, now, strings.TrimSuffix(lease, "/touch")), struct{}{})
	default:
		return false
	}
	return true
}

// updateLease revokes or renews a lease.
func (s *Server) updateLease(rc *fasthttp.RequestCtx, now time.Time, name string) error {
	id, err := strconv.ParseUint(name, 10, 64)
	if err != nil {
		return err
	}
	if rc.IsDelete() {
		s.Store.revoke(id)
		return nil
	}
	return s.Store.RenewLease(now, id)
}

// handleWatch handles a watch request: it responds when there is a newer revision or when the
// requested time has passed.
func (s *Server) handleWatch(rc *fasthttp.RequestCtx) {
	args := rc.QueryArgs()
	since, err := strconv.ParseUint(string(args.Peek("since")), 10, 64)
	if err != nil {
		writeResponse(rc, err, nil)
		return
	}
	blockMS, err := strconv.Atoi(string(args.Peek("blockMs")))
	if err != nil {
		writeResponse(rc, err, nil)
		return
	}
	end := time.Now().Add(time.Duration(blockMS) * time.Millisecond)
	for {
		revision := s.revision()
		if revision > since || !time.Now().Before(end) {
			writeResponse(rc, nil, wire.WatchResponse{Revision: revision})
			return
		}
		time.Sleep(watchPollInterval)
	}
}

// revision returns the store's current revision.
func (s *Server) revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Store.Advance(time.Now())
	return s.Store.revision
}
