package simulation_test

import (
	"flag"
	"fmt"
	"os"
	"sync"
	"testing"

	"switchshore.example/switchshore/internal/simulation"
)

// digestFile is where the trace digest of each run is appended, one line a run: the test's name,
// the digest and the number of messages. The lines of two versions that behave the same are
// equal once they are sorted.
var digestFile = flag.String("trace-digests", "", "append the trace digest of each simulated run to this file")

var digestFileLock sync.Mutex

// logDigest writes the digest of a run that is over to the file asked for, if any.
func logDigest(t *testing.T, sim *simulation.Simulation) {
	t.Helper()
	if *digestFile == "" {
		return
	}
	digestFileLock.Lock()
	defer digestFileLock.Unlock()
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

// TestTraceDigestRepeats: two runs with one seed send the same messages at the same times, and a
// run with another seed does not.
func TestTraceDigestRepeats(t *testing.T) {
	digest := func(seed uint64) string {
		d, messages := runRandomFaults(t, seed, 1).TraceDigest()
		if messages == 0 {
			t.Error("no message was recorded")
		}
		return d
	}
	first := digest(1)
	if second := digest(1); second != first {
		t.Errorf("two runs of one seed differ: %s, %s", first, second)
	}
	if other := digest(2); other == first {
		t.Errorf("runs of two seeds have the same digest: %s", other)
	}
}
