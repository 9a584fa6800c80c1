package runs

import "corianderspur.example/corianderspur/internal/event"

// mayRenew reports whether a lease may be granted, which goes to every run at the backend server. A run whose dispatcher no longer
// counts on it, and whose stop isn't acknowledged, must end with the last lease instead:
//   - The tasks of a dispatcher that lost its session run elsewhere Silence + Lease + Lease/clockSlack later. Its last stamp was
//     sent before that, the last lease is granted up to Silence after the stamp, and it lasts for Lease on the backend server's clock.
//   - A caller that has left sends its job again 1.3 s later. The last lease is granted up to OrderTimeout after the stop was
//     ordered, so it ends earlier than that of a silent dispatcher.
func (m *Machine) mayRenew() bool {
	for _, r := range m.runs {
		if r.phase == queued || r.halted {
			continue
		}
		p := m.peers[r.peer]
		if p == nil || m.now-p.lastHeard > m.cfg.Silence || m.isOverdue(r) {
			return false
		}
	}
	return true
}

// isOverdue reports whether the answer to the stop of a revoked run is overdue.
func (m *Machine) isOverdue(r *run) bool {
	return r.revokedAt > 0 && !r.halted && m.now-r.revokedAt > m.cfg.OrderTimeout
}

// checkRevoked accepts no more runs while the stop of a revoked one is overdue, and counts all as ended once the lease has lapsed.
func (m *Machine) checkRevoked() {
	overdue := 0
	for _, r := range m.runs {
		if m.isOverdue(r) {
			overdue++
		}
	}
	if lapsing := overdue > 0; lapsing != m.lapsing {
		m.lapsing = lapsing
		m.note(event.Note{Name: "leases_lapse", Reason: yesNo(lapsing), Count: overdue})
		m.markAllDirty()
	}
	if m.lapsing {
		m.expireLease()
	}
}

// revoke records that a run's dispatcher no longer counts on it.
func (m *Machine) revoke(r *run) {
	if r.revokedAt == 0 {
		r.revokedAt = m.now
	}
}
