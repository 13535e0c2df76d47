// Package team identifies the teams of callers by their API keys.
package team

// Team is an owner of API keys, as the configuration states it.
type Team struct {
	Name      string
	Keys      []string
	Priority  int     // 0 is the highest; goes before the priority of the route
	PerSecond float64 // requests that all instances together admit; 0: no limit
	Burst     float64 // requests beyond the rate that may come at once
}
