package command

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"ragwortstile/internal/server"
)

const (
	queryTimeout  = 10 * time.Second
	maxQueryBytes = 16 << 20
)

// queryFlags are the flags of commands that query a running instance.
type queryFlags struct {
	url  string
	key  string
	json bool
}

func (q *queryFlags) addFlags(fs *flag.FlagSet) {
	fs.StringVar(&q.url, "url", "", "base URL of any instance's front")
	fs.StringVar(&q.key, "key", "", "bearer key of the operator or of the tenant")
	fs.BoolVar(&q.json, "json", false, "print the answer as JSON")
}

func (q *queryFlags) get(ctx context.Context, path string) ([]byte, error) {
	if q.url == "" {
		return nil, usagef("--url (%s_URL): the address of an instance is missing", envPrefix)
	}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, strings.TrimRight(q.url, "/")+path, nil)
	if err != nil {
		return nil, usagef("--url (%s_URL): %v", envPrefix, err)
	}
	req.Header.Set("Authorization", "Bearer "+q.key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxQueryBytes))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, problemError(resp.StatusCode, body)
	}
	return body, nil
}

// problemError converts an HTTP problem document to an error; the code is the last part of its type. For any other
// body the error has the status only.
func problemError(status int, body []byte) error {
	var p struct {
		Type   string `json:"type"`
		Detail string `json:"detail"`
	}
	if err := json.Unmarshal(body, &p); err != nil || p.Type == "" {
		return fmt.Errorf("status %d", status)
	}
	return fmt.Errorf("status %d: %s: %s", status, p.Type[strings.LastIndexByte(p.Type, ':')+1:], p.Detail)
}

func statusCommand(stdio standardStreams) *ffcli.Command {
	fs := newFlagSet(stdio, "ragwortstile status")
	var q queryFlags
	q.addFlags(fs)
	return newCommand("status", "status --url URL [flags]", "Show the state of all instances, as one of them sees it.", fs,
		func(ctx context.Context, args []string) error {
			if err := noArgs(args); err != nil {
				return err
			}
			body, err := q.get(ctx, "/v1/status")
			if err != nil {
				return err
			}
			if q.json {
				_, err = stdio.stdout.Write(body)
				return err
			}
			var s server.FleetStatus
			if err := json.Unmarshal(body, &s); err != nil {
				return err
			}
			return printStatus(stdio.stdout, s)
		})
}

func explainCommand(stdio standardStreams) *ffcli.Command {
	fs := newFlagSet(stdio, "ragwortstile explain")
	var q queryFlags
	q.addFlags(fs)
	return newCommand("explain", "explain --url URL [flags] PROGRAM", "Show the decisions that were taken for a program.", fs,
		func(ctx context.Context, args []string) error {
			prog, err := oneArg(args, "the program ID")
			if err != nil {
				return err
			}
			body, err := q.get(ctx, "/v1/programs/"+prog+"/explain")
			if err != nil {
				return err
			}
			if q.json {
				_, err = stdio.stdout.Write(body)
				return err
			}
			return printDecisions(stdio.stdout, body)
		})
}
