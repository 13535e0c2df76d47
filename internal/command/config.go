package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"

	"github.com/peterbourgon/ff/v3/ffcli"

	"ragwortstile/internal/configcheck"
	"ragwortstile/internal/manifest"
	"ragwortstile/internal/routing"
	"ragwortstile/platform"
)

func configCommand(stdio standardStreams) *ffcli.Command {
	return &ffcli.Command{
		Name:        "config",
		ShortUsage:  "ragwortstile config <check> [flags]",
		ShortHelp:   "Check a configuration of the users' platform before it is published.",
		FlagSet:     newFlagSet(stdio, "ragwortstile config"),
		Subcommands: []*ffcli.Command{configCheck(stdio)},
		Exec:        showHelp,
	}
}

func configCheck(stdio standardStreams) *ffcli.Command {
	fs := newFlagSet(stdio, "ragwortstile config check")
	inForce := fs.String("in-force", "", "file with the version in force, to compare with")
	asJSON := fs.Bool("json", false, "print findings and changes as JSON")
	return newCommand("check", "config check [--in-force FILE] [--json] FILE",
		"Report faults of a configuration with their place, and what it changes. The exit status is 1 if there are errors.", fs,
		func(_ context.Context, args []string) error {
			name, err := oneArg(args, "the configuration file, or - for standard input")
			if err != nil {
				return err
			}
			next, err := readConfig(name)
			if err != nil {
				return err
			}
			report := configReport{Findings: configcheck.Check(next)}
			if *inForce != "" {
				old, err := readConfig(*inForce)
				if err != nil {
					return err
				}
				report.Findings = append(configcheck.CheckVersion(old, next), report.Findings...)
				report.Changes = configcheck.Diff(old, next)
			}
			if err := report.write(stdio.stdout, *asJSON); err != nil {
				return err
			}
			if errs := report.errors(); errs > 0 {
				return fmt.Errorf("%s: errors: %d", name, errs)
			}
			return nil
		})
}

func readConfig(name string) (routing.Config, error) {
	data, err := readInput(name)
	if err != nil {
		return routing.Config{}, err
	}
	c, err := platform.DecodeConfig(data)
	if err != nil {
		return routing.Config{}, fmt.Errorf("%s: %w", name, err)
	}
	return c, nil
}

// configReport is the result of a check.
type configReport struct {
	Findings []configcheck.Finding
	Changes  manifest.Changes
}

func (r configReport) errors() int {
	n := 0
	for _, f := range r.Findings {
		if f.Severity == configcheck.Error {
			n++
		}
	}
	return n
}

func (r configReport) write(w io.Writer, asJSON bool) error {
	if asJSON {
		return r.writeJSON(w)
	}
	for _, f := range r.Findings {
		f.Path = platform.FieldPath(f.Path)
		if _, err := fmt.Fprintf(w, "%s: %s\n", f.Severity, f.Finding); err != nil {
			return err
		}
	}
	_, err := fmt.Fprint(w, r.Changes)
	return err
}

func (r configReport) writeJSON(w io.Writer) error {
	type finding struct {
		Severity configcheck.Severity `json:"severity"`
		Path     string               `json:"path"`
		Problem  string               `json:"problem"`
	}
	out := struct {
		Findings []finding `json:"findings"`
		Changes  []string  `json:"changes"`
	}{[]finding{}, []string{}}
	for _, f := range r.Findings {
		out.Findings = append(out.Findings, finding{f.Severity, platform.FieldPath(f.Path), f.Problem})
	}
	for _, c := range r.Changes {
		out.Changes = append(out.Changes, c.String())
	}
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(out)
}
