package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// machineType is a machine type that the cloud offers.
type machineType struct {
	Label       string   `json:"label"`
	Cores       float64  `json:"cores"`
	Cards       float64  `json:"cards"`
	MemoryGB    float64  `json:"memoryGb"`
	LocalGB     float64  `json:"localGb"`
	PullGBPerS  float64  `json:"pullGbPerS"`
	Price       float64  `json:"price"`
	MarketPrice float64  `json:"marketPrice"`
	ReadyS      float64  `json:"readyS"`
	Berths      []string `json:"berths"`
}

// rented is a machine of the cloud.
type rented struct {
	name, berth string
	driftwood   bool
	rentedAt    time.Time
	upAt        time.Time // zero until it is up
	goneAt      time.Time // zero as long as it exists
	worker      *worker
}

// cloud is a stand-in of the cloud.
type cloud struct {
	offered machineType
	lag     time.Duration
	calls   *bucket
	// capacity is the number of machines that can be rented for each zone and kind.
	capacity map[string]int
	// bootTime returns how long the next machine takes to boot. boot makes a machine's worker.
	bootTime func(number int) time.Duration
	boot     func(name, berth string, driftwood bool) *worker
	rec      *recorder

	mu       sync.Mutex
	machines []*rented
	answers  map[string][]string // names of the machines, by charter
}

func offering(berth string, driftwood bool) string { return fmt.Sprintf("%s/%v", berth, driftwood) }

// ServeHTTP implements http.Handler.
func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !c.calls.take(1) {
		reply(w, http.StatusTooManyRequests, object{"error": "too many requests"})
		return
	}
	time.Sleep(50 * time.Millisecond)
	switch {
	case r.URL.Path == "/machine_types":
		reply(w, http.StatusOK, object{"builds": []machineType{c.offered}})
	case r.URL.Path == "/rentals/release":
		c.release(w, r)
	case r.URL.Path == "/rentals" && r.Method == http.MethodPost:
		c.rent(w, r)
	case r.URL.Path == "/rentals":
		c.list(w, r)
	default:
		reply(w, http.StatusBadRequest, object{"error": "unknown path"})
	}
}

func (c *cloud) rent(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Charter, Build, Berth string
		Driftwood             bool
		HowMany               int
	}
	if json.NewDecoder(r.Body).Decode(&request) != nil || request.HowMany < 1 || request.HowMany > 50 ||
		request.Build != c.offered.Label || !slices.Contains(c.offered.Berths, request.Berth) {
		reply(w, http.StatusBadRequest, object{"error": "malformed"})
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if names, repeated := c.answers[request.Charter]; repeated {
		reply(w, http.StatusOK, object{"decks": names})
		return
	}
	names := []string{}
	kind := offering(request.Berth, request.Driftwood)
	for range request.HowMany {
		if c.capacity[kind] == 0 {
			break
		}
		c.capacity[kind]--
		names = append(names, c.add(request.Berth, request.Driftwood))
	}
	if len(names) == 0 {
		reply(w, http.StatusServiceUnavailable, object{"error": "no capacity"})
		return
	}
	c.answers[request.Charter] = names
	c.rec.printf("cloud: %s rents %v in %s, driftwood %v", request.Charter, names, request.Berth, request.Driftwood)
	reply(w, http.StatusOK, object{"decks": names})
}

// add rents a machine, which boots later. The caller holds mu.
func (c *cloud) add(berth string, driftwood bool) string {
	m := &rented{name: fmt.Sprintf("i-%06d", len(c.machines)+1), berth: berth, driftwood: driftwood, rentedAt: time.Now()}
	m.worker = c.boot(m.name, berth, driftwood)
	c.machines = append(c.machines, m)
	number := len(c.machines)
	time.AfterFunc(c.bootTime(number), func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if m.goneAt.IsZero() {
			m.upAt = time.Now()
			m.worker.start()
		}
	})
	return m.name
}

func (c *cloud) release(w http.ResponseWriter, r *http.Request) {
	var request struct{ Decks []string }
	if json.NewDecoder(r.Body).Decode(&request) != nil || len(request.Decks) > 100 {
		reply(w, http.StatusBadRequest, object{"error": "malformed"})
		return
	}
	c.rec.printf("cloud: release of %v", request.Decks)
	for _, name := range request.Decks {
		c.remove(name)
	}
	reply(w, http.StatusOK, object{})
}

// remove ends a machine with all that is on it.
func (c *cloud) remove(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.machines {
		if m.name == name && m.goneAt.IsZero() {
			m.goneAt = time.Now()
			c.capacity[offering(m.berth, m.driftwood)]++
			m.worker.end("machine gone")
		}
	}
}

func (c *cloud) list(w http.ResponseWriter, r *http.Request) {
	limit, err := strconv.Atoi(r.URL.Query().Get("limit"))
	if err != nil || limit < 1 || limit > 500 {
		limit = 500
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	at := time.Now().Add(-c.lag)
	decks, more := []object{}, false
	for _, m := range c.machines {
		if m.name <= r.URL.Query().Get("since") || m.rentedAt.After(at) || !m.goneAt.IsZero() && !m.goneAt.After(at) {
			continue
		}
		if len(decks) == limit {
			more = true
			break
		}
		bearing := "starting"
		if !m.upAt.IsZero() && !m.upAt.After(at) {
			bearing = "running"
		}
		decks = append(decks, object{
			"ref": m.name, "endpoint": m.worker.endpoint, "build": c.offered.Label, "berth": m.berth,
			"driftwood": m.driftwood, "bearing": bearing, "heldS": at.Sub(m.rentedAt).Seconds(),
		})
	}
	reply(w, http.StatusOK, object{"decks": decks, "hasNext": more})
}
