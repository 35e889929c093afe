package admission

import (
	"testing"
	"time"
)

var begin = time.Unix(1_700_000_000, 0)

// settings has three teams, of which guests has no guarantee.
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

// TestKeysAreBounded: classes that the settings don't name share one key, and offers of
// peers under keys of their own making are left out.
func TestKeysAreBounded(t *testing.T) {
	s := settings()
	if k, known := s.Key("blue", "made up"); !known || k.Class != OtherClass {
		t.Errorf("%+v %v", k, known)
	}
	if _, known := s.Key("nobody", "urgent"); known {
		t.Error("an unknown team is known")
	}
	r := NewRegulator(s, 1, begin)
	odd := OfferedLoad{Key: Key{"blue", "made up"}, Count: 100, AgingFactorSum: 100, PriorityWeightSum: 100}
	r.Update(begin, begin, LeaderLoad{}, []NodeOfferedLoad{{Node: "a", Started: 1}})
	r.Update(begin.Add(time.Second), begin, LeaderLoad{}, []NodeOfferedLoad{{Node: "a", Started: 1, Loads: []OfferedLoad{odd}}})
	if len(r.demands) != 0 {
		t.Errorf("%+v", r.demands)
	}
}
