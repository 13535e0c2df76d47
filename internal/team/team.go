// Package team identifies the teams of callers by their API keys, and measures how old the proof is that the
// configuration with these keys is the newest one. Only SystemClock calls the operating system.
package team

// Team is an owner of API keys, as the configuration states it.
type Team struct {
	Name      string
	Keys      []string
	Hashes    []KeyHash // of keys that are not known themselves, since the configuration came from a peer
	Priority  int       // 0 is the highest; goes before the priority of the route
	PerSecond float64   // requests that all instances together admit; 0: no limit
	Burst     float64   // requests beyond the rate that may come at once

	Place    string // of the team in the configuration, for findings
	KeyPlace string // of the list of its keys
}

// keyHash returns the hash of the team's key number n, counted over Keys and then Hashes.
func (t *Team) keyHash(n int) KeyHash {
	if n < len(t.Keys) {
		return HashKey(t.Keys[n])
	}
	return t.Hashes[n-len(t.Keys)]
}

func (t Team) withoutKeys() Team {
	t.Keys, t.Hashes, t.Place, t.KeyPlace = nil, nil, "", ""
	return t
}

// scopeSeparator separates the name of a team from an ID. IDs contain no spaces, so that a scoped ID is never equal to
// the ID of a request without a team, nor to that of another team.
const scopeSeparator = " "

// Scope returns the ID under which the data of a team's program or turn is kept. t is nil for a request without a team,
// whose IDs stay as they are. The empty ID, which stands for none, stays empty.
func (t *Team) Scope(id string) string {
	if t == nil || id == "" {
		return id
	}
	return t.Name + scopeSeparator + id
}
