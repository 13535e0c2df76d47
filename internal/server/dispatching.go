package server

import (
	"encoding/json"
	"ragwortstile/internal/id"
	"ragwortstile/internal/manifest"
	"ragwortstile/internal/program"
)

func (e *endpoints) dispatchModel(a program.DispatchModel)                {}
func (e *endpoints) dispatchService(a program.DispatchService)            {}
func (e *endpoints) cancelAttempt(a program.CancelAttempt)                {}
func (e *endpoints) ask(a program.AskOutcome)                             {}
func (e *endpoints) release(endpoint string, p id.Program, branch string) {}

func manifestFromLog(b []byte) (*manifest.Manifest, error) {
	m := &manifest.Manifest{}
	return m, json.Unmarshal(b, m)
}
