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

// TestPoliciesComeFromLeaders checks that the hub calls OnPolicy only for a policy that a leader sends
// and that is of the leader's own term. It also checks that OfferedLoads names each load after the
// link of the peer, whatever name the load contains, and ignores nodes without a link.
func TestPoliciesComeFromLeaders(t *testing.T) {
	h := NewHub(zerolog.Nop(), []config.Peer{{Name: "n1"}, {Name: "n2"}})
	h.OnLeaderTerm = func(uint64) {}
	var policyTerms []uint64
	h.OnPolicy = func(p admission.Policy) { policyTerms = append(policyTerms, p.Term) }
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
	if len(policyTerms) != 1 || policyTerms[0] != 4 {
		t.Errorf("got policies of the terms %v, want only term 4", policyTerms)
	}
	if loads := h.OfferedLoads(); len(loads) != 1 || loads[0].Node != "n1" || loads[0].Loads[0].Count != 7 {
		t.Errorf("got offered loads %+v, want only that of n1, with 7 submissions", loads)
	}
}

// TestRoute checks that a call goes to a linked leader with a recent heartbeat, and to the one of the
// highest term if there are several. An agent's heartbeat may also go to a leader in its grace
// period. A call that was not relayed yet may go to a peer that is linked to a leader.
func TestRoute(t *testing.T) {
	now := time.Now()
	notRecent := now.Add(-2 * tuning.PeerTimeout)
	leader := func(term uint64) Heartbeat { return Heartbeat{Term: term, IsLeader: true, InGracePeriod: true} }
	inGrace := func(term uint64) Heartbeat { return Heartbeat{Term: term, InGracePeriod: true} }
	relay := Heartbeat{LinkedToLeader: true}
	type peerState struct {
		heartbeat  Heartbeat
		receivedAt time.Time
		unlinked   bool
	}
	for _, c := range []struct {
		name                        string
		peers                       [2]peerState // n0 and n1
		heartbeat, request, relayed string       // the wanted destination of each kind of call; "" for none
	}{
		{"no leader", [2]peerState{{receivedAt: now}, {receivedAt: now}}, "", "", ""},
		{"a leader", [2]peerState{{receivedAt: now}, {leader(4), now, false}}, "n1", "n1", "n1"},
		{"two leaders", [2]peerState{{leader(5), now, false}, {leader(4), now, false}}, "n0", "n0", "n0"},
		{"a leader not linked", [2]peerState{{receivedAt: now}, {leader(4), now, true}}, "", "", ""},
		{"a leader without a recent heartbeat", [2]peerState{{receivedAt: now}, {leader(4), notRecent, false}}, "", "", ""},
		{"a leader in its grace period", [2]peerState{{receivedAt: now}, {inGrace(4), now, false}}, "n1", "", ""},
		{"a leader of a later term", [2]peerState{{inGrace(4), now, false}, {leader(5), now, false}}, "n1", "n1", "n1"},
		{"a relay", [2]peerState{{relay, now, false}, {receivedAt: now}}, "n0", "n0", ""},
		{"a relay and a leader in its grace period", [2]peerState{{relay, now, false}, {inGrace(4), now, false}}, "n1", "n0", ""},
		{"a relay and a leader", [2]peerState{{relay, now, false}, {leader(4), now, false}}, "n1", "n1", "n1"},
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
				t.Errorf("ReachesLeader is %v, want whether a request has a route; LinkedToLeader is %v, want whether a relayed request has one", h.ReachesLeader(), h.LinkedToLeader())
			}
		})
	}
}
