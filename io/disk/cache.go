package disk

import (
	"errors"
	"fmt"
	"os"

	"shallotgap/core/wire"
)

// Cache is a file in the data folder that may be lost without harm. It may be written concurrently with the log.
type Cache struct{ store *Store }

// cacheFile holds data that other processes reported to this host. After a restart the host uses the file until those
// processes have reported the data again.
const cacheFile = "known"

// Cache returns the store's cache file.
func (s *Store) Cache() Cache { return Cache{store: s} }

// Write replaces the cached value. After an error, the file holds the former value or none.
func (c Cache) Write(v any) error {
	frame, err := encodeFrame(v)
	if err != nil {
		return fmt.Errorf("encode %s: %w", cacheFile, err)
	}
	if err := c.store.replace(cacheFile, frame); err != nil {
		return fmt.Errorf("write %s: %w", cacheFile, err)
	}
	return nil
}

// Read decodes the cached value into v. It returns false if there is no file, and false with an error if the file is
// damaged or cannot be read.
func (c Cache) Read(v any) (bool, error) {
	data, err := os.ReadFile(c.store.path(cacheFile))
	if errors.Is(err, os.ErrNotExist) {
		return false, nil
	}
	if err != nil {
		return false, fmt.Errorf("read %s: %w", cacheFile, err)
	}
	payload, err := payloadAt(data, 0)
	if err != nil {
		return false, fmt.Errorf("read %s: %w", cacheFile, err)
	}
	if err := wire.Unmarshal(payload, v); err != nil {
		return false, fmt.Errorf("decode %s: %w", cacheFile, err)
	}
	return true, nil
}
