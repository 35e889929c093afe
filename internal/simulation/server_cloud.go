package simulation

import (
	"time"

	"github.com/valyala/fasthttp"

	"switchshore.example/switchshore/internal/kvstore"
	"switchshore.example/switchshore/wire"
)

// handleCloud handles a request to the cloud, and returns false for other requests.
func (s *Server) handleCloud(rc *fasthttp.RequestCtx, now time.Time) bool {
	switch path := string(rc.Path()); {
	case path == "/machine_types":
		writeResponse(rc, nil, wire.MachineTypes{Types: []wire.MachineType{s.Cloud.Type}})
	case path == "/rentals" && rc.IsPost():
		s.handleProvision(rc, now)
	case path == "/rentals":
		writeResponse(rc, nil, wire.MachineList{Machines: s.Cloud.List(now, 0)})
	case path == "/rentals/release":
		s.handleRelease(rc)
	default:
		return false
	}
	return true
}

// handleProvision provisions machines and calls OnBoot for each at once.
func (s *Server) handleProvision(rc *fasthttp.RequestCtx, now time.Time) {
	var r wire.ProvisionRequest
	if !decode(rc, &r) {
		return
	}
	names := s.Cloud.Provision(now, s.rng, r)
	if len(names) == 0 {
		writeResponse(rc, kvstore.ErrUnavailable, wire.Error{Error: "no capacity"})
		return
	}
	for _, id := range names {
		if s.OnBoot != nil {
			go s.OnBoot(s.Cloud.machines[id].ListedMachine) // ends when the machine is removed
		}
	}
	writeResponse(rc, nil, wire.MachineNames{Machines: names})
}

// handleRelease removes machines.
func (s *Server) handleRelease(rc *fasthttp.RequestCtx) {
	var r wire.MachineNames
	if !decode(rc, &r) {
		return
	}
	for _, id := range r.Machines {
		delete(s.Cloud.machines, id)
	}
	writeResponse(rc, nil, struct{}{})
}
