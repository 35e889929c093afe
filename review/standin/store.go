package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// entry is a key of the state service.
type entry struct {
	value   json.RawMessage
	version uint64
	lease   uint64
}

// lease is a lease of the state service.
type lease struct {
	ttl     time.Duration
	expires time.Time
}

// change is one logged change.
type change struct {
	Put     string          `json:"put,omitempty"`
	Value   json.RawMessage `json:"v,omitempty"`
	Version uint64          `json:"mark"`
	Delete  string          `json:"delete,omitempty"`
}

// stateService is the state service of the protocol page: a small consistent key-value store with
// conditional transactions, leases and watches.
type stateService struct {
	rec *recorder

	mu        sync.Mutex
	revision  uint64
	entries   map[string]*entry
	leases    map[uint64]*lease
	lastLease uint64
	log       []change
	changed   chan struct{} // closed at every change
}

func newStateService(rec *recorder) *stateService {
	return &stateService{
		rec: rec, revision: 1, entries: map[string]*entry{}, leases: map[uint64]*lease{}, changed: make(chan struct{}),
	}
}

// run ends leases that were not renewed in time, until stop is closed.
func (s *stateService) run(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		s.mu.Lock()
		now := time.Now()
		for id, l := range s.leases {
			if now.After(l.expires) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

// endLease ends a lease and removes its keys. The caller holds mu.
func (s *stateService) endLease(id uint64) {
	delete(s.leases, id)
	for key, e := range s.entries {
		if e.lease == id {
			s.revision++
			s.apply(change{Delete: key, Version: s.revision}, 0)
		}
	}
}

// apply applies one change. The caller holds mu and has increased the revision.
func (s *stateService) apply(c change, leaseID uint64) {
	if c.Delete != "" {
		delete(s.entries, c.Delete)
	} else {
		s.entries[c.Put] = &entry{value: c.Value, version: c.Version, lease: leaseID}
	}
	s.log = append(s.log, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *stateService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/changes" {
		s.watch(w, r)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case r.URL.Path == "/store":
		s.list(w, r)
	case strings.HasPrefix(r.URL.Path, "/store/"):
		s.get(w, strings.TrimPrefix(r.URL.Path, "/store/"))
	case r.URL.Path == "/multi":
		s.commit(w, r)
	case r.URL.Path == "/leases":
		s.grant(w, r)
	case strings.HasPrefix(r.URL.Path, "/leases/"):
		s.updateLease(w, r)
	default:
		respond(w, http.StatusBadRequest, map[string]any{"error": "unknown path"})
	}
}

func (s *stateService) get(w http.ResponseWriter, key string) {
	e := s.entries[key]
	if e == nil {
		respond(w, http.StatusNotFound, map[string]any{"logpage": s.revision})
		return
	}
	respond(w, http.StatusOK, s.row(key, e))
}

// row returns an entry as the service sends it.
func (s *stateService) row(key string, e *entry) map[string]any {
	row := map[string]any{"path": key, "v": e.value, "mark": e.version}
	if e.lease != 0 {
		row["mooring"] = e.lease
	}
	return row
}

func (s *stateService) list(w http.ResponseWriter, r *http.Request) {
	prefix, since := r.URL.Query().Get("starts"), r.URL.Query().Get("since")
	limit, err := strconv.Atoi(r.URL.Query().Get("limit"))
	if err != nil || limit > 1000 {
		limit = 1000
	}
	var keys []string
	for key := range s.entries {
		if strings.HasPrefix(key, prefix) && key > since {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	more := len(keys) > limit
	rows := []map[string]any{}
	for _, key := range keys[:min(len(keys), limit)] {
		rows = append(rows, s.row(key, s.entries[key]))
	}
	respond(w, http.StatusOK, map[string]any{"rows": rows, "hasNext": more, "logpage": s.revision})
}

// transaction is the body of a request to /multi.
type transaction struct {
	Guards []struct {
		Path string `json:"path"`
		Mark uint64 `json:"mark"`
	} `json:"guards"`
	Writes []struct {
		Put    string          `json:"put"`
		Value  json.RawMessage `json:"v"`
		Lease  uint64          `json:"mooring"`
		Delete string          `json:"delete"`
	} `json:"writes"`
}

func (s *stateService) commit(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if !decode(w, r, &t) {
		return
	}
	for _, write := range t.Writes {
		if write.Lease != 0 && s.leases[write.Lease] == nil {
			respond(w, http.StatusBadRequest, map[string]any{"error": "no such lease"})
			return
		}
	}
	failed := []string{}
	for _, g := range t.Guards {
		version := uint64(0)
		if e := s.entries[g.Path]; e != nil {
			version = e.version
		}
		if version != g.Mark {
			failed = append(failed, g.Path)
		}
	}
	if len(failed) > 0 {
		respond(w, http.StatusConflict, map[string]any{"failed": failed, "logpage": s.revision})
		return
	}
	if len(t.Writes) > 0 {
		s.revision++
	}
	for _, write := range t.Writes {
		s.apply(change{Put: write.Put, Value: write.Value, Delete: write.Delete, Version: s.revision}, write.Lease)
		s.rec.log("state", "write", write.Put+write.Delete, string(write.Value))
	}
	respond(w, http.StatusOK, map[string]any{"logpage": s.revision})
}

func (s *stateService) grant(w http.ResponseWriter, r *http.Request) {
	var request struct {
		TTL int64 `json:"lifeMs"`
	}
	if !decode(w, r, &request) {
		return
	}
	s.lastLease++
	ttl := time.Duration(request.TTL) * time.Millisecond
	s.leases[s.lastLease] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
	respond(w, http.StatusOK, map[string]any{"mooring": s.lastLease})
}

func (s *stateService) updateLease(w http.ResponseWriter, r *http.Request) {
	text, touch := strings.CutSuffix(strings.TrimPrefix(r.URL.Path, "/leases/"), "/touch")
	id, err := strconv.ParseUint(text, 10, 64)
	l := s.leases[id]
	switch {
	case err != nil:
		respond(w, http.StatusBadRequest, map[string]any{"error": "malformed"})
	case l == nil:
		respond(w, http.StatusNotFound, map[string]any{"logpage": s.revision})
	case touch:
		l.expires = time.Now().Add(l.ttl)
		respond(w, http.StatusOK, map[string]any{"mooring": id})
	default:
		s.endLease(id)
		respond(w, http.StatusOK, map[string]any{})
	}
}

// watch waits until a key with the prefix has changed or the time has run out.
func (s *stateService) watch(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("starts")
	since, sinceErr := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	blockMS, blockErr := strconv.Atoi(r.URL.Query().Get("blockMs"))
	if sinceErr != nil || blockErr != nil {
		respond(w, http.StatusBadRequest, map[string]any{"error": "malformed"})
		return
	}
	timeout := time.After(time.Duration(blockMS) * time.Millisecond)
	for {
		events, revision, changed := s.changesSince(prefix, since)
		if len(events) > 0 {
			respond(w, http.StatusOK, map[string]any{"logpage": revision, "log": events})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			respond(w, http.StatusOK, map[string]any{"logpage": revision, "log": []change{}})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// changesSince returns the changes of keys with the prefix after a revision, the current revision
// and a channel that is closed at the next change.
func (s *stateService) changesSince(prefix string, since uint64) ([]change, uint64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var events []change
	for i := len(s.log) - 1; i >= 0 && s.log[i].Version > since; i-- {
		if strings.HasPrefix(s.log[i].Put+s.log[i].Delete, prefix) {
			events = append([]change{s.log[i]}, events...)
		}
	}
	return events, s.revision, s.changed
}
