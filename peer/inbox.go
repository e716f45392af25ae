package peer

import (
	"bufio"
	"context"
	"encoding/binary"
	"io"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/semaphore"
	"google.golang.org/protobuf/proto"

	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

const (
	// smallMessage is the size in bytes up to which messages, such as heartbeats, don't wait for memory.
	smallMessage = 4 << 10
	// decodeFactor times its size is what a message takes until it is handled.
	decodeFactor = 10
)

// inbox bounds what large messages of all peers take from their receipt until they are handled. Without it, a leader
// that is short of processor time would hold what all others let through.
type inbox struct {
	limit int64
	free  *semaphore.Weighted
	// waits counts the messages that have waited.
	waits atomic.Uint64
	log   zerolog.Logger
}

func newInbox(limit int64, log zerolog.Logger) *inbox {
	return &inbox{
		limit: limit,
		free:  semaphore.NewWeighted(limit),
		log:   log.Sample(&zerolog.BurstSampler{Burst: 1, Period: time.Second}),
	}
}

// read reads a message in the form of protodelim, once there is memory for it. handled returns that memory.
func (i *inbox) read(ctx context.Context, r *bufio.Reader) (msg *pb.FleetMessage, handled func(), err error) {
	size, err := binary.ReadUvarint(r)
	if err != nil {
		return nil, nil, errors.Wrap(err, "read")
	}
	if size > maxMessageBytes {
		return nil, nil, errors.Errorf("message size %d exceeds %d", size, maxMessageBytes)
	}
	handled, err = i.reserve(ctx, int64(size))
	if err != nil {
		return nil, nil, err
	}
	raw := make([]byte, size)
	msg = &pb.FleetMessage{}
	if _, err = io.ReadFull(r, raw); err == nil {
		err = proto.Unmarshal(raw, msg)
	}
	if err != nil {
		handled()
		return nil, nil, errors.Wrap(err, "read")
	}
	return msg, handled, nil
}

// reserve waits for the memory of a message. The largest messages are read one at a time, whatever the limit.
func (i *inbox) reserve(ctx context.Context, size int64) (release func(), err error) {
	if size <= smallMessage {
		return func() {}, nil
	}
	weight := min(size*decodeFactor, i.limit)
	if !i.free.TryAcquire(weight) {
		i.waits.Add(1)
		i.log.Warn().Int64("bytes", size).Msg("message-waits")
		if err := i.free.Acquire(ctx, weight); err != nil {
			return nil, errors.Wrap(err, "wait for memory")
		}
	}
	return func() { i.free.Release(weight) }, nil
}
