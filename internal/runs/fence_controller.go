package runs

import "corianderspur.example/corianderspur/internal/event"

const (
	// fenceStep is how much a token is raised first; it doubles each time. Tokens count 1/1024 ms, so this is about a second.
	fenceStep = 1 << 20
	// maxToken is the highest whole number that every reader of JSON numbers keeps exactly.
	maxToken = 1<<53 - 1
)

// fence holds the fencing token of this incarnation of the agent. Once the backend server has answered a list of runs under it,
// nothing starts there that an earlier incarnation has ordered, or this one from an earlier incarnation of the backend server, since it
// does nothing for a lower token.
type fence struct {
	token uint64
	step  uint64
	// accepted says that the backend server has accepted the token.
	accepted bool
	// usedIn is the incarnation of the backend server that the token was first used for.
	usedIn Incarnation
}

// startIncarnation raises the token by one in each new incarnation of the backend server, which has seen none of the tokens of before.
func (f *fence) startIncarnation(in *Instance) {
	if f.usedIn == in.Incarnation() {
		return
	}
	f.usedIn = in.Incarnation()
	f.raise()
}

func (f *fence) raise() {
	f.token = min(f.token+1, maxToken)
}

// handleFenced processes a poll that was rejected because of a higher token. Before a poll was accepted, that token is of an earlier
// incarnation and the time of day was set back since, so the token is raised. Later it is of the next incarnation of this agent, which
// has stopped what runs.
func (m *Machine) handleFenced() {
	m.settled = false
	m.markAllDirty()
	f := &m.fence
	if f.accepted || f.token >= maxToken {
		m.note(event.Note{Name: "agent_fenced", Count: len(m.runs)})
		m.nextPollAt = m.now + pollBackoff
		m.expireLease()
		return
	}
	f.token = min(f.token+f.step, maxToken)
	f.step *= 2
	m.note(event.Note{Name: "token_raised"})
}
