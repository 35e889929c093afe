package simulation

import "time"

// requestKind is a kind of request of a controller that may arrive once more after its response.
type requestKind int

// Kinds of requests that may be copied.
const (
	directCallRequest  requestKind = iota // a leader's direct call to an agent
	transactionRequest                    // a transaction, also that of a campaign, or the renewal of a lease
	cloudRequest                          // a call that provisions or releases machines
	peerRequest                           // a request of a user or an operator that one controller forwards to another
	numberOfRequestKinds
)

// copyObservations are the observations of the requests that arrived once more, by kind.
var copyObservations = [numberOfRequestKinds]Observation{
	directCallRequest:  DirectCallRepeated,
	transactionRequest: TransactionRepeated,
	cloudRequest:       CloudCallRepeated,
	peerRequest:        PeerCallRepeated,
}

const (
	// maxCopyDelayMS is the maximum delay of a copy, in milliseconds.
	maxCopyDelayMS = 90_000
	// copiedShare is the share of requests with a copy while any faults may occur, faultyCopiedShare the
	// share while requests of their kind are duplicated.
	copiedShare       = 0.02
	faultyCopiedShare = 0.3
	// maxCopyDelayAfterCrashMS is the maximum time from the end of a process to the arrival of copies of
	// its requests, in milliseconds. It is shorter than an election.
	maxCopyDelayAfterCrashMS = 300
	// maxCopiesAfterCrash limits the copies that arrive after the end of one process.
	maxCopiesAfterCrash = 100
)

// requestCopies makes requests that were answered arrive once more: at a random time, and right after
// the end of the process that sent them.
type requestCopies struct {
	sim        *Simulation
	duplicated [numberOfRequestKinds]messageFault
	// afterCrash holds, for each node, the functions that deliver copies after its process has ended.
	afterCrash map[*node][]func()
}

// duplicate makes copies of a share of the requests of a kind that are answered before a time.
func (c *requestCopies) duplicate(kind requestKind, until time.Time) {
	c.duplicated[kind] = messageFault{faultyCopiedShare, until}
}

// answered is called when a request of a node was answered. execute delivers a copy of the request.
func (c *requestCopies) answered(kind requestKind, sender *node, execute func()) {
	sim := c.sim
	deliver := func() {
		sim.Observed[copyObservations[kind]]++
		execute()
	}
	if sim.faultsAllowed() && sim.chance(copiedShare) || sim.affects(c.duplicated[kind]) {
		sim.after(sim.between(100, maxCopyDelayMS), deliver)
	}
	if sim.affects(c.duplicated[kind]) {
		kept := append(c.afterCrash[sender], deliver)
		c.afterCrash[sender] = kept[max(0, len(kept)-maxCopiesAfterCrash):]
	}
}

// processEnded delivers copies of the node's earlier requests.
func (c *requestCopies) processEnded(n *node) {
	for _, deliver := range c.afterCrash[n] {
		c.sim.after(c.sim.between(0, maxCopyDelayAfterCrashMS), deliver)
	}
	delete(c.afterCrash, n)
}
