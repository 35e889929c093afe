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

// unreachableBootTime is the boot time of machines that never boot: it exceeds any run.
const unreachableBootTime = 1000 * time.Hour

// Cloud is an in-memory cloud with one machine type. It has one offering of spot and one of
// on-demand machines in each zone.
type Cloud struct {
	Type     wire.MachineType
	Capacity int // machines of each offering
	Down     bool
	// SlowBootsUntil: of the machines provisioned before this time, half take three times as long
	// to boot and a quarter never boot.
	SlowBootsUntil time.Time
	// FastBootsUntil: machines provisioned before this time boot within two seconds.
	FastBootsUntil time.Time

	machines    map[string]*cloudMachine
	provisioned map[string][]string // machines by request id, because requests may be repeated
	nextID      int
}

// cloudMachine is a machine that exists in the cloud.
type cloudMachine struct {
	wire.ListedMachine
	provisionedAt time.Time
	bootedAt      time.Time
}

// NewCloud returns a cloud without machines.
func NewCloud(t wire.MachineType, capacity int) *Cloud {
	return &Cloud{Type: t, Capacity: capacity, machines: map[string]*cloudMachine{}, provisioned: map[string][]string{}}
}

// Provision creates machines and returns their names, or nil if there is no capacity.
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

// machineCount returns the number of machines of an offering.
func (c *Cloud) machineCount(zone string, spot bool) int {
	count := 0
	for _, machine := range c.machines {
		if machine.Zone == zone && machine.Spot == spot {
			count++
		}
	}
	return count
}

// drawBootTime draws the boot time of a machine provisioned now; one in twenty never boots.
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

// MachineNames returns the sorted names of all machines.
func (c *Cloud) MachineNames() []string { return slices.Sorted(maps.Keys(c.machines)) }

// List returns the machines that had been provisioned lag before now.
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
