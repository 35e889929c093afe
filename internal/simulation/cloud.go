package simulation

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"switchshore.example/switchshore/internal/seconds"
	"switchshore.example/switchshore/wire"
)

// unreachableBootTime is a boot time longer than any run.
const unreachableBootTime = 1000 * time.Hour

// Cloud is an in-memory cloud with one machine type. An offer is a zone with spot or ordinary
// machines.
type Cloud struct {
	Type     wire.MachineType
	Capacity int // machines of each offer
	Down     bool
	// SlowBootsUntil: of the machines provisioned before then half take three times as long to
	// boot, and a quarter never do.
	SlowBootsUntil time.Time
	// FastBootsUntil: machines provisioned before then have booted within two seconds.
	FastBootsUntil time.Time

	machines    map[string]*cloudMachine
	provisioned map[string][]string // machines by request, which may be repeated
	nextID      int
}

// cloudMachine is a machine that is provisioned.
type cloudMachine struct {
	wire.ListedMachine
	provisionedAt time.Time
	bootedAt      time.Time
}

// NewCloud returns a cloud without machines.
func NewCloud(t wire.MachineType, capacity int) *Cloud {
	return &Cloud{Type: t, Capacity: capacity, machines: map[string]*cloudMachine{}, provisioned: map[string][]string{}}
}

// Provision adds machines and returns their names, none if there is no capacity.
func (c *Cloud) Provision(now time.Time, rng *rand.Rand, r wire.ProvisionRequest) []string {
	if names, repeated := c.provisioned[r.RequestID]; repeated {
		return names
	}
	count := min(r.Count, c.Capacity-c.machineCount(r.Zone, r.Spot))
	if count <= 0 || c.Down {
		return nil
	}
	var names []string
	for range count {
		id := fmt.Sprintf("i-%06d", c.nextID)
		c.nextID++
		c.machines[id] = &cloudMachine{wire.ListedMachine{
			Name: id, Addr: id, Type: r.Type, Zone: r.Zone, Spot: r.Spot, State: wire.MachineBooting,
		}, now, now.Add(c.drawBootTime(now, rng))}
		names = append(names, id)
	}
	c.provisioned[r.RequestID] = names
	return names
}

// machineCount is the number of machines of an offer.
func (c *Cloud) machineCount(zone string, spot bool) int {
	count := 0
	for _, machine := range c.machines {
		if machine.Zone == zone && machine.Spot == spot {
			count++
		}
	}
	return count
}

// drawBootTime draws how long a machine provisioned now takes to boot; one in twenty never does.
func (c *Cloud) drawBootTime(now time.Time, rng *rand.Rand) time.Duration {
	boot := seconds.Duration(c.Type.BootTimeS * (0.6 + 0.9*rng.Float64()))
	if rng.IntN(20) == 0 {
		boot = unreachableBootTime
	}
	if now.Before(c.SlowBootsUntil) {
		switch rng.IntN(4) {
		case 0:
			boot = unreachableBootTime
		case 1, 2:
			boot *= 3
		}
	}
	if now.Before(c.FastBootsUntil) {
		boot = time.Duration(200+rng.IntN(1800)) * time.Millisecond
	}
	return boot
}

// MachineNames are the names of all machines, in order.
func (c *Cloud) MachineNames() []string { return slices.Sorted(maps.Keys(c.machines)) }

// List is the list of machines as it was some time ago.
func (c *Cloud) List(now time.Time, lag time.Duration) []wire.ListedMachine {
	var list []wire.ListedMachine
	for _, id := range c.MachineNames() {
		machine := c.machines[id]
		if age := now.Add(-lag).Sub(machine.provisionedAt); age >= 0 {
			listed := machine.ListedMachine
			listed.AgeS = age.Seconds()
			list = append(list, listed)
		}
	}
	return list
}
