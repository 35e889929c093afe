package controller

import (
	"slices"
	"time"

	"switchshore.example/switchshore/internal/tuning"
)

// updateReachability looks at which machines known to be up can be heard. It notes the zones
// that seem to be cut off: most of their machines are missed, while those
// elsewhere are heard; what is rented there could not report. It returns whether
// many others are missed, too: then it must be this node that has lost them, or
// has not got round to their reports yet after a succession.
func (c *Controller) updateReachability(now time.Time) (lost bool) {
	zones := map[string]*heardCount{}
	all := &heardCount{}
	for _, m := range c.machinesByName {
		if !m.up {
			continue
		}
		if zones[m.zone] == nil {
			zones[m.zone] = &heardCount{}
		}
		missed := c.isMissing(now, m)
		zones[m.zone].count(missed)
		all.count(missed)
	}
	rest := *all
	for zone, z := range zones {
		others := heardCount{all.known - z.known, all.missed - z.missed}
		switch {
		case z.missed >= tuning.PartitionedMachines && z.share() <= tuning.PartitionedShare && others.share() >= tuning.ReachableShare:
			// Those missed may be released before long.
			c.partitionedZones[zone] = now.Add(c.leaseTime())
			rest.known -= z.known
			rest.missed -= z.missed
		case z.known > z.missed:
			delete(c.partitionedZones, zone)
		}
	}
	return rest.known > 0 && rest.share() < tuning.ReachableShare
}

// heardCount counts machines known to be up and those of them that are missed.
type heardCount struct{ known, missed int }

func (h *heardCount) count(missed bool) {
	h.known++
	if missed {
		h.missed++
	}
}

// share is the part that is heard, 0 of none.
func (h *heardCount) share() float64 { return float64(h.known-h.missed) / float64(max(h.known, 1)) }

// isMissing reports whether a machine known to be up has not been heard of for
// long, or not since this term began.
func (c *Controller) isMissing(now time.Time, m *machine) bool {
	return m.up && c.isSilent(now, m) && now.Sub(c.started) > c.silenceLimit()
}

// holdsUrgentWork reports whether a machine that is missed may hold work that would be
// late once its lease has run out, but not if it could start elsewhere now: the
// release proves it gone. Silence mostly outlasts the lease, and then the work
// on the machine is lost in any case. A successor would wait longest, as its
// predecessor may be cut off together with the machine and go on answering it.
func (c *Controller) holdsUrgentWork(now time.Time, m *machine) bool {
	if m.releasing || !c.isMissing(now, m) {
		return false
	}
	ends := m.answeredAt.Add(c.leaseTime())
	if !m.confirmed {
		ends = c.inheritedUntil
	}
	return slices.ContainsFunc(m.attempts, func(a *attempt) bool {
		slack, ok := c.slack(now, a.job)
		return ok && slack < ends.Sub(now).Seconds() && a.wanted()
	})
}

// shouldRelease reports whether a machine will do no more work: failed, never up,
// silent for long, or emptied for a drain.
func (c *Controller) shouldRelease(now time.Time, m *machine) bool {
	boot := c.types[m.machineType].BootS
	switch {
	case m.failed, m.cordonedFor(replaced), !m.fenceBy.IsZero() && now.After(m.fenceBy):
		return true
	case !m.up:
		return boot > 0 && now.Sub(m.rentedAt).Seconds() > boot*tuning.BootPatience
	case c.isSilent(now, m) && m.missing >= 2:
		return true
	case !m.answersLostAt.IsZero() && now.Sub(m.answersLostAt) > c.leaseTime()*3/2:
		// It can't be told anything; its tasks died with its lease.
		return true
	case !m.confirmed && !m.firstHeard.IsZero() && now.After(c.inheritedUntil) && now.Sub(m.firstHeard) > c.leaseTime()+tuning.AbandonAfter:
		// Heard, but never in this term: it doesn't get our answers. Whatever
		// it may hold waits for the release, which proves it gone.
		return true
	case m.staleReports >= tuning.StaleReports && c.leaseOver(now, m) && now.Sub(m.staleSince) > c.silenceLimit():
		// Only reports older than the newest: late copies, or a new worker that
		// began anew. It must not be taken for the old one, and can't be told
		// from copies, so the machine is replaced.
		return true
	case len(m.attempts) == 0 && m.cordonedFor(retiring):
		return true
	}
	heard := m.heardAt
	if heard.IsZero() {
		heard = c.started
	}
	return now.Sub(heard) > c.leaseTime()+tuning.AbandonAfter
}
