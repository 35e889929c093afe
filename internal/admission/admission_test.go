package admission

import (
	"testing"
	"time"
)

var startTime = time.Unix(1_700_000_000, 0)

// testSettings returns settings with three teams, of which guests has no guaranteed CPUs.
func testSettings() *Settings {
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

// TestKeysAreBounded checks that the classes which the settings don't name share one key per
// team, and that load which nodes report under unknown keys is ignored.
func TestKeysAreBounded(t *testing.T) {
	s := testSettings()
	if k, known := s.Key("blue", "made up"); !known || k.Class != OtherClass {
		t.Errorf("unknown class: got key %+v, known %v; want class OtherClass, known true", k, known)
	}
	if _, known := s.Key("nobody", "urgent"); known {
		t.Error("Key reports that an unknown team is known")
	}
	r := NewRegulator(s, 1, startTime)
	unknownKey := OfferedLoad{Key: Key{"blue", "made up"}, Count: 100, AgingFactorSum: 100, PriorityWeightSum: 100}
	r.Update(startTime, startTime, LeaderLoad{}, []NodeOfferedLoad{{Node: "a", Incarnation: 1}})
	r.Update(startTime.Add(time.Second), startTime, LeaderLoad{}, []NodeOfferedLoad{{Node: "a", Incarnation: 1, Loads: []OfferedLoad{unknownKey}}})
	if len(r.demands) != 0 {
		t.Errorf("demands after load under an unknown key: got %+v, want none", r.demands)
	}
}
