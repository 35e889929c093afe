package peer

import (
	"testing"
	"time"

	"github.com/goccy/go-json"
	"github.com/rs/zerolog"

	"switchshore.example/switchshore/internal/admission"
	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/internal/tuning"
)

// TestPoliciesComeFromLeaders checks that the hub passes on a policy only from a leader, and only
// of the leader's own term; and that it returns a peer's offered load under the name of the
// peer's link, and only while the last heartbeat is recent.
func TestPoliciesComeFromLeaders(t *testing.T) {
	h := NewHub(zerolog.Nop(), []config.Peer{{Name: "n1"}, {Name: "n2"}})
	h.OnLeaderTerm = func(uint64) {}
	var terms []uint64
	h.OnPolicy = func(p admission.Policy) { terms = append(terms, p.Term) }
	for _, text := range []string{
		`{"node":"n1","term":4,"leads":true,"policy":{"term":4,"revision":9}}`,
		`{"node":"n1","term":5,"grace":true,"policy":{"term":5,"revision":9}}`,
		`{"node":"n1","term":6,"leads":true,"policy":{"term":7,"revision":9}}`,
		`{"node":"n2","term":8,"leads":true}`,
		`{"node":"n1","offers":{"node":"n2","started":3,"offers":[{"team":"blue","class":"c","count":7}]}}`,
		`{"node":"else","offers":{"node":"n2","started":3}}`,
	} {
		var b Heartbeat
		if err := json.Unmarshal([]byte(text), &b); err != nil {
			t.Fatal(err)
		}
		h.recordHeartbeat(&b)
	}
	if len(terms) != 1 || terms[0] != 4 {
		t.Errorf("policies of terms %v", terms)
	}
	if offers := h.OfferedLoads(); len(offers) != 1 || offers[0].Node != "n1" || offers[0].Loads[0].Count != 7 {
		t.Errorf("%+v", offers)
	}
}

// TestRoute checks that calls go to the leader of the highest term that is linked and whose last
// heartbeat is recent. Workers' heartbeats may also go to a leader in its grace period. Calls that
// were not relayed yet may go to a peer that reaches a leader.
func TestRoute(t *testing.T) {
	now := time.Now()
	old := now.Add(-2 * tuning.PeerTimeout)
	leader := func(term uint64) Heartbeat { return Heartbeat{Term: term, IsLeader: true, InGracePeriod: true} }
	inGrace := func(term uint64) Heartbeat { return Heartbeat{Term: term, InGracePeriod: true} }
	relays := Heartbeat{ReachesLeader: true}
	type peerState struct {
		heartbeat  Heartbeat
		receivedAt time.Time
		unlinked   bool
	}
	for _, c := range []struct {
		name                        string
		peers                       [2]peerState // n0 and n1
		heartbeat, request, relayed string       // destination of each kind of call; "" for none
	}{
		{"no leader", [2]peerState{{receivedAt: now}, {receivedAt: now}}, "", "", ""},
		{"a leader", [2]peerState{{receivedAt: now}, {leader(4), now, false}}, "n1", "n1", "n1"},
		{"two leaders", [2]peerState{{leader(5), now, false}, {leader(4), now, false}}, "n0", "n0", "n0"},
		{"a leader not linked", [2]peerState{{receivedAt: now}, {leader(4), now, true}}, "", "", ""},
		{"a leader without a recent heartbeat", [2]peerState{{receivedAt: now}, {leader(4), old, false}}, "", "", ""},
		{"a leader in its grace period", [2]peerState{{receivedAt: now}, {inGrace(4), now, false}}, "n1", "", ""},
		{"a leader of a later term", [2]peerState{{inGrace(4), now, false}, {leader(5), now, false}}, "n1", "n1", "n1"},
		{"a relay", [2]peerState{{relays, now, false}, {receivedAt: now}}, "n0", "n0", ""},
		{"a relay and a leader in its grace period", [2]peerState{{relays, now, false}, {inGrace(4), now, false}}, "n1", "n0", ""},
		{"a relay and a leader", [2]peerState{{relays, now, false}, {leader(4), now, false}}, "n1", "n1", "n1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := NewHub(zerolog.Nop(), []config.Peer{{Name: "n0"}, {Name: "n1"}})
			for i, p := range c.peers {
				h.links[i].connected = !p.unlinked
				h.lastHeartbeats[h.links[i].name] = receivedHeartbeat{p.heartbeat, p.receivedAt}
			}
			for _, r := range []struct {
				call                  string
				isHeartbeat, mayRelay bool
				want                  string
			}{
				{"a heartbeat", true, true, c.heartbeat},
				{"a request", false, true, c.request},
				{"a relayed request", false, false, c.relayed},
			} {
				got := ""
				if l := h.route(r.isHeartbeat, r.mayRelay); l != nil {
					got = l.name
				}
				if got != r.want {
					t.Errorf("%s goes to %q, want %q", r.call, got, r.want)
				}
			}
			if h.ReachesLeader() != (c.request != "") || h.LinkedToLeader() != (c.relayed != "") {
				t.Errorf("reaches a leader: %v, linked to it: %v", h.ReachesLeader(), h.LinkedToLeader())
			}
		})
	}
}
