// Package trace writes and reads the recorded inputs of a decision core as a file of length-prefixed CBOR records.
package trace

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"os"

	"shallotgap/core/wire"
	"shallotgap/core/world"
)

// maxRecord is the largest record in bytes.
const maxRecord = 512 << 20

// ErrFull is returned by Add once the file has reached its bound; the trace ends there.
var ErrFull = errors.New("trace: the file has reached its bound")

// Writer appends records to a trace.
type Writer struct {
	out   *bufio.Writer
	close func() error
	left  int64 // bytes
}

// Create starts a trace in a new file of at most limit bytes, replacing an older one.
func Create(path string, limit int64, h world.TraceHeader) (*Writer, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("trace: %w", err)
	}
	w := NewWriter(f, limit)
	w.close = f.Close
	return w, w.append(h)
}

// NewWriter returns a writer without a header record.
func NewWriter(out io.Writer, limit int64) *Writer {
	return &Writer{out: bufio.NewWriter(out), close: func() error { return nil }, left: limit}
}

// WriteHeader writes the header record.
func (w *Writer) WriteHeader(h world.TraceHeader) error { return w.append(h) }

// Add appends an input with its effects.
func (w *Writer) Add(in world.Input, effects []world.Effect) error {
	step, err := world.NewTraceStep(in, effects)
	if err != nil {
		return err
	}
	return w.append(step)
}

func (w *Writer) append(record any) error {
	data, err := wire.Marshal(record)
	if err != nil {
		return err
	}
	w.left -= int64(len(data)) + binary.MaxVarintLen32
	if w.left < 0 {
		return ErrFull
	}
	if _, err := w.out.Write(binary.AppendUvarint(nil, uint64(len(data)))); err != nil {
		return err
	}
	_, err = w.out.Write(data)
	return err
}

// Flush passes on what is buffered.
func (w *Writer) Flush() error { return w.out.Flush() }

// Close writes out what is buffered.
func (w *Writer) Close() error { return errors.Join(w.out.Flush(), w.close()) }

// Reader reads a trace.
type Reader struct {
	Header world.TraceHeader
	in     *bufio.Reader
}

// NewReader reads the header of a trace.
func NewReader(in io.Reader) (*Reader, error) {
	// A trace of an older program lacks the settings that came later: their defaults hold.
	r := &Reader{Header: world.TraceHeader{Params: world.Defaults()}, in: bufio.NewReader(in)}
	if err := r.read(&r.Header); err != nil {
		return nil, fmt.Errorf("trace: header: %w", err)
	}
	return r, nil
}

// Next returns the next record; io.EOF after the last one. A record that was cut off at the end of the file, as by
// a killed process, counts as not written.
func (r *Reader) Next() (world.TraceStep, error) {
	var s world.TraceStep
	err := r.read(&s)
	if errors.Is(err, io.ErrUnexpectedEOF) {
		err = io.EOF
	}
	return s, err
}

func (r *Reader) read(record any) error {
	n, err := binary.ReadUvarint(r.in)
	if err != nil {
		return err
	}
	if n > maxRecord {
		return fmt.Errorf("a record of %d bytes is too long", n)
	}
	data := make([]byte, n)
	if _, err := io.ReadFull(r.in, data); err != nil {
		return io.ErrUnexpectedEOF
	}
	return wire.Unmarshal(data, record)
}
