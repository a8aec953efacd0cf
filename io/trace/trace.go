// Package trace writes and reads recorded inputs and effects of a decision core, as a file of length-prefixed CBOR
// records.
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

// ErrFull is returned by Add when a record would exceed the size limit of the file; the trace ends before that record.
var ErrFull = errors.New("trace: the file has reached its size limit")

// Writer appends records to a trace.
type Writer struct {
	out       *bufio.Writer
	close     func() error
	remaining int64 // bytes that may still be written
}

// Create creates a trace file of at most limit bytes and writes the header. It replaces an existing file.
func Create(path string, limit int64, h world.TraceHeader) (*Writer, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("trace: %w", err)
	}
	w := NewWriter(f, limit)
	w.close = f.Close
	return w, w.append(h)
}

// NewWriter returns a writer of at most limit bytes to out. WriteHeader must be called before Add.
func NewWriter(out io.Writer, limit int64) *Writer {
	return &Writer{out: bufio.NewWriter(out), close: func() error { return nil }, remaining: limit}
}

// WriteHeader writes the header record, which must come first.
func (w *Writer) WriteHeader(h world.TraceHeader) error { return w.append(h) }

// Add appends an input of the decision core and the effects that the core returned for it.
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
	w.remaining -= int64(len(data)) + binary.MaxVarintLen32
	if w.remaining < 0 {
		return ErrFull
	}
	if _, err := w.out.Write(binary.AppendUvarint(nil, uint64(len(data)))); err != nil {
		return err
	}
	_, err = w.out.Write(data)
	return err
}

// Flush writes buffered records to the underlying writer.
func (w *Writer) Flush() error { return w.out.Flush() }

// Close flushes buffered records and closes the file.
func (w *Writer) Close() error { return errors.Join(w.out.Flush(), w.close()) }

// Reader reads a trace.
type Reader struct {
	Header world.TraceHeader
	in     *bufio.Reader
}

// NewReader reads the header of a trace and returns a reader of its steps.
func NewReader(in io.Reader) (*Reader, error) {
	// A trace recorded by an older version lacks newer settings, for which the defaults apply.
	r := &Reader{Header: world.TraceHeader{Params: world.Defaults()}, in: bufio.NewReader(in)}
	if err := r.read(&r.Header); err != nil {
		return nil, fmt.Errorf("trace: header: %w", err)
	}
	return r, nil
}

// Next returns the next step, or io.EOF after the last one. A record that is truncated at the end of the file, as after
// the process was killed, counts as not written.
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
		return fmt.Errorf("record of %d bytes exceeds the size limit", n)
	}
	data := make([]byte, n)
	if _, err := io.ReadFull(r.in, data); err != nil {
		return io.ErrUnexpectedEOF
	}
	return wire.Unmarshal(data, record)
}
