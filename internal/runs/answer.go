package runs

import "corianderspur.example/corianderspur/internal/clock"

const (
	// minAnswerLimit is the shortest time after which an answer counts as overdue, in milliseconds.
	minAnswerLimit = 8 * clock.Millis(1)
	// answerWeight and deviationWeight are the weights of a new value in the moving averages of answer times, and deviationFactor
	// how many mean deviations above the average are usual, as for retransmissions of TCP (RFC 6298).
	answerWeight    = 0.125
	deviationWeight = 0.25
	deviationFactor = 4
)

// answerTimes learns how soon the backend server usually answers orders, in milliseconds.
type answerTimes struct {
	mean, deviation float64
}

// observe records the time that an answer took.
func (t *answerTimes) observe(took clock.Millis) {
	diff := float64(took) - t.mean
	t.mean += answerWeight * diff
	t.deviation += deviationWeight * (max(diff, -diff) - t.deviation)
}

// limit returns the time after which an answer is overdue, at most the timeout of orders.
func (t *answerTimes) limit(timeout clock.Millis) clock.Millis {
	return min(max(clock.Millis(t.mean+deviationFactor*t.deviation), minAnswerLimit), timeout)
}
