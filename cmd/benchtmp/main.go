package main

import (
	"os"

	"ragwortstile/internal/bench"
)

func main() { os.Exit(bench.Run(os.Args[1:], os.Stdout, os.Stderr)) }
