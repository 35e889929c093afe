package main

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxBodyBytes is the limit of the protocol for the body of a request.
const maxBodyBytes = 64 << 10

// storeItem is a key of the state service with its value.
type storeItem struct {
	Path    string          `json:"path"`
	Value   json.RawMessage `json:"v"`
	Mark    uint64          `json:"mark"`
	Mooring uint64          `json:"mooring,omitempty"`
}

// storeChange is a change in the log of the state service.
type storeChange struct {
	Put    string          `json:"put,omitempty"`
	Value  json.RawMessage `json:"v,omitempty"`
	Delete string          `json:"delete,omitempty"`
	Mark   uint64          `json:"mark"`
}

// storeLease is a lease of the state service.
type storeLease struct {
	life time.Duration
	ends time.Time
}

// storeGuard is a condition of a transaction.
type storeGuard struct {
	Path string `json:"path"`
	Mark uint64 `json:"mark"`
}

// storeWrite is a put or a delete in a transaction.
type storeWrite struct {
	Put     string          `json:"put"`
	Value   json.RawMessage `json:"v"`
	Mooring uint64          `json:"mooring"`
	Delete  string          `json:"delete"`
}

// store is a stand-in of the state service.
type store struct {
	limits   stateLimits
	requests *bucket
	changes  *bucket
	// latency is the time that the service takes for a request. down, if set, reports whether the
	// service answers 503 now. Neither may change after the start.
	latency func() time.Duration
	down    func() bool
	// onCommit, if set, is called with the key of each change.
	onCommit func(key string, deleted bool)

	mu        sync.Mutex
	items     map[string]storeItem
	leases    map[uint64]*storeLease
	lastLease uint64
	revision  uint64
	log       []storeChange
	changed   chan struct{} // closed at the next change
}

// stateLimits are the limits of the state service in the settings.
type stateLimits struct {
	rps, writeRPS float64
	valueKB       float64
	txnOps        int
}

func newStore(limits stateLimits) *store {
	return &store{
		limits: limits, requests: newBucket(limits.rps), changes: newBucket(limits.writeRPS),
		latency: func() time.Duration { return 2 * time.Millisecond },
		items:   map[string]storeItem{}, leases: map[uint64]*storeLease{}, changed: make(chan struct{}),
	}
}

// bucket allows a number of units a second, and bursts of one second's worth.
type bucket struct {
	mu     sync.Mutex
	rate   float64
	tokens float64
	at     time.Time
}

func newBucket(rate float64) *bucket { return &bucket{rate: rate, tokens: rate, at: time.Now()} }

func (b *bucket) take(n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.tokens = min(b.rate, b.tokens+now.Sub(b.at).Seconds()*b.rate)
	b.at = now
	if b.tokens < float64(n) {
		return false
	}
	b.tokens -= float64(n)
	return true
}

// reply writes a JSON response.
func reply(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data) // the caller has gone if this fails
}

type object map[string]any

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(s.latency())
	if !s.requests.take(1) {
		reply(w, http.StatusTooManyRequests, object{"error": "too many requests"})
		return
	}
	if s.down != nil && s.down() && r.URL.Path != "/changes" {
		reply(w, http.StatusServiceUnavailable, object{"error": "trouble"})
		return
	}
	key, isKey := strings.CutPrefix(r.URL.Path, "/store/")
	lease, isLease := strings.CutPrefix(r.URL.Path, "/leases/")
	switch {
	case isKey:
		s.get(w, key)
	case r.URL.Path == "/store":
		s.list(w, r)
	case r.URL.Path == "/multi":
		s.multi(w, r)
	case r.URL.Path == "/leases":
		s.grant(w, r)
	case isLease:
		s.lease(w, r, strings.TrimSuffix(lease, "/touch"))
	case r.URL.Path == "/changes":
		s.watch(w, r)
	default:
		reply(w, http.StatusBadRequest, object{"error": "unknown path"})
	}
}

// expire ends the leases whose time is over. The caller holds mu.
func (s *store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.ends) {
			s.endLease(id)
		}
	}
}

// endLease ends a lease and deletes its keys. The caller holds mu.
func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	var keys []string
	for key, item := range s.items {
		if item.Mooring == id {
			keys = append(keys, key)
		}
	}
	if len(keys) == 0 {
		return
	}
	s.revision++
	for _, key := range keys {
		delete(s.items, key)
		s.log = append(s.log, storeChange{Delete: key, Mark: s.revision})
	}
	s.wake()
}

// wake wakes the watches. The caller holds mu.
func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expireLoop ends leases at most 50 ms late.
func (s *store) expireLoop() {
	for {
		time.Sleep(50 * time.Millisecond)
		s.mu.Lock()
		if s.down == nil || !s.down() {
			s.expire()
		}
		s.mu.Unlock()
	}
}

// setOnCommit sets onCommit.
func (s *store) setOnCommit(f func(key string, deleted bool)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onCommit = f
}

func (s *store) get(w http.ResponseWriter, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	item, ok := s.items[key]
	if !ok {
		reply(w, http.StatusNotFound, object{"logpage": s.revision})
		return
	}
	reply(w, http.StatusOK, item)
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit < 1 || limit > 1000 {
		limit = 1000
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, query.Get("starts")) && key > query.Get("since") {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	rows, size, more := []storeItem{}, 0, false
	for _, key := range keys {
		size += len(key) + len(s.items[key].Value) + 64
		if len(rows) == limit || size > 500<<10 {
			more = true
			break
		}
		rows = append(rows, s.items[key])
	}
	reply(w, http.StatusOK, object{"rows": rows, "hasNext": more, "logpage": s.revision})
}

func (s *store) multi(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	var txn struct {
		Guards []storeGuard `json:"guards"`
		Writes []storeWrite `json:"writes"`
	}
	if err != nil || len(body) > maxBodyBytes || json.Unmarshal(body, &txn) != nil ||
		len(txn.Writes) > s.limits.txnOps || len(txn.Guards) > 4*s.limits.txnOps {
		reply(w, http.StatusBadRequest, object{"error": "malformed"})
		return
	}
	if !s.changes.take(len(txn.Writes)) {
		reply(w, http.StatusTooManyRequests, object{"error": "too many changes"})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	for _, c := range txn.Writes {
		if len(c.Value) > int(s.limits.valueKB*1024) {
			reply(w, http.StatusBadRequest, object{"error": "value too large"})
			return
		}
		if c.Put != "" && c.Mooring != 0 && s.leases[c.Mooring] == nil {
			reply(w, http.StatusBadRequest, object{"error": "no such lease"})
			return
		}
	}
	failed := []string{}
	for _, g := range txn.Guards {
		if s.items[g.Path].Mark != g.Mark {
			failed = append(failed, g.Path)
		}
	}
	if len(failed) > 0 {
		reply(w, http.StatusConflict, object{"failed": failed, "logpage": s.revision})
		return
	}
	if len(txn.Writes) > 0 {
		s.apply(txn.Writes)
	}
	reply(w, http.StatusOK, object{"logpage": s.revision})
}

// apply applies the writes of a transaction. The caller holds mu.
func (s *store) apply(writes []storeWrite) {
	s.revision++
	for _, c := range writes {
		key, change := c.Put, storeChange{Put: c.Put, Value: c.Value, Mark: s.revision}
		if c.Put != "" {
			s.items[c.Put] = storeItem{Path: c.Put, Value: c.Value, Mark: s.revision, Mooring: c.Mooring}
		} else {
			key, change = c.Delete, storeChange{Delete: c.Delete, Mark: s.revision}
			delete(s.items, c.Delete)
		}
		s.log = append(s.log, change)
		if s.onCommit != nil {
			s.onCommit(key, c.Put == "")
		}
	}
	s.wake()
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var request struct {
		LifeMS int `json:"lifeMs"`
	}
	if json.NewDecoder(r.Body).Decode(&request) != nil || request.LifeMS < 100 || request.LifeMS > 600_000 {
		reply(w, http.StatusBadRequest, object{"error": "malformed"})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	life := time.Duration(request.LifeMS) * time.Millisecond
	s.leases[s.lastLease] = &storeLease{life: life, ends: time.Now().Add(life)}
	reply(w, http.StatusOK, object{"mooring": s.lastLease})
}

func (s *store) lease(w http.ResponseWriter, r *http.Request, name string) {
	id, err := strconv.ParseUint(name, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	l := s.leases[id]
	if err != nil || l == nil {
		reply(w, http.StatusNotFound, object{"error": "no such lease"})
		return
	}
	if r.Method == http.MethodDelete {
		s.endLease(id)
	} else {
		l.ends = time.Now().Add(l.life)
	}
	reply(w, http.StatusOK, object{})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	since, err := strconv.ParseUint(query.Get("since"), 10, 64)
	blockMS, blockErr := strconv.Atoi(query.Get("blockMs"))
	if err != nil || blockErr != nil {
		reply(w, http.StatusBadRequest, object{"error": "malformed"})
		return
	}
	end := time.After(time.Duration(blockMS) * time.Millisecond)
	for {
		s.mu.Lock()
		revision, changed := s.revision, s.changed
		found := []storeChange{}
		for _, c := range s.log {
			if c.Mark > since && strings.HasPrefix(c.Put+c.Delete, query.Get("starts")) {
				found = append(found, c)
			}
		}
		s.mu.Unlock()
		isDown := s.down != nil && s.down()
		if len(found) > 0 && !isDown {
			reply(w, http.StatusOK, object{"logpage": revision, "log": found})
			return
		}
		select {
		case <-changed:
		case <-end:
			reply(w, http.StatusOK, object{"logpage": revision, "log": found})
			return
		case <-r.Context().Done():
			return
		}
	}
}
