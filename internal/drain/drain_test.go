package drain

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

var now = time.Date(2026, 12, 2, 20, 0, 0, 0, time.UTC)

const sound = `<drain name="zone-a"><selector><zone>a</zone></selector><batchSize>5</batchSize>
<deadline>2026-12-03T04:00:00Z</deadline><replace>yes</replace><force>yes</force></drain>`

// TestParse: a file is read as written, and each mistake is refused by file field.
func TestParse(t *testing.T) {
	s, err := Parse([]byte(sound), now)
	if err != nil || s.Name != "zone-a" || s.Selector.Zone != "a" || s.BatchSize != 5 || !s.Replace || !s.Force || s.Deadline.Hour() != 4 {
		t.Fatalf("%+v, %v", s, err)
	}
	for name, c := range map[string]struct{ from, to, field string }{
		"unknown element":        {"<batchSize>", "<speed>1</speed><batchSize>", "drain/speed"},
		"element out of place":   {"<zone>a</zone>", "<batchSize>1</batchSize>", "drain/selector/batchSize"},
		"unknown attribute":      {"<drain ", `<drain zone="b" `, "drain/zone"},
		"attribute out of place": {"<selector>", `<selector type="std-8">`, "drain/selector/type"},
		"bad name":               {"zone-a", "Zone A", "name"},
		"empty selection":        {"<zone>a</zone>", "", "selector"},
		"no batch size":          {"<batchSize>5</batchSize>", "", "batchSize"},
		"batch size below 1":     {">5<", ">0<", "batchSize"},
		"absurd batch size":      {">5<", ">100000<", "batchSize"},
		"deadline in the past":   {"2026-12-03", "2026-12-01", "deadline"},
		"deadline no time":       {"2026-12-03T04:00:00Z", "soon", "deadline"},
		"force, no deadline":     {"<deadline>2026-12-03T04:00:00Z</deadline>", "", "force"},
		"neither yes nor no":     {"<replace>yes", "<replace>maybe", "replace"},
		"empty machine name":     {"<zone>a</zone>", "<machine> </machine>", "selector/machine"},
	} {
		_, err := Parse([]byte(strings.Replace(sound, c.from, c.to, 1)), now)
		var bad *FieldError
		if !errors.As(err, &bad) || !strings.HasPrefix(bad.Field, c.field) {
			t.Errorf("%s: %v", name, err)
		}
	}
	for _, text := range []string{"", "<drain", "<cluster/>", sound + sound, "{}"} {
		if _, err := Parse([]byte(text), now); err == nil {
			t.Errorf("%q was read", text)
		}
	}
}

// TestDecodeRecord: what is stored is read again; a damaged record and one of a later version are
// told apart.
func TestDecodeRecord(t *testing.T) {
	s, _ := Parse([]byte(sound), now)
	r := NewRecord(*s, now)
	r.State, r.Batch = Running, &Batch{Machines: []string{"i-1"}, Cordoned: true}
	read, err := DecodeRecord("zone-a", r.Encode())
	if err != nil || !read.Spec.Equal(s) || read.State != Running || !read.Cordons("i-1") || read.Cordons("i-2") {
		t.Fatalf("%+v, %v", read, err)
	}
	good := string(r.Encode())
	for text, want := range map[string]error{
		strings.Replace(good, `"version":1`, `"version":2`, 1):      ErrNewerVersion,
		strings.Replace(good, `"running"`, `"sleeping"`, 1):         ErrUnreadable,
		strings.Replace(good, `"zone-a"`, `"zone-b"`, 1):            ErrUnreadable,
		strings.Replace(good, `"batchSize":5`, `"batchSize":-1`, 1): ErrUnreadable,
		strings.Replace(good, `["i-1"]`, `[]`, 1):                   ErrUnreadable,
		strings.Replace(good, `"zone":"a"`, `"unknown":"a"`, 1):     ErrUnreadable,
		good[:len(good)/2]: ErrUnreadable,
	} {
		if _, err := DecodeRecord("zone-a", []byte(text)); !errors.Is(err, want) {
			t.Errorf("%s: %v", text, err)
		}
	}
}

// FuzzDecode: whatever is stored or written, decoding ends with a value that holds or an error.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(sound))
	s, _ := Parse([]byte(sound), now)
	f.Add([]byte(NewRecord(*s, now).Encode()))
	f.Add([]byte(`{"drain":"zone-a","at":1,"teams":{"blue":{"evictions":1,"lostS":2}},"attempts":[{"job":"job-1","index":0,"attempt":7}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		if s, err := Parse(data, now); err == nil && (s.Selector.empty() || s.BatchSize < 1) {
			t.Errorf("read: %+v", s)
		}
		if r, err := DecodeRecord("zone-a", data); err == nil {
			if again, err := DecodeRecord("zone-a", r.Encode()); err != nil || again.State != r.State {
				t.Errorf("%v: %+v", err, r)
			}
		}
		if c, err := DecodeCharge(data); err == nil {
			NewLedger(time.Minute).RecordCharge("b/1", c, now, func(Attempt) (string, bool) { return "blue", true })
		}
	})
}

func candidate(team string, number uint64, lossS float64) Candidate {
	return Candidate{Team: team, Attempt: Attempt{Job: "job-1", Index: int32(number), AttemptNumber: number}, LossS: lossS}
}

// active says that every task is still to run, of team blue.
func active(Attempt) (string, bool) { return "blue", true }

// TestEvictions: the least loss goes first, up to the first bound that is reached; the cause that
// holds the rest back is told.
func TestEvictions(t *testing.T) {
	budgets := &Budgets{Window: time.Minute, Default: Budget{MaxUnavailable: 2, Evictions: 3, LostS: 100}}
	three := []Candidate{candidate("blue", 1, 60), candidate("blue", 2, 30), candidate("blue", 3, 10)}
	for name, c := range map[string]struct {
		change func(*Budgets, []Candidate)
		force  bool
		stops  int
		cause  Cause
	}{
		"unavailable":       {func(*Budgets, []Candidate) {}, false, 2, WaitUnavailable},
		"evictions":         {func(b *Budgets, _ []Candidate) { b.Default.Evictions = 1 }, false, 1, WaitEvictions},
		"lost time":         {func(b *Budgets, _ []Candidate) { b.Default = Budget{MaxUnavailable: 9, Evictions: 9, LostS: 99} }, false, 2, WaitLostTime},
		"budget 0":          {func(b *Budgets, _ []Candidate) { b.Default.MaxUnavailable = 0 }, true, 0, WaitUnavailable},
		"a team of its own": {func(b *Budgets, _ []Candidate) { b.Teams = map[string]Budget{"blue": {}} }, false, 0, WaitUnavailable},
		"ends by itself":    {func(_ *Budgets, l []Candidate) { l[2].EndsSoon = true }, false, 2, WaitTasks},
		"no other place":    {func(_ *Budgets, l []Candidate) { l[1].NoAlternative, l[0].NoAlternative = true, true }, false, 1, WaitNoAlternative},
		"forced":            {func(_ *Budgets, l []Candidate) { l[1].NoAlternative, l[0].NoAlternative = true, true }, true, 2, WaitUnavailable},
	} {
		b, list, charge := *budgets, append([]Candidate(nil), three...), NewCharge("zone-a", now)
		c.change(&b, list)
		reason := ChooseEvictions(charge, list, NewLedger(b.Window), &b, c.force, now, 10_000)
		if len(charge.Attempts) != c.stops || reason.Cause != c.cause {
			t.Errorf("%s: %d stops, %v", name, len(charge.Attempts), reason)
		}
	}
	charge := NewCharge("zone-a", now)
	ChooseEvictions(charge, three, NewLedger(time.Minute), &Budgets{Default: Budget{9, 9, 1e6}}, false, now, 400)
	if n := len(charge.Encode()); len(charge.Attempts) == 0 || len(charge.Attempts) == 3 || n > 400 {
		t.Errorf("a charge for a small value: %d attempts in %d bytes", len(charge.Attempts), n)
	}
}

// TestLedgerAgainstAPlainCount: with random interruptions, charges, returns and ends, the ledger
// counts at least what a plain list of all events gives within the window, and the same tasks
// as unavailable.
func TestLedgerAgainstAPlainCount(t *testing.T) {
	for seed := range uint64(30) {
		rng := rand.New(rand.NewPCG(seed, 3))
		ledger := NewLedger(time.Minute)
		type event struct {
			at   time.Time
			lost float64
		}
		var events []event
		out := map[int32]bool{}
		at := now
		for step := range 400 {
			at = at.Add(time.Duration(rng.IntN(3000)) * time.Millisecond)
			index := int32(rng.IntN(20))
			switch rng.IntN(4) {
			case 0:
				if !out[index] {
					events = append(events, event{at, 5})
				}
				out[index] = true
				ledger.RecordInterruption("blue", "job-1", index, at, 5)
			case 1:
				c := NewCharge("zone-a", at)
				c.Add(Candidate{Team: "blue", Attempt: Attempt{"job-1", index, uint64(step + 1)}, LossS: 7}, 10_000)
				events = append(events, event{at, 7})
				out[index] = true
				ledger.RecordCharge(fmt.Sprint("b/", step), c, at, active)
			case 2:
				delete(out, index)
				ledger.RecordAvailable("job-1", index)
			default:
				ledger.Expire(at)
			}
			var sum Usage
			for _, e := range events {
				if at.Sub(e.at) < time.Minute {
					sum.Evictions++
					sum.LostS += e.lost
				}
			}
			used := ledger.Used("blue", at)
			if used.Evictions < sum.Evictions || used.LostS < sum.LostS || ledger.Unavailable("blue") != len(out) {
				t.Fatalf("seed %d step %d: used %+v of %+v, %d unavailable of %d", seed, step, used, sum, ledger.Unavailable("blue"), len(out))
			}
		}
		ledger.RecordJobEnd("job-1")
		if keys := ledger.Expire(at.Add(time.Hour)); len(ledger.charges) != 0 || len(ledger.charged) != 0 || ledger.Unavailable("blue") != 0 {
			t.Fatalf("left after all is over: %v", keys)
		}
	}
}

// TestNext: drains run one at a time in the order of their creation; a paused one keeps its place
// and lets the next go on.
func TestNext(t *testing.T) {
	var all []*Record
	for i, name := range []string{"c", "a", "b"} {
		all = append(all, NewRecord(Spec{Name: name}, now.Add(time.Duration(i)*time.Second)))
	}
	run := func() string {
		r, _ := Next(all)
		if r == nil {
			return ""
		}
		return r.Spec.Name
	}
	first, _ := Next(all)
	steps := []string{run()}
	first.Pause(Reason{Cause: PausedByOperator})
	steps = append(steps, run())
	first.Resume(now)
	steps = append(steps, run())
	for _, r := range all {
		if r.State == Running {
			r.Cancel()
		}
	}
	steps = append(steps, run())
	if got := strings.Join(steps, ""); got != "caac" {
		t.Errorf("ran %s", got)
	}
}

// TestDeadline: past its deadline a drain that waits is paused, unless it is forced.
func TestDeadline(t *testing.T) {
	for _, force := range []bool{false, true} {
		deadline := now.Add(time.Minute)
		r := NewRecord(Spec{Name: "a", Deadline: &deadline, Force: force}, now)
		r.State = Running
		reason := Reason{Cause: WaitNoAlternative, Team: "blue"}
		r.Wait(now, reason)
		if r.State != Running {
			t.Fatal("paused before the deadline")
		}
		r.Wait(now.Add(2*time.Minute), Reason{Cause: WaitMachines})
		if r.State != Running {
			t.Fatal("paused while its machines are being released")
		}
		r.Wait(now.Add(2*time.Minute), reason)
		if (r.State == Paused) == force || r.Forced(now.Add(2*time.Minute)) != force || !strings.Contains(r.Reason.String(), "(team blue)") {
			t.Errorf("force %v: %s, %s", force, r.State, r.Reason)
		}
	}
}
