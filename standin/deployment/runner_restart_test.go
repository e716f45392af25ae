package deployment

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// callTimeout exceeds any time that a call of these tests takes.
const callTimeout = 5 * time.Second

// startTestRunner starts a runner that ends with the test.
func startTestRunner(t *testing.T) *Runner {
	r, err := StartRunner("i-1", "service", "a")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(r.Close)
	return r
}

// call sends a call to a runner on a connection of its own, and returns the fields of the answer.
func call(r *Runner, path, body string) (map[string]any, error) {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: callTimeout}
	res, err := client.Post("http://"+r.Info.Address+path, "application/json", strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	var fields map[string]any
	return fields, json.NewDecoder(res.Body).Decode(&fields)
}

// startCall is the body of a start of a run of an hour.
func startCall(r *Runner, task string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return fmt.Sprintf(`{"task":%q,"run":1,"spec":"1h","deadlineMs":%d,"fenceToken":1}`, task, r.clock()+maxLease.Milliseconds())
}

// Guards against a stand-in that says more of itself than a runner does, so that tests pass which depend on it.
func TestOnlyListsSayWhenTheIncarnationBegan(t *testing.T) {
	g := NewWithT(t)
	r := startTestRunner(t)
	list, err := call(r, "/hold", `{"fenceToken":1}`)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(list).To(HaveKeyWithValue("born", BeNumerically("==", r.Info.IncarnationStart)))
	started, err := call(r, startPath, startCall(r, "t"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(started).To(And(HaveLen(1), HaveKey("clockMs")))
	stopped, err := call(r, stopPath, `{"task":"t","run":1,"fenceToken":1}`)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(stopped).To(And(HaveLen(1), HaveKey("clockMs")))
	rejected, err := call(r, "/hold", `{}`)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(rejected).To(HaveLen(2))
	g.Expect(rejected).To(HaveKeyWithValue("reason", "fence"))
}

// Guards against a restart after which the next incarnation carries out or answers calls that the one before had received.
func TestCallsEndWithTheirIncarnation(t *testing.T) {
	g := NewWithT(t)
	r := startTestRunner(t)
	begin := r.Info.IncarnationStart
	r.PauseCalls(100 * time.Millisecond)
	failed := make(chan error, 2)
	send := func(path, body string) {
		_, err := call(r, path, body)
		failed <- err
	}
	go send(startPath, startCall(r, "t"))
	go send("/hold", `{"fenceToken":1,"waitMs":2000}`)
	g.Eventually(r.connectionCount).Should(Equal(2))
	r.BeginIncarnation()
	g.Eventually(failed).Should(Receive(HaveOccurred()))
	g.Eventually(failed).Should(Receive(HaveOccurred()))
	time.Sleep(200 * time.Millisecond)
	g.Expect(r.Starts()).To(BeEmpty())
	g.Expect(r.Token()).To(BeZero())
	list, err := call(r, "/hold", `{}`)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(list).To(HaveKeyWithValue("born", BeNumerically(">", begin)))
}

// Guards against a stop, the end of a run or that of a lease which was due in one incarnation and takes place in the next.
func TestTimersEndWithTheirIncarnation(t *testing.T) {
	g := NewWithT(t)
	r := startTestRunner(t)
	r.ChangeFaults(func(f *RunnerFaults) { f.StopTime = 100 * time.Millisecond })
	short := strings.Replace(startCall(r, "short"), "1h", "100ms", 1)
	for _, body := range []string{startCall(r, "stopped"), short} {
		_, err := call(r, startPath, body)
		g.Expect(err).NotTo(HaveOccurred())
	}
	_, err := call(r, stopPath, `{"task":"stopped","run":1,"fenceToken":1}`)
	g.Expect(err).NotTo(HaveOccurred())
	r.Starve(20 * time.Millisecond)
	r.BeginIncarnation()
	for _, task := range []string{"stopped", "short"} {
		_, err := call(r, startPath, startCall(r, task))
		g.Expect(err).NotTo(HaveOccurred())
	}
	time.Sleep(300 * time.Millisecond)
	list, err := call(r, "/hold", `{"fenceToken":1}`)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(list["running"]).To(HaveLen(2))
	g.Expect(list["endedRuns"]).To(BeEmpty())
}

// connectionCount returns how many connections the present incarnation has accepted.
func (r *Runner) connectionCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.current.connections)
}
