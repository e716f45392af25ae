package deployment

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against calls that stay unanswered on a slow runner since their handler wrote no status.
func TestSlowCallWithoutAStatusIsAnswered(t *testing.T) {
	g := NewWithT(t)
	r := &Runner{faults: RunnerFaults{Slow: 1, MaxDelay: time.Millisecond}}
	silent := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})
	s := httptest.NewServer(r.applyFaults(silent))
	defer s.Close()
	res, err := http.Post(s.URL, "application/json", http.NoBody)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(res.Body.Close()).To(Succeed())
	g.Expect(res.StatusCode).To(Equal(http.StatusOK))
}
