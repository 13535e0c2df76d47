package server

import (
	"ragwortstile/internal/id"
	"ragwortstile/internal/program"
)

func (e *endpoints) dispatchModel(a program.DispatchModel)                {}
func (e *endpoints) dispatchService(a program.DispatchService)            {}
func (e *endpoints) cancelAttempt(a program.CancelAttempt)                {}
func (e *endpoints) ask(a program.AskOutcome)                             {}
func (e *endpoints) release(endpoint string, p id.Program, branch string) {}
