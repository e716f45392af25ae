package crowds

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// holdTime is how long a crowd stays before an ordinary caller comes, so that it is complete.
const holdTime = 4 * time.Second

// kind is a crowd that one or several processes must withstand.
type kind struct {
	clients   int
	do        member
	processes int
	// health: the crowd calls the health address.
	health bool
	// maxFDs is the limit of descriptors, that of the smallest machine if it is 0, and runners the number of runners, the
	// usual one if it is 0.
	maxFDs, runners int
}

// withstand has a crowd call all processes, and checks them and ordinary callers while it stays and after it.
func withstand(t *testing.T, k kind) {
	t.Helper()
	m := smallest
	if k.maxFDs > 0 {
		m.maxFDs = k.maxFDs
	}
	w := newWorldWithRunners(t, m, max(1, k.processes), cmp.Or(k.runners, runnerCount))
	c := gather(k.clients, k.do, w.addresses(k.health)...)
	time.Sleep(holdTime)
	w.expectWithstood(c.leave)
}

// expectWithstood checks ordinary callers while crowds stay and after they have left, and in any case what the processes
// have used.
func (w *world) expectWithstood(leave func()) {
	w.t.Helper()
	defer func() {
		leave()
		for _, n := range w.nodes {
			w.expectWithinMachine(n)
		}
	}()
	w.expectOrdinaryAnswers()
	leave()
	w.expectOrdinaryAnswers()
}

// addresses returns the addresses of all processes for callers, or those for health checks.
func (w *world) addresses(health bool) []string {
	var list []string
	for _, n := range w.nodes {
		if health {
			list = append(list, n.HealthAddress)
		} else {
			list = append(list, n.CallerAddress)
		}
	}
	return list
}

func fixed(s string) func(int) string { return func(int) string { return s } }

const longHead = 900_000

// Guards against memory that grows with the size of a head that is over the limit.
func TestHeadsOverTheLimit(t *testing.T) {
	lines := shortLines(longHead)
	withstand(t, kind{clients: 40, do: sendAndStay(func(int) string {
		return requestLine() + "Content-Length: 100\r\n" + lines + "\r\n{"
	})})
}

// Guards against the same at the health address.
func TestHeadsOverTheLimitAtTheHealthAddress(t *testing.T) {
	lines := shortLines(longHead)
	withstand(t, kind{clients: 100, health: true, do: sendAndStay(fixed("GET /ready HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n" + lines + "\r\n{"))})
}

// Guards against memory that grows as long as a head is being sent.
func TestHeadsWithoutEnd(t *testing.T) {
	withstand(t, kind{clients: 100, do: sendForEver(requestLine(), strings.Repeat("a: b\r\n", 200))})
}

const legalHead = 15_500

// Guards against memory that many small header lines take while their heads are incomplete.
func TestLegalHeadsThatDontEnd(t *testing.T) {
	lines := shortLines(legalHead)
	withstand(t, kind{clients: 1000, do: sendAndStay(func(int) string { return requestLine() + lines })})
}

// Guards against memory that many small header lines take while the bodies are incomplete.
func TestLegalHeadsWithHeldBodies(t *testing.T) {
	lines := shortLines(legalHead)
	withstand(t, kind{clients: 1000, do: sendAndStay(func(int) string {
		return requestLine() + "Content-Length: 100\r\n" + lines + "\r\n{"
	})})
}

// Guards against processor time and memory for empty lines before a first request.
func TestEmptyLinesWithoutEnd(t *testing.T) {
	withstand(t, kind{clients: 100, do: sendForEver("", strings.Repeat("\r\n", 2000))})
}

// Guards against the same after a request on the same connection.
func TestEmptyLinesAfterARequest(t *testing.T) {
	withstand(t, kind{clients: 100, do: sendForEver("GET /none HTTP/1.1\r\nHost: a\r\n\r\n", strings.Repeat("\r\n", 2000))})
}

// Guards against memory for large bodies that stop just short of their end.
func TestBodiesShortOfTheirEnd(t *testing.T) {
	text := strings.Repeat(" ", bodyBytes-1)
	withstand(t, kind{clients: 400, do: sendAndStay(func(int) string {
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", requestLine(), bodyBytes, text)
	})})
}

// Guards against the same for bodies in chunks with extensions.
func TestChunkedBodiesShortOfTheirEnd(t *testing.T) {
	text := chunked(strings.Repeat(" ", bodyBytes-1), 1024, ";"+strings.Repeat("x", 100))
	withstand(t, kind{clients: 400, do: sendAndStay(func(int) string {
		return requestLine() + "Transfer-Encoding: chunked\r\n\r\n" + text
	})})
}

// Guards against memory and processor time for bodies in chunks of one byte.
func TestChunksOfOneByte(t *testing.T) {
	text := chunked(strings.Repeat(" ", bodyBytes-1), 1, "")
	withstand(t, kind{clients: 300, do: sendAndStay(func(int) string {
		return requestLine() + "Transfer-Encoding: chunked\r\n\r\n" + text
	})})
}

// Guards against memory for bodies that decode into far more than their size.
func TestBodiesOfEmptySteps(t *testing.T) {
	text := `{"bestEffort":true,"steps":[` + strings.Repeat("{},", 86_999) + `{}]}`
	withstand(t, kind{clients: 100, do: exchange(func(int) string { return post(newID(), text) })})
}

// Guards against the same for the dependencies of one step.
func TestBodiesOfDependencies(t *testing.T) {
	text := `{"bestEffort":true,"steps":[{"count":1,"dependsOn":[` + strings.Repeat("0,", 130_999) + `0]}]}`
	withstand(t, kind{clients: 200, do: exchange(func(int) string { return post(newID(), text) })})
}

// Guards against jobs of one task with a text of nearly the size of a body, which schedulers would hold.
func TestJobsWithLongTexts(t *testing.T) {
	text := `{"spec":"60s","bestEffort":true,"steps":[{"count":1,"cpu":1000,"memMb":64,"estimateMs":100,"affinity":"` +
		strings.Repeat("x", 250_000) + `"}]}`
	withstand(t, kind{clients: 300, processes: 3, do: exchange(func(int) string { return post(newID(), text) })})
}

// Guards against ids that are remembered for every cancel and every query of a job that nobody submitted.
func TestCancelsAndQueriesOfUnknownJobs(t *testing.T) {
	withstand(t, kind{clients: 200, processes: 3, do: func(ctx context.Context, c net.Conn, i int) {
		method := []string{http.MethodDelete, http.MethodGet}[i%2]
		exchange(func(int) string {
			return strings.Replace(requestLineOf(newID()), http.MethodPost, method, 1) + "\r\n"
		})(ctx, c, i)
	}})
}

// Guards against outcomes that are remembered for every small job of a flood.
func TestFloodOfSmallJobs(t *testing.T) {
	withstand(t, kind{clients: 400, processes: 3, do: exchange(func(int) string { return post(newID(), job("1ms", 1)) })})
}

const largestJob = 4000

// Guards against memory for many large jobs of legal size at once.
func TestJobsOfManySteps(t *testing.T) {
	text := manySteps(largestJob)
	withstand(t, kind{clients: 200, do: exchange(func(int) string { return post(newID(), text) })})
}

// Guards against the process that leads, which gets the jobs that all others let through.
func TestJobsOfManyStepsAtAllProcesses(t *testing.T) {
	text := manySteps(largestJob)
	withstand(t, kind{clients: 200, processes: 3, do: exchange(func(int) string { return post(newID(), text) })})
}

// Guards against memory for copies of one large job.
func TestCopiesOfOneJob(t *testing.T) {
	text, id := manySteps(largestJob), newID()
	withstand(t, kind{clients: 300, processes: 3, do: exchange(func(int) string { return post(id, text) })})
}

// Guards against memory for log lines and heads of paths that name no queue.
func TestLongPathsWithoutAQueue(t *testing.T) {
	request := "GET /" + strings.Repeat("p", 15_000) + " HTTP/1.1\r\nHost: a\r\n\r\n"
	withstand(t, kind{clients: 100, processes: 3, do: pipeline(fixed(request))})
}

// Guards against answers that pile up since their callers don't read them.
func TestUnreadAnswers(t *testing.T) {
	withstand(t, kind{clients: 100, do: sendForEver("", strings.Repeat("GET /none HTTP/1.1\r\nHost: a\r\n\r\n", 100))})
}

// Guards against scheduled jobs whose tasks of all occurrences are held in memory.
func TestScheduledJobs(t *testing.T) {
	text := fmt.Sprintf(`{"spec":"1ms","times":4,"startAtMs":%d,"intervalMs":60000,"steps":[{"count":900,"cpu":1000,"memMb":64,"estimateMs":50}]}`,
		time.Now().Add(time.Hour).UnixMilli())
	withstand(t, kind{clients: 40, processes: 3, do: several(50, func() string { return post(newID(), text) })})
}

// Guards against stored jobs that are accepted beyond the memory of the process that leads.
func TestStoredJobs(t *testing.T) {
	text := `{"spec":"1ms","steps":[{"count":900,"cpu":1000,"memMb":64,"estimateMs":50}]}`
	withstand(t, kind{clients: 40, processes: 3, do: several(50, func() string { return post(newID(), text) })})
}

// manyRunners is as many as the deployments with the smallest machines have.
const manyRunners = 350

// Guards against descriptors that connections to runners take, since wide jobs send all of them orders at the same time.
func TestWideJobsOnManyRunners(t *testing.T) {
	text := job("1ms", 4000)
	withstand(t, kind{clients: 100, runners: manyRunners, do: exchange(func(int) string { return post(newID(), text) })})
}

// Guards against descriptors that connections take on which nothing comes.
func TestSilentConnections(t *testing.T) {
	withstand(t, kind{clients: 700, maxFDs: fewFDs, do: sendAndStay(fixed(""))})
}

// Guards against the same for connections that send a byte a second.
func TestConnectionsThatTrickle(t *testing.T) {
	withstand(t, kind{clients: 700, maxFDs: fewFDs, do: trickle(fixed("P"))})
}

// Guards against the same for heads that don't end.
func TestUnfinishedHeads(t *testing.T) {
	withstand(t, kind{clients: 700, maxFDs: fewFDs, do: trickle(func(int) string { return requestLine() + "a: " })})
}

// Guards against the same for bodies that don't end.
func TestUnfinishedBodies(t *testing.T) {
	withstand(t, kind{clients: 700, maxFDs: fewFDs, do: trickle(func(int) string {
		return requestLine() + "Content-Length: 1000\r\n\r\n{"
	})})
}

// Guards against the same at the health address: the platform takes a process without an answer out of rotation.
func TestSilentConnectionsAtTheHealthAddress(t *testing.T) {
	withstand(t, kind{clients: 700, maxFDs: fewFDs, health: true, do: sendAndStay(fixed(""))})
}

// Guards against connections that are opened and reset at once.
func TestConnectionsThatAreReset(t *testing.T) {
	withstand(t, kind{clients: 700, maxFDs: fewFDs, do: reset})
}
