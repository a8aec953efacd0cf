package disk

import (
	"errors"
	"fmt"
	"os"

	"shallotgap/core/wire"
)

// Cache is a file beside the log that may be lost without harm. It may be written while the log is.
type Cache struct{ store *Store }

// keptFile holds what a host knew that others will tell again, for the time until they have.
const keptFile = "known"

// Cache returns the store's file for what may be lost.
func (s *Store) Cache() Cache { return Cache{store: s} }

// Write replaces what is kept. An error leaves the former content, or none.
func (k Cache) Write(v any) error {
	frame, err := frameOf(v)
	if err != nil {
		return fmt.Errorf("encode %s: %w", keptFile, err)
	}
	if err := k.store.replace(keptFile, frame); err != nil {
		return fmt.Errorf("write %s: %w", keptFile, err)
	}
	return nil
}

// Read decodes what is kept into v; false when there is nothing, or nothing whole.
func (k Cache) Read(v any) (bool, error) {
	data, err := os.ReadFile(k.store.path(keptFile))
	if errors.Is(err, os.ErrNotExist) {
		return false, nil
	}
	if err != nil {
		return false, fmt.Errorf("read %s: %w", keptFile, err)
	}
	payload, err := payloadAt(data, 0)
	if err != nil {
		return false, fmt.Errorf("read %s: %w", keptFile, err)
	}
	if err := wire.Unmarshal(payload, v); err != nil {
		return false, fmt.Errorf("decode %s: %w", keptFile, err)
	}
	return true, nil
}
