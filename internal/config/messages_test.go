package config_test

import (
	"strings"
	"testing"

	"switchshore.example/switchshore/internal/config"
)

// TestDecoderMessagesKeepNames checks that the message for a value of the wrong type keeps
// its type and field names when the types and fields of this package are renamed.
func TestDecoderMessagesKeepNames(t *testing.T) {
	for path, name := range map[string]string{
		"label":                      "config.Config.Name",
		"domain":                     "config.Config.Zone",
		"client_listen":              "config.Config.Listen",
		"peer_bind":                  "config.Config.PeerListen",
		"peers":                      "config.Config.Peers",
		"services":                   "config.Config.Services",
		"facts":                      "config.Config.Params",
		"peers.label":                "config.Peer.Name",
		"peers.domain":               "config.Peer.Zone",
		"peers.addr":                 "config.Peer.Addr",
		"services.cloud":             "config.Services.Cloud",
		"services.state":             "config.Services.State",
		"facts.initial_size":         "config.Params.Nodes",
		"facts.zones":                "config.Params.Zones",
		"facts.clock_error_ms":       "config.Params.ClockOffMS",
		"facts.teams":                "config.Params.Teams",
		"facts.objectives":           "config.Params.Objectives",
		"facts.workers":              "config.Params.Workers",
		"facts.state":                "config.Params.State",
		"facts.cloud":                "config.Params.Cloud",
		"facts.resources":            "config.Params.Limits",
		"facts.teams.name":           "config.Team.Name",
		"facts.teams.cpus":           "config.Team.CPUs",
		"facts.teams.cpus_max":       "config.Team.CPUsMax",
		"facts.teams.gpus":           "config.Team.GPUs",
		"facts.teams.gpus_max":       "config.Team.GPUsMax",
		"facts.objectives.kind":      "config.Objective.Kind",
		"facts.objectives.class":     "config.Objective.Class",
		"facts.objectives.share":     "config.Objective.Share",
		"facts.objectives.times":     "config.Objective.Times",
		"facts.objectives.within_s":  "config.Objective.WithinS",
		"facts.workers.report_s":     "config.Workers.ReportS",
		"facts.workers.lease_s":      "config.Workers.LeaseS",
		"facts.workers.cancel_s":     "config.Workers.CancelS",
		"facts.state.rps":            "config.State.RPS",
		"facts.state.write_rps":      "config.State.WriteRPS",
		"facts.state.value_kb":       "config.State.ValueKB",
		"facts.state.txn_ops":        "config.State.TxnOps",
		"facts.state.next":           "config.State.Next",
		"facts.state.next.rps":       "config.StateNext.RPS",
		"facts.state.next.write_rps": "config.StateNext.WriteRPS",
		"facts.state.next.value_kb":  "config.StateNext.ValueKB",
		"facts.state.next.txn_ops":   "config.StateNext.TxnOps",
		"facts.cloud.rps":            "config.Cloud.RPS",
		"facts.cloud.list_lag_s":     "config.Cloud.ListLagS",
		"facts.resources.core_share": "config.Limits.CPUShare",
		"facts.resources.memory_mb":  "config.Limits.MemoryMB",
		"facts.resources.fd_limit":   "config.Limits.MaxConnections",
	} {
		parent, key := "", path
		if i := strings.LastIndexByte(path, '.'); i >= 0 {
			parent, key = path[:i], path[i+1:]
		}
		header := ""
		switch parent {
		case "":
		case "peers", "facts.teams", "facts.objectives":
			header = "[[" + parent + "]]\n"
		default:
			header = "[" + parent + "]\n"
		}
		_, err := config.Parse([]byte(header + key + " = true\n"))
		if err == nil || !strings.Contains(err.Error(), "struct field "+name+" of type ") || !strings.Contains(err.Error(), "field "+path+": ") {
			t.Errorf("%s: %v", path, err)
		}
	}
}
