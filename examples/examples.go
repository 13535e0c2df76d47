// Package examples embeds the manifest and the example programs of the demo. Manifest is the YAML that
// the demo publishes, and Teams decodes the teams with the programs that they run.
package examples

import (
	_ "embed"
	"fmt"
	"time"

	"gopkg.in/yaml.v3"
)

// Manifest is the demo's manifest in YAML.
//
//go:embed demo.yaml
var Manifest []byte

//go:embed bindery_programs.yaml
var bindery []byte

//go:embed raintank_programs.yaml
var raintank []byte

// Team is a team, the key of its callers and its programs.
type Team struct {
	Name     string    `yaml:"tenant"`
	Key      string    `yaml:"key"` // bearer key
	Programs []Program `yaml:"programs"`
}

// Program describes a program of which the demo runs Count copies.
type Program struct {
	Name  string `yaml:"name"`
	Duty  string `yaml:"duty"`
	Count int    `yaml:"count"`
	Steps []Step `yaml:"steps"`
}

// Step is a model call, a service call or a pause. The steps of a program run in order.
type Step struct {
	Model     string        `yaml:"model"`
	Say       string        `yaml:"say"` // text of the message to the model
	MaxTokens int64         `yaml:"max_tokens"`
	Branch    string        `yaml:"branch"` // opened before its first step; empty: main
	Service   string        `yaml:"service"`
	Operation string        `yaml:"operation"`
	Body      string        `yaml:"body"`
	Pause     time.Duration `yaml:"pause"`
}

// Teams returns the teams of the demo with their programs.
func Teams() ([]Team, error) {
	var teams []Team
	for _, data := range [][]byte{bindery, raintank} {
		var t Team
		if err := yaml.Unmarshal(data, &t); err != nil {
			return nil, fmt.Errorf("example programs: %w", err)
		}
		teams = append(teams, t)
	}
	return teams, nil
}
