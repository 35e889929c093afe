// Package simulation is used by tests only. It contains in-memory substitutes for the key-value
// store, the cloud and the agents, which implement the protocol, a checker of the protocol's
// invariants, and a deterministic simulation that runs them against several controllers in
// simulated time, with random faults drawn from a seed.
//
// A run is one sequence of events (eventLoop). Each concern has a type of its own:
//
//   - network: partitions and delays between nodes, agents and clients;
//   - KeyValueStore, and storeLink for the faults of requests to it;
//   - Cloud, and cloudCall for a leader's calls to it;
//   - node: a controller process, its election, its leader and its writes;
//   - Agent, and agentProcess for its connection to the controllers and its faults;
//   - clients: users who submit, poll and cancel jobs;
//   - faultInjector: which faults occur, where and for how long;
//   - InvariantChecker and DrainBudgetChecker: what must hold after every event;
//   - traceDigest: a hash over all messages that leave or enter the service.
package simulation
