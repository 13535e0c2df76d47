// Package manifest defines the manifest of duties that operators publish: its types, a strict
// parser that reports every finding with its place, checks, differences and the digest.
package manifest

import (
	"time"

	"ragwortstile/internal/record"
)

// Manifest is the configuration of one deployment. It is generated from the operators' sources and
// published as a whole; nothing in it is edited by hand. In YAML and JSON, durations are text such as
// "30s". Fields that are added later must have omitempty, so that digests of manifests without them stay.
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

// Source tells what the manifest was generated from.
type Source struct {
	Revision  string `json:"revision" yaml:"revision"`
	Generator string `json:"generator,omitempty" yaml:"generator"`
}

// Weights says how much each measure counts in routing decisions. They sum to 1.
type Weights struct {
	ProgramLatency float64 `json:"program_latency" yaml:"program_latency"`
	WastedCache    float64 `json:"wasted_cache" yaml:"wasted_cache"`
}

// Team is a customer of the deployment.
type Team struct {
	Name        string   `json:"name" yaml:"name"`
	KeyDigests  []string `json:"key_digests" yaml:"key_digests"` // hex SHA-256 of each accepted bearer key
	DefaultDuty string   `json:"default_duty" yaml:"default_duty"`
	MaxPrograms int      `json:"max_programs,omitempty" yaml:"max_programs"` // open at once; 0: no limit
}

// Duty is a named body of programs with the promises it must keep and its owed share.
type Duty struct {
	Name     string        `json:"name" yaml:"name"`
	Teams    []string      `json:"tenants" yaml:"tenants"`
	Share    float64       `json:"share" yaml:"share"` // minimum share of each pool it uses, 0 to 1
	Limits   record.Limits `json:"limits" yaml:"limits"`
	Deadline time.Duration `json:"deadline,omitempty" yaml:"deadline"` // default program deadline; 0: none
	Pools    []string      `json:"pools" yaml:"pools"`                 // pools its programs may use
}

// PoolKind tells model pools from service pools.
type PoolKind string

// Kinds of pools.
const (
	PoolModel   PoolKind = "model"
	PoolService PoolKind = "service"
)

// Pool is a group of endpoints that serve the same model or the same service.
type Pool struct {
	Name       string        `json:"name" yaml:"name"` // model or service name as callers use it
	Kind       PoolKind      `json:"kind" yaml:"kind"`
	QueueLimit int           `json:"queue_limit" yaml:"queue_limit"`         // calls that may wait
	MaxTokens  int64         `json:"max_tokens,omitempty" yaml:"max_tokens"` // default and upper bound of an answer
	Timeout    time.Duration `json:"timeout" yaml:"timeout"`                 // of one attempt
}

// Endpoint is one model engine or service server.
type Endpoint struct {
	Name         string `json:"name" yaml:"name"`
	Pool         string `json:"pool" yaml:"pool"`
	URL          string `json:"url" yaml:"url"`
	Zone         string `json:"zone" yaml:"zone"`                             // availability zone
	MaxInFlight  int    `json:"max_in_flight" yaml:"max_in_flight"`           // calls the endpoint is given at once
	CacheTokens  int64  `json:"cache_tokens,omitempty" yaml:"cache_tokens"`   // prefix memory
	IgnoresFence bool   `json:"ignores_fence,omitempty" yaml:"ignores_fence"` // it accepts orders with an old fencing number
	CanExport    bool   `json:"can_export,omitempty" yaml:"can_export"`       // it exports and imports cache
	Engine       Engine `json:"engine,omitempty" yaml:"engine"`               // what it should have loaded; model engines only
}

// Role tells which phase of a call an engine runs.
type Role string

// Roles of engines.
const (
	RoleMixed   Role = "mixed"
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// Engine is the desired state of a model engine. The zero value means that the engine gets no orders.
type Engine struct {
	Model    string   `json:"model,omitempty" yaml:"model"`
	Version  string   `json:"version,omitempty" yaml:"version"`
	Adapters []string `json:"adapters,omitempty" yaml:"adapters"`
	Role     Role     `json:"role,omitempty" yaml:"role"`
}

// Managed tells whether the engine gets orders.
func (e Engine) Managed() bool { return e.Model != "" }

// Orders bounds the orders to engines and the fetches from the weight store. It is required when
// an endpoint has a desired engine state.
type Orders struct {
	FetchInterval time.Duration `json:"fetch_interval,omitempty" yaml:"fetch_interval"` // at least this long between two fetches of the whole deployment
	Timeout       time.Duration `json:"timeout,omitempty" yaml:"timeout"`               // longest time that an order may take effect after it was sent
}

// Service describes the operations of a service pool.
type Service struct {
	Pool       string      `json:"pool" yaml:"pool"`
	Operations []Operation `json:"operations" yaml:"operations"`
}

// Operation is one call of a service.
type Operation struct {
	Name        string `json:"name" yaml:"name"`
	Idempotent  bool   `json:"idempotent" yaml:"idempotent"`
	CanBeAsked  bool   `json:"can_be_asked,omitempty" yaml:"can_be_asked"` // the service tells the outcome by request ID
	ChargeCents int64  `json:"charge_cents,omitempty" yaml:"charge_cents"` // largest cost of one call
}
