package team

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"fmt"
	"strings"
)

const (
	// MaxTeams bounds the teams of a configuration, so that a faulty one cannot take up the memory of an instance.
	MaxTeams = 10_000
	// MaxNameBytes bounds the name of a team, which is sent with each request to an endpoint.
	MaxNameBytes = 256
)

// KeyHash is the SHA-256 hash of an API key.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of an API key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// emptyKey is the hash of the empty key, for keys that are known by their hash only.
var emptyKey = HashKey("")

// Finding is a fault in the teams of a configuration. It contains no key.
type Finding struct {
	Place string // in the configuration
	Text  string
}

// Index finds the team that owns an API key. It contains no keys, only their hashes, and is immutable.
type Index struct {
	// owners is keyed by the first bytes of the hash. Keys that agree in these bytes follow each other in next.
	owners map[uint64]owner
	teams  []Team // without keys
}

// owner is a key and the team that it belongs to.
type owner struct {
	hash  KeyHash
	team  int32 // position in Index.teams, or ambiguous
	place place
	next  *owner
}

// ambiguous is the team of a key that several teams have.
const ambiguous = -1

// place is the position of a key in the configuration.
type place struct{ team, key int32 }

// in returns the place as text, in a configuration with the given teams.
func (p place) in(teams []Team) string { return fmt.Sprintf("%s[%d]", teams[p.team].KeyPlace, p.key) }

// NewIndex indexes the keys of teams. What it cannot use is reported as a finding and left out: a key of several teams
// belongs to none, and a team without a usable name has no keys.
func NewIndex(teams []Team) (*Index, []Finding) {
	var findings []Finding
	report := func(place, text string) { findings = append(findings, Finding{Place: place, Text: text}) }
	if len(teams) > MaxTeams {
		report(teams[MaxTeams].Place, fmt.Sprintf("%d teams, only the first %d are used", len(teams), MaxTeams))
		teams = teams[:MaxTeams]
	}
	keys := 0
	for i := range teams {
		keys += len(teams[i].Keys) + len(teams[i].Hashes)
	}
	x := &Index{owners: make(map[uint64]owner, keys), teams: make([]Team, len(teams))}
	names := make(map[string]int, len(teams))
	for i, t := range teams {
		x.teams[i] = t.withoutKeys()
		if text := checkName(t.Name); text != "" {
			report(t.Place+".name", text)
			continue
		}
		if first, found := names[t.Name]; found {
			report(t.Place+".name", "same name as "+teams[first].Place)
		} else {
			names[t.Name] = i
		}
		for k := range len(t.Keys) + len(t.Hashes) {
			at := place{team: int32(i), key: int32(k)}
			hash := t.keyHash(k)
			if hash == emptyKey {
				report(at.in(teams), "empty key")
				continue
			}
			earlier, found := x.add(hash, at)
			switch {
			case !found:
			case earlier.team == at.team:
				report(at.in(teams), "duplicate of "+earlier.in(teams))
			default:
				report(at.in(teams), "key of several teams, see "+earlier.in(teams)+"; it belongs to none")
			}
		}
	}
	return x, findings
}

// checkName returns what is wrong with the name of a team. It is sent in a header, which cannot hold control characters
// or spaces at its ends.
func checkName(name string) string {
	switch {
	case name == "":
		return "empty name"
	case len(name) > MaxNameBytes:
		return fmt.Sprintf("name of %d bytes, at most %d are allowed", len(name), MaxNameBytes)
	case strings.ContainsFunc(name, func(r rune) bool { return r < ' ' || r == 0x7f }):
		return "control character in the name"
	case strings.TrimSpace(name) != name:
		return "space at an end of the name"
	default:
		return ""
	}
}

// add adds a key. If it has the key already, it returns the first place of the key. A key that another team has belongs
// to none from then on.
func (x *Index) add(hash KeyHash, at place) (earlier place, found bool) {
	prefix := hash.prefix()
	head, taken := x.owners[prefix]
	if !taken {
		x.owners[prefix] = owner{hash: hash, team: at.team, place: at}
		return place{}, false
	}
	for o := &head; o != nil; o = o.next {
		if o.hash != hash {
			continue
		}
		if o.place.team != at.team {
			o.team = ambiguous
			x.owners[prefix] = head
		}
		return o.place, true
	}
	first := head
	x.owners[prefix] = owner{hash: hash, team: at.team, place: at, next: &first}
	return place{}, false
}

func (h KeyHash) prefix() uint64 { return binary.BigEndian.Uint64(h[:]) }

// Owner returns the team that owns a key, or nil if no team does. Keys are compared by their hashes in constant time, so
// the time that it takes tells nothing about the keys that exist.
func (x *Index) Owner(key string) *Team {
	if key == "" {
		return nil
	}
	hash := HashKey(key)
	head, found := x.owners[hash.prefix()]
	if !found {
		return nil
	}
	for o := &head; o != nil; o = o.next {
		if subtle.ConstantTimeCompare(o.hash[:], hash[:]) == 1 {
			if o.team == ambiguous {
				return nil
			}
			return &x.teams[o.team]
		}
	}
	return nil
}

// Teams returns the teams in the order of the configuration, without their keys. The caller must not change them.
func (x *Index) Teams() []Team { return x.teams }
