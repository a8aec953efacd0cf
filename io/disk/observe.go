package disk

import (
	"time"

	"shallotgap/io/logs"
	"shallotgap/io/metric"
)

// Observed returns the settings with waits for room on a full disk that are logged and counted, when they begin and when they are over.
func (c Config) Observed(common logs.Common, meter *metric.Meter) Config {
	log := common.Log.WithField("step", "write").WithField("folder", c.Folder)
	meter.Gauge("shallotgap_disk_full", 0)
	c.OnFull = func(step string, err error) {
		meter.Gauge("shallotgap_disk_full", 1)
		log.WithField("at", step).WithError(err).Warn("disk-full")
	}
	c.OnRoom = func(step string, waited time.Duration) {
		meter.Gauge("shallotgap_disk_full", 0)
		meter.ObserveDuration("shallotgap_disk_full_seconds", waited)
		log.WithField("at", step).WithField("waited", waited.Round(time.Millisecond).String()).Info("disk-has-room")
	}
	return c
}
