package command

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"ragwortstile/internal/logservice"
	"ragwortstile/internal/manifest"
	"ragwortstile/internal/publish"
)

// logTimeout limits how long manifest publish and manifest show wait for the log.
const logTimeout = 30 * time.Second

func manifestCommand(stdio standardStreams) *ffcli.Command {
	return &ffcli.Command{
		Name:       "manifest",
		ShortUsage: "ragwortstile manifest <check|diff|publish|show> [flags]",
		ShortHelp:  "Check, compare, publish and show manifests.",
		FlagSet:    newFlagSet(stdio, "ragwortstile manifest"),
		Subcommands: []*ffcli.Command{
			manifestCheck(stdio), manifestDiff(stdio), manifestPublish(stdio), manifestShow(stdio),
		},
		Exec: showHelp,
	}
}

// readManifest reads and validates a manifest. Its error joins all findings, each with the file name, the line and
// the field path.
func readManifest(name string) (*manifest.Manifest, error) {
	data, err := readInput(name)
	if err != nil {
		return nil, err
	}
	m, err := manifest.Parse(data)
	var found manifest.Findings
	if errors.As(err, &found) {
		all := make([]error, 0, len(found))
		for _, f := range found {
			all = append(all, fmt.Errorf("%s: %s", name, f))
		}
		return nil, errors.Join(all...)
	}
	return m, err
}

func manifestCheck(stdio standardStreams) *ffcli.Command {
	fs := newFlagSet(stdio, "ragwortstile manifest check")
	return newCommand("check", "manifest check FILE", "Check a manifest and report every finding with its place.", fs,
		func(_ context.Context, args []string) error {
			name, err := oneArg(args, "the manifest file, or - for standard input")
			if err != nil {
				return err
			}
			m, err := readManifest(name)
			if err != nil {
				return err
			}
			fmt.Fprintf(stdio.stdout, "%s: valid, digest %s, %d tenants, %d duties, %d pools, %d endpoints\n",
				name, m.Digest(), len(m.Teams), len(m.Duties), len(m.Pools), len(m.Endpoints))
			return nil
		})
}

func manifestDiff(stdio standardStreams) *ffcli.Command {
	fs := newFlagSet(stdio, "ragwortstile manifest diff")
	return newCommand("diff", "manifest diff OLD NEW", "Show what a manifest changes against another.", fs,
		func(_ context.Context, args []string) error {
			if len(args) != 2 {
				return usagef("want two arguments: the old and the new manifest file")
			}
			from, err := readManifest(args[0])
			if err != nil {
				return err
			}
			to, err := readManifest(args[1])
			if err != nil {
				return err
			}
			fmt.Fprint(stdio.stdout, manifest.Diff(from, to))
			return nil
		})
}

func manifestPublish(stdio standardStreams) *ffcli.Command {
	fs := newFlagSet(stdio, "ragwortstile manifest publish")
	logURL := fs.String("log-url", "", "base URL of the platform's log")
	expected := fs.Int64("expected", -1, "version that this manifest replaces; 0 for the first one")
	operator := fs.String("operator", os.Getenv("USER"), "name to record as the publisher")
	return newCommand("publish", "manifest publish --log-url URL --expected N FILE",
		"Put a manifest in force if the expected version still is.", fs,
		func(ctx context.Context, args []string) error {
			name, err := oneArg(args, "the manifest file, or - for standard input")
			if err != nil {
				return err
			}
			var errs settingErrors
			if *logURL == "" {
				errs.add("log-url", "the address of the log is missing")
			}
			if *expected < 0 {
				errs.add("expected", "the version that is replaced is missing; see manifest show")
			}
			if len(errs.list) > 0 {
				return &usageError{err: errors.Join(errs.list...)}
			}
			m, err := readManifest(name)
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(ctx, logTimeout)
			defer cancel()
			version, err := publish.Publish(ctx, logservice.NewLogClient(*logURL, http.DefaultClient), publish.Request{
				Expected: uint64(*expected), Data: m.Canonical(), Digest: m.Digest(), Operator: *operator,
			})
			if err != nil {
				return err
			}
			fmt.Fprintf(stdio.stdout, "version %d is in force, digest %s\n", version, m.Digest())
			return nil
		})
}

func manifestShow(stdio standardStreams) *ffcli.Command {
	fs := newFlagSet(stdio, "ragwortstile manifest show")
	logURL := fs.String("log-url", "", "base URL of the platform's log")
	versionOnly := fs.Bool("version", false, "print the version only")
	return newCommand("show", "manifest show --log-url URL", "Print the manifest in force as JSON, and its version on standard error.", fs,
		func(ctx context.Context, args []string) error {
			if err := noArgs(args); err != nil {
				return err
			}
			if *logURL == "" {
				return usagef("--log-url (%s_LOG_URL): the address of the log is missing", envPrefix)
			}
			ctx, cancel := context.WithTimeout(ctx, logTimeout)
			defer cancel()
			r := publish.NewReader(logservice.NewLogClient(*logURL, http.DefaultClient))
			m, err := r.ReadToEnd(ctx)
			if err != nil {
				return err
			}
			if !r.VersionExact() {
				return publish.ErrUndecided
			}
			if *versionOnly {
				fmt.Fprintln(stdio.stdout, m.Version)
				return nil
			}
			if m.Version == 0 {
				return errors.New("no manifest was published")
			}
			fmt.Fprintf(stdio.stderr, "version %d, digest %s, published by %s\n", m.Version, m.Digest, m.Operator)
			fmt.Fprintf(stdio.stdout, "%s\n", m.Data)
			return nil
		})
}
