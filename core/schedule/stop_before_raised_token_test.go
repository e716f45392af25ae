package schedule

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a run that is never stopped: its stop was under way when the runner's token was raised for another
// run, so the runner refuses the stop, and it isn't sent again. A run that hangs then holds its task for ever.
func TestAStopThatARaisedTokenOvertakesIsSentAgain(t *testing.T) {
	for name, end := range map[string]func(*harness, Start){
		"abandoned": func(b *harness, c Start) { b.s.Abandon(b.now, entryA, c.Run.Task.Job) },
		"overdue":   func(b *harness, c Start) { b.s.runners["r1"].runs[c.Run].overdueAt = b.now },
	} {
		t.Run(name, func(t *testing.T) {
			b := leading(t, testRunner("r1"))
			b.submit(testJob(1, 300*ms), 4*time.Second)
			alive := one[Start](b)
			b.started(alive, Accepted)
			late := b.unansweredOnce(testJob(1, 300*ms))
			b.started(late, TooLate)
			list := b.listOf("r1")

			end(b, alive)
			b.tick(20 * ms)
			overtaken := one[Stop](b)
			b.g.Expect(overtaken.Run).To(Equal(alive.Run))
			b.answerHold(list, Accepted, alive.Run)
			raised := b.listOf("r1")
			b.g.Expect(raised.Token).To(BeNumerically(">", overtaken.Token))
			b.answerHold(raised, Accepted, alive.Run)
			b.stopped(overtaken, Fenced)
			b.g.Expect(b.stopsAgain(alive)).To(BeTrue())
		})
	}
}

// stopsAgain reports whether a run that its runner still lists is stopped within two seconds.
func (b *harness) stopsAgain(c Start) bool {
	for range 100 {
		b.tick(20 * ms)
		for _, h := range take[Hold](b) {
			b.answerHold(h, Accepted, c.Run)
		}
		for _, s := range take[Stop](b) {
			if s.Run == c.Run {
				return true
			}
		}
	}
	return false
}
