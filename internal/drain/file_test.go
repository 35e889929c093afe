package drain

import (
	"errors"
	"strings"
	"testing"
	"time"
)

// testNow is the wall-clock time of the tests.
var testNow = time.Date(2026, 12, 2, 20, 0, 0, 0, time.UTC)

// validDrain is a file with a drain that is valid at testNow.
const validDrain = `<drain name="zone-a"><selector><zone>a</zone></selector><batchSize>5</batchSize>
<deadline>2026-12-03T04:00:00Z</deadline><replace>yes</replace><force>yes</force></drain>`

// TestParse checks that Parse returns the drain of a valid file, and that the error for an invalid file
// names the invalid field.
func TestParse(t *testing.T) {
	s, err := Parse([]byte(validDrain), testNow)
	if err != nil || s.Name != "zone-a" || s.Selector.Zone != "a" || s.BatchSize != 5 || !s.Replace || !s.Force || s.Deadline.Hour() != 4 {
		t.Fatalf("got %+v, %v, want the drain of validDrain", s, err)
	}
	for name, c := range map[string]struct{ from, to, wantField string }{
		"unknown element":        {"<batchSize>", "<speed>1</speed><batchSize>", "drain/speed"},
		"element out of place":   {"<zone>a</zone>", "<batchSize>1</batchSize>", "drain/selector/batchSize"},
		"unknown attribute":      {"<drain ", `<drain zone="b" `, "drain/zone"},
		"attribute out of place": {"<selector>", `<selector type="std-8">`, "drain/selector/type"},
		"bad name":               {"zone-a", "Zone A", "name"},
		"empty selection":        {"<zone>a</zone>", "", "selector"},
		"no batch size":          {"<batchSize>5</batchSize>", "", "batchSize"},
		"batch size below 1":     {">5<", ">0<", "batchSize"},
		"batch size above 1000":  {">5<", ">100000<", "batchSize"},
		"deadline in the past":   {"2026-12-03", "2026-12-01", "deadline"},
		"deadline no time":       {"2026-12-03T04:00:00Z", "soon", "deadline"},
		"force, no deadline":     {"<deadline>2026-12-03T04:00:00Z</deadline>", "", "force"},
		"neither yes nor no":     {"<replace>yes", "<replace>maybe", "replace"},
		"empty machine name":     {"<zone>a</zone>", "<machine> </machine>", "selector/machine"},
	} {
		_, err := Parse([]byte(strings.Replace(validDrain, c.from, c.to, 1)), testNow)
		var invalid *FieldError
		if !errors.As(err, &invalid) || !strings.HasPrefix(invalid.Field, c.wantField) {
			t.Errorf("%s: got error %v, want a FieldError for the field of this case", name, err)
		}
	}
	for _, text := range []string{"", "<drain", "<cluster/>", validDrain + validDrain, "{}"} {
		if _, err := Parse([]byte(text), testNow); err == nil {
			t.Errorf("%q: got no error, want one", text)
		}
	}
}

// FuzzDecode checks that Parse, DecodeRecord and DecodeCharge return a valid value or an error for any
// input, and that a decoded record can be encoded and decoded again.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(validDrain))
	s, _ := Parse([]byte(validDrain), testNow)
	f.Add([]byte(NewRecord(*s, testNow).Encode()))
	f.Add([]byte(`{"drain":"zone-a","at":1,"teams":{"blue":{"evictions":1,"lostS":2}},"attempts":[{"job":"job-1","index":0,"attempt":7}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		if s, err := Parse(data, testNow); err == nil && (s.Selector.isEmpty() || s.BatchSize < 1) {
			t.Errorf("Parse returned an invalid drain: %+v", s)
		}
		if r, err := DecodeRecord("zone-a", data); err == nil {
			if again, err := DecodeRecord("zone-a", r.Encode()); err != nil || again.State != r.State {
				t.Errorf("decoded again: got error %v or another state, want the record %+v", err, r)
			}
		}
		if c, err := DecodeCharge(data); err == nil {
			NewLedger(time.Minute).RecordCharge("b/1", c, testNow, func(Attempt) (string, bool) { return "blue", true })
		}
	})
}
