package gateway

import (
	"time"

	"ragwortstile/internal/team"
)

// bootTime returns the time since the machine started, counted from the zero of Unix time. Unlike the monotonic clock it
// goes on while the machine is suspended, so that leases expire meanwhile.
func bootTime() time.Time { return time.Unix(0, int64(team.SystemClock().Boot)) }
