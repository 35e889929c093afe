// Package node joins the parts into one process: it campaigns, leads or
// forwards, and runs the loops that carry the leader's decisions to the key-value
// store, the cloud and the workers.
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

// Node is one process of the scheduler.
type Node struct {
	log      zerolog.Logger
	config   *config.Config
	operator *config.Operator
	store    *kvstore.Client
	cloud    *cloud.Client
	hub      *peer.Hub
	workers  *httpclient.Pool
	election *election.Election
	// grace is how long heartbeats of workers are answered without the key-value store.
	grace time.Duration

	// mu guards the leader's state; nothing is sent or awaited under it.
	mu         sync.Mutex
	leader     *leader.Leader       // nil unless this node leads
	leadership *election.Leadership // nil unless this node leads

	tickSignal  chan struct{} // something may be due
	writeSignal chan struct{} // changes wait to be committed

	gate   *admissionGate // nil if admission control is off
	health health
}

// New builds a node from checked settings.
func New(log zerolog.Logger, c *config.Config, o *config.Operator) *Node {
	n := &Node{
		log:         log,
		config:      c,
		operator:    o,
		store:       kvstore.NewClient(c.Services.KVStore, c.Params.KVStore, len(c.Peers)+1),
		cloud:       cloud.NewClient(c.Services.Cloud, c.Params.Cloud),
		hub:         peer.NewHub(log, c.Peers),
		workers:     httpclient.NewPool(tuning.DirectConnections, leader.MaxDirectCalls(c.Params.Limits)),
		grace:       leader.GracePeriod(c.Params.Workers),
		tickSignal:  make(chan struct{}, 1),
		writeSignal: make(chan struct{}, 1),
	}
	n.election = &election.Election{Store: n.store, Node: c.Name, Log: log, OnElected: n.leadTerm}
	if settings := o.AdmissionSettings(&c.Params); settings != nil {
		n.gate = newAdmissionGate(settings, c.Params.Teams, time.Now())
		n.hub.OnPolicy = n.gate.applyPolicy
	}
	n.hub.LocalHeartbeat = n.peerHeartbeat
	n.hub.OnLeaderTerm = n.endTermBefore
	n.hub.Handle = n.Do
	return n
}

// Run serves until the context ends or a listener fails.
func (n *Node) Run(ctx context.Context) error {
	users, err := net.Listen("tcp4", n.config.Listen)
	if err != nil {
		return err
	}
	peers, err := net.Listen("tcp4", n.config.PeerListen)
	if err != nil {
		return err
	}
	n.log.Info().Str("node", n.config.Name).Str("listen", n.config.Listen).Msg("serving")
	g, ctx := errgroup.WithContext(ctx)
	server := api.New(n.log, n, n.config.Params.Limits)
	g.Go(func() error { return server.Run(ctx, users) })
	g.Go(func() error { return n.hub.Run(ctx, peers) })
	g.Go(func() error { return n.election.Run(ctx) })
	return g.Wait()
}

// signal wakes the loop that waits for a channel, now or when it next waits.
func signal(ch chan<- struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}
