package wire

// MachineType describes a machine type that the cloud offers.
type MachineType struct {
	Name        string   `json:"label"`
	CPUs        float64  `json:"cores"`
	GPUs        float64  `json:"cards"`
	MemoryGB    float64  `json:"memoryGb"`
	CacheGB     float64  `json:"localGb"`
	FetchGBPerS float64  `json:"pullGbPerS"`
	Price       float64  `json:"price"`
	SpotPrice   float64  `json:"marketPrice"`
	BootTimeS   float64  `json:"readyS"`
	Zones       []string `json:"berths"`
}

// MachineTypes lists the machine types that the cloud offers.
type MachineTypes struct {
	Types []MachineType `json:"builds"`
}

// ProvisionRequest requests machines. A retry with the same RequestID provisions no further ones.
type ProvisionRequest struct {
	RequestID string `json:"charter"`
	Type      string `json:"build"`
	Zone      string `json:"berth"`
	Spot      bool   `json:"driftwood"`
	Count     int    `json:"howMany"`
}

// MachineNames is the response to a ProvisionRequest, and the body of a release.
type MachineNames struct {
	Machines []string `json:"decks"`
}

// Machine states in the cloud's list.
const (
	MachineBooting = "starting"
	MachineRunning = "running"
	MachineFailed  = "failed"
)

// ListedMachine is a row of the cloud's list.
type ListedMachine struct {
	Name  string  `json:"ref"`
	Addr  string  `json:"endpoint"`
	Type  string  `json:"build"`
	Zone  string  `json:"berth"`
	Spot  bool    `json:"driftwood"`
	State string  `json:"bearing"`
	AgeS  float64 `json:"heldS"`
}

// MachineList is a page of the cloud's list.
type MachineList struct {
	Machines []ListedMachine `json:"decks"`
	More     bool            `json:"hasNext"`
}
