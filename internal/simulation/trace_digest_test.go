package simulation_test

import (
	"flag"
	"fmt"
	"os"
	"sync"
	"testing"

	"switchshore.example/switchshore/internal/simulation"
)

// digestFile is the file to which each simulated run appends a line with the test's name, the trace
// digest and the number of messages. Two versions of the service that behave the same write the
// same lines, in any order.
var digestFile = flag.String("trace-digests", "", "append the trace digest of each simulated run to this file")

var digestFileMutex sync.Mutex

// appendDigest appends the digest of a finished run to the digest file, if one was given.
func appendDigest(t *testing.T, sim *simulation.Simulation) {
	t.Helper()
	if *digestFile == "" {
		return
	}
	digestFileMutex.Lock()
	defer digestFileMutex.Unlock()
	f, err := os.OpenFile(*digestFile, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		t.Fatal(err)
	}
	digest, messages := sim.TraceDigest()
	_, err = fmt.Fprintf(f, "%s %s %d\n", t.Name(), digest, messages)
	if err := f.Close(); err != nil {
		t.Fatal(err)
	}
	if err != nil {
		t.Fatal(err)
	}
}

// TestTraceDigestRepeats: two runs with the same seed have the same trace digest, and a run with
// another seed has a different one.
func TestTraceDigestRepeats(t *testing.T) {
	digest := func(seed uint64) string {
		d, messages := runRandomFaults(t, seed, 1).TraceDigest()
		if messages == 0 {
			t.Error("the run recorded 0 messages, want at least 1")
		}
		return d
	}
	first := digest(1)
	if repeated := digest(1); repeated != first {
		t.Errorf("got digests %s and %s of two runs with seed 1, want the same", first, repeated)
	}
	if other := digest(2); other == first {
		t.Errorf("got digest %s with seed 1 and with seed 2, want different ones", other)
	}
}
