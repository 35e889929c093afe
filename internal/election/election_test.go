package election

import (
	"testing"
	"time"

	"switchshore.example/switchshore/internal/tuning"
)

// TestAuthorityEnds: authority is counted from when the renewal was sent and
// ends before the lease can; reports are answered for the grace after it, and
// neither outlives the news of a successor.
func TestAuthorityEnds(t *testing.T) {
	sent := time.Unix(1_700_000_000, 0)
	grace := 17 * time.Second
	l := NewLeadership(3, sent)
	end := sent.Add(tuning.LeaderTTL)
	if !l.Authority(sent.Add(time.Second)) || l.Authority(end.Add(-tuning.AuthorityMargin)) {
		t.Error("authority must end a margin before the lease can")
	}
	if !l.Grace(end.Add(grace-time.Second), grace) || l.Grace(end.Add(grace), grace) {
		t.Error("reports may be answered for the grace and no longer")
	}
	l.Confirm(sent.Add(time.Second))
	if !l.Authority(end.Add(-tuning.AuthorityMargin)) {
		t.Error("a renewal must extend the authority")
	}
	l.End()
	if l.Authority(sent) || l.Grace(sent, grace) {
		t.Error("a successor is known")
	}
}
