package simulation

import (
	"math/rand/v2"
	"slices"
	"time"

	"switchshore.example/switchshore/wire"
)

// Cloud is the cloud.
type Cloud struct {
	Type     wire.MachineType
	Capacity int // machines an offer can hold at once
	Down     bool
	// SlowBootsUntil: of the machines rented before then half come up several times
	// as late, and a quarter never do.
	SlowBootsUntil time.Time
	// FastBootsUntil: machines rented before then are up within two seconds.
	FastBootsUntil time.Time

	machines    map[string]*cloudMachine
	provisioned map[string][]string
	nextID      int
}

type cloudMachine struct {
	wire.ListedMachine
	provisionedAt time.Time
	bootedAt      time.Time
}

// NewCloud returns a cloud with one machine type.
func NewCloud(t wire.MachineType, capacity int) *Cloud {
	return &Cloud{Type: t, Capacity: capacity, machines: map[string]*cloudMachine{}, provisioned: map[string][]string{}}
}

// Provision carries a rental out; nil means no capacity.
func (c *Cloud) Provision(now time.Time, rng *rand.Rand, r wire.ProvisionRequest) []string {
	if names, ok := c.provisioned[r.RequestID]; ok {
		return names
	}
	used := 0
	for _, row := range c.machines {
		if row.Zone == r.Zone && row.Spot == r.Spot {
			used++
		}
	}
	n := min(r.Count, c.Capacity-used)
	if n <= 0 || c.Down {
		return nil
	}
	var names []string
	for range n {
		id := "i-" + pad(c.nextID)
		c.nextID++
		boot := time.Duration(c.Type.BootTimeS * (0.6 + 0.9*rng.Float64()) * float64(time.Second))
		if rng.IntN(20) == 0 {
			boot = 1000 * time.Hour
		}
		if now.Before(c.SlowBootsUntil) {
			switch rng.IntN(4) {
			case 0:
				boot = 1000 * time.Hour
			case 1, 2:
				boot *= 3
			}
		}
		if now.Before(c.FastBootsUntil) {
			boot = time.Duration(200+rng.IntN(1800)) * time.Millisecond
		}
		c.machines[id] = &cloudMachine{wire.ListedMachine{
			Name: id, Addr: id, Type: r.Type, Zone: r.Zone, Spot: r.Spot, State: wire.MachineBooting,
		}, now, now.Add(boot)}
		names = append(names, id)
	}
	c.provisioned[r.RequestID] = names
	return names
}

func pad(n int) string {
	s := []byte("000000")
	for i := len(s) - 1; n > 0; i-- {
		s[i] = byte('0' + n%10)
		n /= 10
	}
	return string(s)
}

// Names lists the machines in order.
func (c *Cloud) Names() []string {
	var names []string
	for id := range c.machines {
		names = append(names, id)
	}
	slices.Sort(names)
	return names
}

// List is the machine list as it stood some time ago.
func (c *Cloud) List(now time.Time, lag time.Duration) []wire.ListedMachine {
	var out []wire.ListedMachine
	for _, id := range c.Names() {
		row := c.machines[id]
		if age := now.Add(-lag).Sub(row.provisionedAt); age >= 0 {
			r := row.ListedMachine
			r.AgeS = age.Seconds()
			out = append(out, r)
		}
	}
	return out
}
