package main

import (
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// The only machine type.
const (
	machineType = "typos-16"
	machineCPUs = 16.0
	pullGBPerS  = 1.0
)

// deck is a rented machine.
type deck struct {
	name    string
	zone    string
	spot    bool
	rented  time.Time
	deleted time.Time // zero while it exists
	worker  *worker   // nil while it boots
}

// cloud rents machines, as the protocol page describes it.
type cloud struct {
	world *world

	mu       sync.Mutex
	decks    []*deck
	answered map[string][]string // names by charter
	capacity int                 // machines at the same time
	bootS    float64
}

func newCloud(w *world, capacity int, bootS float64) *cloud {
	return &cloud{world: w, answered: map[string][]string{}, capacity: capacity, bootS: bootS}
}

// ServeHTTP implements http.Handler.
func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/machine_types":
		respond(w, http.StatusOK, map[string]any{"builds": []any{map[string]any{
			"label": machineType, "cores": machineCPUs, "cards": 0, "memoryGb": 128, "localGb": 200, "pullGbPerS": pullGBPerS,
			"price": 1.19, "marketPrice": 0.44, "readyS": 40.0, "berths": c.world.zones,
		}}})
	case r.URL.Path == "/rentals" && r.Method == http.MethodPost:
		c.rent(w, r)
	case r.URL.Path == "/rentals":
		c.list(w, r)
	case r.URL.Path == "/rentals/release":
		c.release(w, r)
	default:
		respond(w, http.StatusBadRequest, map[string]any{"error": "unknown path"})
	}
}

func (c *cloud) rent(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Charter string `json:"charter"`
		Zone    string `json:"berth"`
		Spot    bool   `json:"driftwood"`
		HowMany int    `json:"howMany"`
	}
	if !decode(w, r, &request) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	names, known := c.answered[request.Charter]
	if !known {
		for range request.HowMany {
			if c.existing() < c.capacity {
				names = append(names, c.add(request.Zone, request.Spot, time.Now(), c.bootS))
			}
		}
		if len(names) == 0 {
			respond(w, http.StatusServiceUnavailable, map[string]any{"error": "no capacity"})
			return
		}
		c.answered[request.Charter] = names
	}
	c.world.rec.log("cloud", "rents", request.Charter, names)
	respond(w, http.StatusOK, map[string]any{"decks": names})
}

// existing returns the number of machines. The caller holds mu.
func (c *cloud) existing() int {
	n := 0
	for _, d := range c.decks {
		if d.deleted.IsZero() {
			n++
		}
	}
	return n
}

// add adds a machine, whose worker starts after bootS seconds. The caller holds mu.
func (c *cloud) add(zone string, spot bool, rented time.Time, bootS float64) string {
	d := &deck{name: fmt.Sprintf("i-%06d", len(c.decks)+1), zone: zone, spot: spot, rented: rented}
	c.decks = append(c.decks, d)
	go func() {
		time.Sleep(time.Duration(bootS * float64(time.Second)))
		c.mu.Lock()
		defer c.mu.Unlock()
		if !d.deleted.IsZero() {
			return
		}
		k, err := startWorker(c.world, d.name, d.zone, d.spot)
		if err != nil {
			c.world.rec.log("cloud", "failed", err)
			return
		}
		d.worker = k
	}()
	return d.name
}

// addRunning adds machines that are up at the start.
func (c *cloud) addRunning(count int, spot bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range count {
		c.add(c.world.zones[i%len(c.world.zones)], spot, time.Now().Add(-2*time.Minute), 0)
	}
}

// worker returns the worker of a machine, or nil.
func (c *cloud) worker(name string) *worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, d := range c.decks {
		if d.name == name {
			return d.worker
		}
	}
	return nil
}

// list lists the machines as they were list_lag_s ago.
func (c *cloud) list(w http.ResponseWriter, r *http.Request) {
	since := r.URL.Query().Get("since")
	limit, err := strconv.Atoi(r.URL.Query().Get("limit"))
	if err != nil || limit > 500 {
		limit = 500
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	at := time.Now().Add(-time.Duration(c.world.listLagS * float64(time.Second)))
	rows := []map[string]any{}
	more := false
	sort.Slice(c.decks, func(i, j int) bool { return c.decks[i].name < c.decks[j].name })
	for _, d := range c.decks {
		if d.name <= since || d.rented.After(at) || !d.deleted.IsZero() && d.deleted.Before(at) {
			continue
		}
		if len(rows) == limit {
			more = true
			break
		}
		row := map[string]any{
			"ref": d.name, "endpoint": "", "build": machineType, "berth": d.zone, "driftwood": d.spot,
			"bearing": "starting", "heldS": at.Sub(d.rented).Seconds(),
		}
		if d.worker != nil {
			row["bearing"], row["endpoint"] = "running", d.worker.endpoint
		}
		rows = append(rows, row)
	}
	respond(w, http.StatusOK, map[string]any{"decks": rows, "hasNext": more})
}

func (c *cloud) release(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Decks []string `json:"decks"`
	}
	if !decode(w, r, &request) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.world.rec.log("cloud", "deletes", request.Decks)
	for _, d := range c.decks {
		for _, name := range request.Decks {
			if d.name == name && d.deleted.IsZero() {
				d.deleted = time.Now()
				if d.worker != nil {
					d.worker.end()
				}
			}
		}
	}
	respond(w, http.StatusOK, map[string]any{})
}
