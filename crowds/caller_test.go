package crowds

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/gomega"
)

// caller opens a connection for each request.
var caller = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 10 * time.Second}

func get(address, path string) int {
	res, err := caller.Get("http://" + address + path)
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	return res.StatusCode
}

func body(address, path string) string {
	res, err := caller.Get("http://" + address + path)
	if err != nil {
		return ""
	}
	defer res.Body.Close()
	raw, err := io.ReadAll(res.Body)
	if err != nil {
		return ""
	}
	return string(raw)
}

var lastID atomic.Uint64

// newID returns a job's id that no other call returns.
func newID() string { return fmt.Sprintf("%016x", lastID.Add(1)) }

// job returns a best-effort job of one step.
func job(spec string, tasks int) string {
	return fmt.Sprintf(`{"spec":%q,"steps":[{"count":%d,"cpu":1000,"memMb":64,"estimateMs":50}],"bestEffort":true}`, spec, tasks)
}

// submit submits a job and returns the status and body of the answer; 0 if there is none.
func submit(n *node, id, body string) (int, string) {
	req, err := http.NewRequest(http.MethodPost, "http://"+n.CallerAddress+prefix+id, bytes.NewBufferString(body))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = host
	req.Header.Set("Deadline-Ms", "8000")
	res, err := caller.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer res.Body.Close()
	raw, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, err.Error()
	}
	return res.StatusCode, string(raw)
}

// expectOrdinaryAnswers checks that each process carries out an ordinary job. Its caller sends it again if there is no
// answer, and comes back under another id if the job is refused.
func (w *world) expectOrdinaryAnswers() {
	w.t.Helper()
	for _, n := range w.nodes {
		if n.stopping {
			continue
		}
		id, seen := newID(), ""
		NewWithT(w.t).Eventually(func() bool {
			status, answer := submit(n, id, job("1ms", 1))
			seen = fmt.Sprintf("%d %s", status, answer)
			if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
				id = newID()
			}
			return status == http.StatusOK && answer == `{"state":"completed"}`
		}, testTimeout, 200*time.Millisecond).Should(BeTrue(), func() string {
			return fmt.Sprintf("%s: an ordinary job isn't carried out; the last answer: %s", n.name, seen)
		})
	}
}
