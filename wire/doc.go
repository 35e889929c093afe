// Package wire defines the JSON messages that switchshore exchanges with its
// users, the workers, the cloud and the key-value store. Clients may import it.
//
// The protocol's JSON names differ from the usual terms. The tables below map
// them to Go names and terms. The rest of the module uses the Go names only:
// the JSON names are in the field tags of this package, and the JSON values in
// its constants.
//
// Jobs (jobs.go):
//
//	JSON name     Go name               term
//	ref           ID                    job ID
//	muster        Class                 job class, to which objectives apply
//	crew          Team                  team (tenant), to which quotas apply
//	rig           Kind                  kind of job; "batch" is a job array
//	rank          Priority              priority class
//	oars          Tasks                 number of tasks
//	cores         CPUs                  CPU request of each task
//	cards         GPUs                  GPU request of each task
//	memoryGb      MemoryGB              memory request of each task
//	hull          Image                 container image
//	imageGb       ImageGB               size of the image
//	builds        MachineTypes          allowed machine types
//	berth         Zone                  allowed availability zone
//	together      OneZone               zone affinity: all tasks in one zone
//	apart         SpreadZones           zone anti-affinity: half of the tasks in a zone at most
//	driftwood     Spot                  spot instances are allowed
//	reckonS       EstimateS             estimated run time of a task
//	loglineS      CheckpointIntervalS   time between two checkpoints
//	stowS         CheckpointSaveS       time to save a checkpoint
//	tideS         DeadlineS             deadline, from submission
//	awaits        DependsOn             dependencies
//	bearing       State                 job state; "aborted" is cancelled
//	done          Done                  completed tasks
//	running       Running               running tasks
//	error         Error                 reason of a rejection
//
// Heartbeats and commands (heartbeats.go):
//
//	JSON name     Go name               term
//	deck          Machine               machine name
//	endpoint      Addr                  address of the worker
//	build         Type                  machine type
//	berth         Zone                  availability zone
//	driftwood     Spot                  spot instance
//	watch         AgentEpoch            epoch of the worker, raised when its lease expires
//	knot          Sequence              sequence number within the epoch
//	helm          FencingToken          fencing token of the leader
//	recallS       ReclaimNoticeS        notice before a spot instance is reclaimed
//	oars          Tasks                 tasks on the machine
//	oar           Task                  task name, JOB/INDEX
//	launch        Attempt               attempt of the task
//	bearing       State                 task state
//	wake          ExitReason            why the task has exited; "halted" is stopped
//	kept          CheckpointSaved       a checkpoint was saved on stopping
//	call          Op                    operation: "run" starts, "kill" stops, "reap" removes an exited task
//	slackS        GracePeriodS          time in which a stopped task can save a checkpoint
//	orders        Commands              commands to the worker
//	harbormaster  HeartbeatTo           node to send heartbeats to
//
// Cloud (cloud.go):
//
//	JSON name     Go name               term
//	builds        Types                 machine types
//	label         Name                  name of the machine type
//	cores         CPUs                  CPU capacity
//	cards         GPUs                  GPU capacity
//	memoryGb      MemoryGB              memory capacity
//	localGb       CacheGB               capacity of the image cache
//	pullGbPerS    FetchGBPerS           bandwidth of image fetches
//	price         Price                 on-demand price
//	marketPrice   SpotPrice             spot price
//	readyS        BootTimeS             nominal boot time
//	berths        Zones                 availability zones
//	charter       RequestID             idempotency key of a provision request
//	build         Type                  machine type
//	berth         Zone                  availability zone
//	driftwood     Spot                  spot instance
//	howMany       Count                 number of machines
//	decks         Machines              machines
//	ref           Name                  machine name
//	endpoint      Addr                  address of the worker
//	bearing       State                 machine state; "starting" is booting
//	heldS         AgeS                  time since the machine was provisioned
//	hasNext       More                  more pages follow
//
// Key-value store (keyvalue.go):
//
//	JSON name     Go name               term
//	guards        If                    conditions of a compare-and-swap
//	writes        Then                  mutations of a compare-and-swap
//	path          Key                   key
//	mark          Version               revision of the key's latest change
//	put, v        Put, Value            key and value of a put
//	delete        Delete                key of a delete
//	mooring       Lease                 lease that the key is attached to
//	failed        FailedKeys            keys whose condition did not hold
//	logpage       Revision              revision of the store
//	rows          Items                 keys of a page
//	hasNext       More                  more pages follow
//	lifeMs        TTLMS                 time to live of a lease
//	log           Events                events of a watch
package wire

// MaxBodyBytes is the maximum size of a request body and of a response line.
const MaxBodyBytes = 64 << 10
