// Package examples holds the manifest and the example programs of the demo.
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

// Team is one team with its programs.
type Team struct {
	Name     string    `yaml:"tenant"`
	Key      string    `yaml:"key"` // bearer key
	Programs []Program `yaml:"programs"`
}

// Program is a kind of program that runs Count times.
type Program struct {
	Name  string `yaml:"name"`
	Duty  string `yaml:"duty"`
	Count int    `yaml:"count"`
	Steps []Step `yaml:"steps"`
}

// Step is a model call, a service call or a pause. Steps of the same program run in order.
type Step struct {
	Model     string        `yaml:"model"`
	Say       string        `yaml:"say"`
	MaxTokens int64         `yaml:"max_tokens"`
	Branch    string        `yaml:"branch"` // opened before its first step; empty: main
	Service   string        `yaml:"service"`
	Operation string        `yaml:"operation"`
	Body      string        `yaml:"body"`
	Pause     time.Duration `yaml:"pause"`
}

// Teams returns the users of the demo.
func Teams() ([]Team, error) {
	var users []Team
	for _, data := range [][]byte{bindery, raintank} {
		var u Team
		if err := yaml.Unmarshal(data, &u); err != nil {
			return nil, fmt.Errorf("example programs: %w", err)
		}
		users = append(users, u)
	}
	return users, nil
}
