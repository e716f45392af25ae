package peer

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/encoding/protodelim"
)

// stream returns the wire form of a message that names a job.
func stream(t *testing.T, job string) *bufio.Reader {
	t.Helper()
	var b bytes.Buffer
	_, err := protodelim.MarshalTo(&b, dropJob(job))
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return bufio.NewReader(&b)
}

// Guards against a leader that holds more messages than it has memory for, since it handles them late.
func TestLargeMessagesAwaitMemory(t *testing.T) {
	g := NewWithT(t)
	large := strings.Repeat("x", 10_000)
	i := newInbox(3*10_000*decodeFactor, zerolog.Nop())
	var handled []func()
	for range 2 {
		_, done, err := i.read(context.Background(), stream(t, large))
		g.Expect(err).NotTo(HaveOccurred())
		handled = append(handled, done)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	_, _, err := i.read(ctx, stream(t, large))
	g.Expect(err).To(MatchError(context.DeadlineExceeded))
	m, _, err := i.read(context.Background(), stream(t, "small"))
	g.Expect(err).NotTo(HaveOccurred(), "small messages don't wait")
	g.Expect(m.GetDropJob().GetJob()).To(Equal("small"))
	handled[0]()
	m, _, err = i.read(context.Background(), stream(t, large))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(m.GetDropJob().GetJob()).To(Equal(large))
}

// Guards against memory that stays reserved after a message that ends too early, and against messages over the limit.
func TestBrokenMessages(t *testing.T) {
	g := NewWithT(t)
	i := newInbox(1000*decodeFactor, zerolog.Nop())
	raw, err := io.ReadAll(stream(t, strings.Repeat("x", 8_000)))
	g.Expect(err).NotTo(HaveOccurred())
	for range 3 {
		_, _, err = i.read(context.Background(), bufio.NewReader(bytes.NewReader(raw[:5_000])))
		g.Expect(err).To(MatchError(io.ErrUnexpectedEOF))
	}
	_, handled, err := i.read(context.Background(), bufio.NewReader(bytes.NewReader(raw)))
	g.Expect(err).NotTo(HaveOccurred(), "a message over the whole limit is read alone")
	handled()
	_, _, err = i.read(context.Background(), bufio.NewReader(bytes.NewReader([]byte{0xff, 0xff, 0xff, 0x7f})))
	g.Expect(err).To(MatchError(ContainSubstring("message size")))
}
