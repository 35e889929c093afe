// Package node combines the parts of the scheduler into one process. A node campaigns for
// leadership and forwards calls to the leader. While it leads, it handles calls itself and
// applies the leader's decisions to the key-value store, the cloud and the workers.
package node

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"switchshore.example/switchshore/internal/api"
	"switchshore.example/switchshore/internal/cloud"
	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/internal/election"
	"switchshore.example/switchshore/internal/httpclient"
	"switchshore.example/switchshore/internal/kvstore"
	"switchshore.example/switchshore/internal/leader"
	"switchshore.example/switchshore/internal/peer"
	"switchshore.example/switchshore/internal/tuning"
)

// Node is one scheduler process.
type Node struct {
	log           zerolog.Logger
	config        *config.Config
	operator      *config.OperatorSettings
	store         *kvstore.Client
	cloud         *cloud.Client
	hub           *peer.Hub
	workerClients *httpclient.Pool
	election      *election.Election
	// gracePeriod is how long a leader that can't renew its lease still answers worker heartbeats.
	gracePeriod time.Duration

	// mu guards leader and leadership. It is never held during a network call or a wait.
	mu         sync.Mutex
	leader     *leader.Leader       // nil unless this node leads
	leadership *election.Leadership // nil unless this node leads

	tickSignal  chan struct{} // wakes tickLoop
	writeSignal chan struct{} // wakes commitLoop

	gate   *admissionGate // nil if admission control is off
	health health
}

// New returns a node with the given settings, which must have been validated.
func New(log zerolog.Logger, c *config.Config, o *config.OperatorSettings) *Node {
	n := &Node{
		log:           log,
		config:        c,
		operator:      o,
		store:         kvstore.NewClient(c.Services.KVStore, c.Params.KVStore, len(c.Peers)+1),
		cloud:         cloud.NewClient(c.Services.Cloud, c.Params.Cloud),
		hub:           peer.NewHub(log, c.Peers),
		workerClients: httpclient.NewPool(tuning.DirectConnections, leader.MaxDirectCalls(c.Params.Limits)),
		gracePeriod:   leader.GracePeriod(c.Params.Workers),
		tickSignal:    make(chan struct{}, 1),
		writeSignal:   make(chan struct{}, 1),
	}
	n.election = &election.Election{Store: n.store, Node: c.Name, Log: log, OnElected: n.leadTerm}
	if settings := o.AdmissionSettings(&c.Params); settings != nil {
		n.gate = newAdmissionGate(settings, c.Params.Teams, time.Now())
		n.hub.OnPolicy = n.gate.applyPolicy
	}
	n.hub.LocalHeartbeat = n.peerHeartbeat
	n.hub.OnLeaderTerm = n.revokeTermBefore
	n.hub.Handle = n.Handle
	return n
}

// Run serves until the context ends or a listener fails.
func (n *Node) Run(ctx context.Context) error {
	userListener, err := net.Listen("tcp4", n.config.Listen)
	if err != nil {
		return err
	}
	peerListener, err := net.Listen("tcp4", n.config.PeerListen)
	if err != nil {
		return err
	}
	n.log.Info().Str("node", n.config.Name).Str("listen", n.config.Listen).Msg("node serving requests")
	g, ctx := errgroup.WithContext(ctx)
	server := api.New(n.log, n, n.config.Params.Limits)
	g.Go(func() error { return server.Run(ctx, userListener) })
	g.Go(func() error { return n.hub.Run(ctx, peerListener) })
	g.Go(func() error { return n.election.Run(ctx) })
	return g.Wait()
}

// signal wakes the loop that receives from ch. While the loop is busy, ch keeps one
// signal for the next receive, and further signals are dropped.
func signal(ch chan<- struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}
