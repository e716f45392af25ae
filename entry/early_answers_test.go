package entry

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"sapphirepoint.example/sapphirepoint/core/routing"
)

// hastyStore answers that nothing has changed before the wait is over, for some time, and then leaves calls
// that wait without an answer.
type hastyStore struct {
	Store

	mu      sync.Mutex
	version uint64
	read    bool
	silent  bool
	longest time.Duration
}

func (s *hastyStore) OperatorSettings(ctx context.Context, wait time.Duration) (OperatorSettings, error) {
	if s.note(wait) {
		<-ctx.Done()
		return OperatorSettings{}, ctx.Err()
	}
	time.Sleep(answerTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.read && wait > 0 {
		return OperatorSettings{}, nil
	}
	s.read = true
	return OperatorSettings{Changed: true, Declaration: &routing.Declaration{Version: s.version}}, nil
}

// note records the wait of a call, and reports whether the call gets no answer.
func (s *hastyStore) note(wait time.Duration) (unanswered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.longest = max(s.longest, wait)
	return wait > 0 && s.silent
}

// goSilent leaves later calls that wait without an answer, and sets the version. It returns the longest wait so far.
func (s *hastyStore) goSilent(version uint64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent, s.version = true, version
	return s.longest
}

// Guards against settings that count as confirmed in the future, so that a silent connection isn't noticed: a store
// that answers before the wait is over hasn't said anything of the rest of the wait.
func TestAnEarlyAnswerConfirmsNothingLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := &hastyStore{version: 3}
		p := startSettingsWatch(t, s)
		version, _ := timedConfiguration(p)
		g.Expect(version).To(BeEquivalentTo(3))
		time.Sleep(time.Second)
		if longest := s.goSilent(6); longest > routing.ConfirmInterval {
			t.Errorf("a call waits for %v", longest)
		}
		time.Sleep(3 * time.Second)
		if version, _ := timedConfiguration(p); version != 6 {
			t.Errorf("a request is routed by version %d", version)
		}
	})
}
