// Package manifest defines the manifest, the configuration of a deployment that operators publish.
// Parse decodes YAML or JSON strictly and reports every error as a Finding with its field path and
// line. Manifest.Canonical and Manifest.Digest give the published form and its hash, Diff compares two
// manifests, and Index answers lookups at run time.
package manifest

import (
	"time"

	"ragwortstile/internal/record"
)

// Manifest is the configuration of one deployment. It is generated from the operators' sources and
// published as a whole, never edited by hand. In YAML and JSON, durations are text such as "30s". New
// fields must have omitempty, so that the digests of manifests without them do not change.
type Manifest struct {
	Deployment string     `json:"deployment" yaml:"deployment"`
	Source     Source     `json:"source" yaml:"source"`
	Weights    Weights    `json:"weights" yaml:"weights"`
	Teams      []Team     `json:"tenants" yaml:"tenants"`
	Duties     []Duty     `json:"duties" yaml:"duties"`
	Pools      []Pool     `json:"pools" yaml:"pools"`
	Endpoints  []Endpoint `json:"endpoints" yaml:"endpoints"`
	Services   []Service  `json:"services" yaml:"services"`
	Orders     Orders     `json:"orders,omitempty" yaml:"orders"`
}

// Source identifies the source and the program that the manifest was generated from.
type Source struct {
	Revision  string `json:"revision" yaml:"revision"`
	Generator string `json:"generator,omitempty" yaml:"generator"`
}

// Weights tells how much each criterion counts in routing decisions. The weights sum to 1.
type Weights struct {
	ProgramLatency float64 `json:"program_latency" yaml:"program_latency"`
	WastedCache    float64 `json:"wasted_cache" yaml:"wasted_cache"`
}

// Team is a customer of the deployment.
type Team struct {
	Name        string   `json:"name" yaml:"name"`
	KeyDigests  []string `json:"key_digests" yaml:"key_digests"` // hex SHA-256 of each accepted bearer key
	DefaultDuty string   `json:"default_duty" yaml:"default_duty"`
	MaxPrograms int      `json:"max_programs,omitempty" yaml:"max_programs"` // open at the same time; 0: no limit
}

// Duty is a named class of programs with their limits, their default deadline and their minimum share
// of the pools.
type Duty struct {
	Name     string        `json:"name" yaml:"name"`
	Teams    []string      `json:"tenants" yaml:"tenants"`
	Share    float64       `json:"share" yaml:"share"` // minimum share of each pool it uses, 0 to 1; the scheduler calls it the owed share
	Limits   record.Limits `json:"limits" yaml:"limits"`
	Deadline time.Duration `json:"deadline,omitempty" yaml:"deadline"` // default program deadline; 0: none
	Pools    []string      `json:"pools" yaml:"pools"`                 // pools its programs may use
}

// PoolKind distinguishes pools of model engines from pools of service servers.
type PoolKind string

// Kinds of pools.
const (
	PoolModel   PoolKind = "model"
	PoolService PoolKind = "service"
)

// Pool is a group of endpoints that serve the same model or the same service.
type Pool struct {
	Name       string        `json:"name" yaml:"name"` // the model or service name in calls
	Kind       PoolKind      `json:"kind" yaml:"kind"`
	QueueLimit int           `json:"queue_limit" yaml:"queue_limit"`         // maximum number of waiting calls
	MaxTokens  int64         `json:"max_tokens,omitempty" yaml:"max_tokens"` // default and maximum output tokens of a call
	Timeout    time.Duration `json:"timeout" yaml:"timeout"`                 // of each attempt
}

// Endpoint is one model engine or service server.
type Endpoint struct {
	Name         string `json:"name" yaml:"name"`
	Pool         string `json:"pool" yaml:"pool"`
	URL          string `json:"url" yaml:"url"`
	Zone         string `json:"zone" yaml:"zone"`                             // availability zone
	MaxInFlight  int    `json:"max_in_flight" yaml:"max_in_flight"`           // maximum number of concurrent calls
	CacheTokens  int64  `json:"cache_tokens,omitempty" yaml:"cache_tokens"`   // capacity of the prefix cache, in tokens
	IgnoresFence bool   `json:"ignores_fence,omitempty" yaml:"ignores_fence"` // it accepts orders with an outdated fencing token
	CanExport    bool   `json:"can_export,omitempty" yaml:"can_export"`       // it can export and import prefix cache contents
	Engine       Engine `json:"engine,omitempty" yaml:"engine"`               // desired state; model engines only
}

// Role tells which phases of a call an engine runs: prefill, decode or both.
type Role string

// Roles of engines.
const (
	RoleMixed   Role = "mixed"
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// Engine is the desired state of a model engine. The zero value means that no orders are sent to it.
type Engine struct {
	Model    string   `json:"model,omitempty" yaml:"model"`
	Version  string   `json:"version,omitempty" yaml:"version"`
	Adapters []string `json:"adapters,omitempty" yaml:"adapters"`
	Role     Role     `json:"role,omitempty" yaml:"role"`
}

// Managed reports whether orders are sent to the engine to reach the desired state.
func (e Engine) Managed() bool { return e.Model != "" }

// Orders limits the orders to engines and their fetches from the weight store. It is required if an
// endpoint has a desired engine state.
type Orders struct {
	FetchInterval time.Duration `json:"fetch_interval,omitempty" yaml:"fetch_interval"` // minimum time between two fetches in the whole deployment
	Timeout       time.Duration `json:"timeout,omitempty" yaml:"timeout"`               // longest time between sending an order and its effect
}

// Service describes the operations of a service pool.
type Service struct {
	Pool       string      `json:"pool" yaml:"pool"`
	Operations []Operation `json:"operations" yaml:"operations"`
}

// Operation is an operation that callers can invoke on a service.
type Operation struct {
	Name        string `json:"name" yaml:"name"`
	Idempotent  bool   `json:"idempotent" yaml:"idempotent"`
	CanBeAsked  bool   `json:"can_be_asked,omitempty" yaml:"can_be_asked"` // the service answers queries for the outcome by request ID
	ChargeCents int64  `json:"charge_cents,omitempty" yaml:"charge_cents"` // maximum charge of one call, in cents
}
