package disk

import (
	"errors"
	"syscall"
	"time"
)

// roomCheck is the interval of tries on a full disk: a small part of the time within which an operator's change must be acknowledged once there is
// room again.
const roomCheck = 50 * time.Millisecond

// isFull reports whether a disk refused to write for want of room. Unlike after other errors, it is known what it holds: everything up to the last
// sync.
func isFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}

// Abandon ends all waits for room on a full disk, which then fail. Calling it again has no effect.
func (s *Store) Abandon() { s.abandonOnce.Do(func() { close(s.abandoned) }) }

// untilRoom carries out a step of a write, again and again while the disk is full. It gives up once Stop is closed or Abandon is called.
func (s *Store) untilRoom(step string, do func() error) error {
	err := do()
	if !isFull(err) || !s.WaitForRoom {
		return err
	}
	since := time.Now()
	if s.OnFull != nil {
		s.OnFull(step, err)
	}
	tick := time.NewTicker(roomCheck)
	defer tick.Stop()
	for isFull(err) {
		select {
		case <-s.Stop:
			return err
		case <-s.abandoned:
			return err
		case <-tick.C:
		}
		err = do()
	}
	if err == nil && s.OnRoom != nil {
		s.OnRoom(step, time.Since(since))
	}
	return err
}
