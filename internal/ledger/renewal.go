package ledger

import (
	"time"

	"github.com/sirupsen/logrus"

	"ragwortstile/internal/history"
)

const (
	// renewalAge is the share of the time for which the store keeps records after which those that are still needed are
	// written again.
	renewalAge = 0.5
	// maxRenewalBytes bounds the text that is written again in a partition every expireInterval, also after an outage.
	maxRenewalBytes = 256 << 10
)

// renew writes records again that the store will soon delete and that are still needed. While the store is away nothing is added
// to what waits already. The caller holds the lock.
func (ld *leader) renew(now time.Time) {
	if ld.recordRetention <= 0 || !ld.stalledSince.IsZero() || !ld.mayServe() {
		return
	}
	records := ld.state.Renew(now.Add(-time.Duration(renewalAge*float64(ld.recordRetention))), now, maxRenewalBytes)
	for _, r := range records {
		e, err := ld.enqueue(r, false)
		if err != nil {
			ld.logger.WithFields(logrus.Fields{"reason": err.Error(), "call": r.Turn, "program": r.Program}).Warn("record not written again")
			continue
		}
		if r.Kind == history.RecordGrant {
			ld.latestGrants[r.Program] = e
		}
	}
	if len(records) > 0 {
		ld.logger.WithField("count", len(records)).Info("records written again before the store deletes them")
	}
}
