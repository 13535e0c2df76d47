// Command ragwortstile is a scheduler for agent programs between callers and endpoints.
package main

import (
	"os"

	"ragwortstile/internal/command"
)

func main() {
	os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr))
}
