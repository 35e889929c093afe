package drain

import (
	"errors"
	"strings"
	"testing"
)

// TestDecodeRecord: what is stored is read again; a damaged record and one of a later version
// have different errors.
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
