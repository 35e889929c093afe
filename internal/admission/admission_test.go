package admission

import (
	"testing"
	"time"
)

var begin = time.Unix(1_700_000_000, 0)

// settings returns settings with three teams, of which guests has no guarantee.
func settings() *Settings {
	return &Settings{
		Teams: []Team{
			{Name: "blue", GuaranteedCPUs: 60},
			{Name: "green", GuaranteedCPUs: 20, Classes: []Class{{Name: "urgent", Weight: 2, Floor: 0.3}}},
			{Name: "guests"},
		},
		Classes:         []string{"urgent", "nightly"},
		WritesPerSecond: 50,
	}
}

// TestKeysAreBounded checks that classes which the settings don't name share one key, and
// that load which peers report under unknown keys is ignored.
func TestKeysAreBounded(t *testing.T) {
	s := settings()
	if k, known := s.Key("blue", "made up"); !known || k.Class != OtherClass {
		t.Errorf("%+v %v", k, known)
	}
	if _, known := s.Key("nobody", "urgent"); known {
		t.Error("an unknown team is known")
	}
	r := NewRegulator(s, 1, begin)
	unknownKey := OfferedLoad{Key: Key{"blue", "made up"}, Count: 100, AgingFactorSum: 100, PriorityWeightSum: 100}
	r.Update(begin, begin, LeaderLoad{}, []NodeOfferedLoad{{Node: "a", Started: 1}})
	r.Update(begin.Add(time.Second), begin, LeaderLoad{}, []NodeOfferedLoad{{Node: "a", Started: 1, Loads: []OfferedLoad{unknownKey}}})
	if len(r.demands) != 0 {
		t.Errorf("%+v", r.demands)
	}
}
