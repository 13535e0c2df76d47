package capacity

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
)

// DefaultRepeats is the number of runs of each probe, from which the spread of its slope is computed.
const DefaultRepeats = 3

// Measure runs every probe whose name contains filter and calls done after each.
func Measure(filter string, repeats int, done func(Slope)) []Slope {
	var all []Slope
	for _, p := range probes() {
		if !strings.Contains(p.name, filter) {
			continue
		}
		s := p.measure(repeats)
		done(s)
		all = append(all, s)
	}
	return all
}

func probes() []probe {
	var all []probe
	for _, group := range [][]probe{
		stateProbes(), ownerProbes(), {streamProbe()}, dispatcherProbes(), messageProbes(), configProbes(),
	} {
		all = append(all, group...)
	}
	return all
}

// WriteHeader writes the header line of the table whose rows WriteRow writes.
func WriteHeader(w io.Writer) error {
	_, err := fmt.Fprintf(w, "%-58s %12s %12s %12s %6s  %s\n", "probe", "slope", "low", "high", "R2", "unit")
	return err
}

// WriteRow writes one slope as a row of the table.
func WriteRow(w io.Writer, s Slope) error {
	_, err := fmt.Fprintf(w, "%-58s %12.4g %12.4g %12.4g %6.3f  %s per %s, from %.4g\n",
		s.Name, s.PerX, s.Low, s.High, s.R2, s.YUnit, s.XUnit, s.Intercept)
	return err
}

// WriteJSON writes the slopes with all their points.
func WriteJSON(w io.Writer, slopes []Slope) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(slopes)
}
