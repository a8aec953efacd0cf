package disk

import (
	"errors"
	"fmt"
	"os"

	"shallotgap/core/wire"
)

// Cache is a file in the data folder that may be lost without harm. It may be written concurrently with the log.
type Cache struct {
	store *Store
	file  string
}

// The cache files hold data that other processes reported to this host. After a restart the host uses them until those processes
// have reported the data again.
const (
	endpointsFile  = "known"
	entryHostsFile = "entry-hosts"
)

// Endpoints returns the cache file for endpoints.
func (s *Store) Endpoints() Cache { return Cache{store: s, file: endpointsFile} }

// EntryHosts returns the cache file for entry hosts.
func (s *Store) EntryHosts() Cache { return Cache{store: s, file: entryHostsFile} }

// Write replaces the cached value. After an error, the file holds the former value or none.
func (c Cache) Write(v any) error {
	frame, err := encodeFrame(v)
	if err != nil {
		return fmt.Errorf("encode %s: %w", c.file, err)
	}
	if err := c.store.replace(c.file, frame); err != nil {
		return fmt.Errorf("write %s: %w", c.file, err)
	}
	return nil
}

// Read decodes the cached value into v. It returns false if there is no file, and false with an error if the file is
// damaged or cannot be read.
func (c Cache) Read(v any) (bool, error) {
	data, err := os.ReadFile(c.store.path(c.file))
	if errors.Is(err, os.ErrNotExist) {
		return false, nil
	}
	if err != nil {
		return false, fmt.Errorf("read %s: %w", c.file, err)
	}
	payload, err := payloadAt(data, 0)
	if err != nil {
		return false, fmt.Errorf("read %s: %w", c.file, err)
	}
	if err := wire.Unmarshal(payload, v); err != nil {
		return false, fmt.Errorf("decode %s: %w", c.file, err)
	}
	return true, nil
}
