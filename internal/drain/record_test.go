package drain

import (
	"errors"
	"strings"
	"testing"
)

// TestDecodeRecord checks that a record is the same after it is encoded and decoded, and that corrupt
// records and records of a later version yield different errors.
func TestDecodeRecord(t *testing.T) {
	s, _ := Parse([]byte(validDrain), testNow)
	r := NewRecord(*s, testNow)
	r.State, r.Batch = Running, &Batch{Machines: []string{"i-1"}, Cordoned: true}
	decoded, err := DecodeRecord("zone-a", r.Encode())
	if err != nil || !decoded.Spec.Equal(s) || decoded.State != Running || !decoded.Cordons("i-1") || decoded.Cordons("i-2") {
		t.Fatalf("got %+v, %v, want the encoded record", decoded, err)
	}
	valid := string(r.Encode())
	for text, want := range map[string]error{
		strings.Replace(valid, `"version":1`, `"version":2`, 1):      ErrNewerVersion,
		strings.Replace(valid, `"running"`, `"sleeping"`, 1):         ErrUnreadable,
		strings.Replace(valid, `"zone-a"`, `"zone-b"`, 1):            ErrUnreadable,
		strings.Replace(valid, `"batchSize":5`, `"batchSize":-1`, 1): ErrUnreadable,
		strings.Replace(valid, `["i-1"]`, `[]`, 1):                   ErrUnreadable,
		strings.Replace(valid, `"zone":"a"`, `"unknown":"a"`, 1):     ErrUnreadable,
		valid[:len(valid)/2]: ErrUnreadable,
	} {
		if _, err := DecodeRecord("zone-a", []byte(text)); !errors.Is(err, want) {
			t.Errorf("%s: got error %v, want the one of this case", text, err)
		}
	}
}
