// Command ragwortstile schedules the model and service calls of agent programs on endpoints. Its commands run
// the instances, manage manifests, query a deployment and run benchmarks, trials and a demo.
package main

import (
	"os"

	"ragwortstile/internal/command"
)

func main() {
	os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr))
}
