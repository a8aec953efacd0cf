package peer

import (
	"context"

	"github.com/coder/websocket"

	"shallotgap/core/wire"
)

// Limits on one batch, which is sent as one WebSocket message.
const (
	batchFrames = 256
	batchBytes  = 1 << 20 // bytes of payload; a batch of this size gets no further frame
)

// collectBatch returns the first frame and the frames queued behind it, in order, up to the limits of a batch.
func collectBatch(first Frame, queue chan Frame) []Frame {
	batch := []Frame{first}
	size := payloadSize(first)
	for len(batch) < batchFrames && size < batchBytes {
		select {
		case f := <-queue:
			batch = append(batch, f)
			size += payloadSize(f)
		default:
			return batch
		}
	}
	return batch
}

// payloadSize returns the size in bytes of the request body or the part of an answer in a frame.
func payloadSize(f Frame) int {
	switch {
	case f.Data == nil:
		return 0
	case f.Data.Forward != nil:
		return len(f.Data.Forward.Call.Body)
	case f.Data.Chunk != nil:
		return len(f.Data.Chunk.Data)
	}
	return 0
}

func writeFrames(ctx context.Context, conn *websocket.Conn, batch []Frame) error {
	data, err := wire.Marshal(batch)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return conn.Write(ctx, websocket.MessageBinary, data)
}
