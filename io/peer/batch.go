package peer

import (
	"context"

	"github.com/coder/websocket"

	"shallotgap/core/wire"
)

// Bounds of the frames that travel in one WebSocket message.
const (
	batchFrames = 256
	batchBytes  = 1 << 20 // after which no further frame is added
)

// gather returns the first frame with those that wait behind it in the queue, in order.
func gather(first Frame, queue chan Frame) []Frame {
	batch := []Frame{first}
	size := sizeOf(first)
	for len(batch) < batchFrames && size < batchBytes {
		select {
		case f := <-queue:
			batch = append(batch, f)
			size += sizeOf(f)
		default:
			return batch
		}
	}
	return batch
}

// sizeOf returns the size in bytes of what a frame carries for callers and endpoints.
func sizeOf(f Frame) int {
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
