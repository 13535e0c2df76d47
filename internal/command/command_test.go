package command

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

func runCommand(args ...string) (code int, stdout, stderr string) {
	var out, errOut bytes.Buffer
	code = Run(args, &out, &errOut)
	return code, out.String(), errOut.String()
}

// Guards against one exit code for usage errors and failures, which scripts could not tell apart.
func TestExitCodes(t *testing.T) {
	dir := t.TempDir()
	bad := filepath.Join(dir, "bad.yaml")
	must.NoError(t, os.WriteFile(bad, []byte("deployment: x\nshare: 1\n"), 0o600))
	config := filepath.Join(dir, "config.json")
	must.NoError(t, os.WriteFile(config, []byte(`{"version":1,"limits":{"max_header_bytes":1,"header_timeout_ms":1,"idle_timeout_ms":2}}`), 0o600))
	cases := []struct {
		name string
		args []string
		code int
		text string // on standard error
	}{
		{"no command", nil, ExitUsage, "USAGE"},
		{"unknown command", []string{"sevre"}, ExitUsage, "unknown command"},
		{"help", []string{"--help"}, ExitOK, "serve"},
		{"help of a command", []string{"serve", "--help"}, ExitOK, "peer-listen"},
		{"help of a group", []string{"manifest", "publish", "--help"}, ExitOK, "expected"},
		{"help of the bench", []string{"bench", "--help"}, ExitOK, "scenario"},
		{"unknown flag", []string{"status", "--ulr", "x"}, ExitUsage, "ulr"},
		{"missing address", []string{"status"}, ExitUsage, "RAGWORTSTILE_URL"},
		{"extra argument", []string{"version", "x"}, ExitUsage, "unexpected argument"},
		{"faulty manifest", []string{"manifest", "check", bad}, ExitFailed, "bad.yaml: line 2"},
		{"missing file", []string{"manifest", "check", filepath.Join(dir, "none")}, ExitFailed, "no such file"},
		{"faulty configuration", []string{"config", "check", config}, ExitFailed, "errors: 2"},
		{"connection refused", []string{"status", "--url", "http://127.0.0.1:1"}, ExitFailed, "refused"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			code, _, stderr := runCommand(c.args...)
			must.Eq(t, c.code, code, must.Sprint(stderr))
			must.StrContains(t, stderr, c.text)
		})
	}
}

// Guards against a start that reports only the first wrong setting, or an error that does not name its flag and
// environment variable.
func TestServeReportsAllFindings(t *testing.T) {
	t.Setenv("RAGWORTSTILE_RETENTION", "soon")
	t.Setenv("RAGWORTSTILE_PEER_KEY", "short")
	code, _, stderr := runCommand("serve", "--zone", "z", "--http-listen", "localhost:80", "--peers", "x", "--log-url", "ftp://x")
	must.Eq(t, ExitUsage, code)
	for _, want := range []string{
		"--retention (RAGWORTSTILE_RETENTION)", "--peer-key (RAGWORTSTILE_PEER_KEY)", "--peers (RAGWORTSTILE_PEERS)",
		"instance: name is missing", "http-listen: ", "peer-listen: ", "log-url: ", "list-url: ",
	} {
		must.StrContains(t, stderr, want)
	}
	must.Eq(t, 9, len(strings.Split(strings.TrimSpace(stderr), "\n")), must.Sprint(stderr))
}

// Guards against a version text without the build information that fault reports need.
func TestVersion(t *testing.T) {
	code, stdout, _ := runCommand("version")
	must.Eq(t, ExitOK, code)
	must.StrContains(t, stdout, "ragwortstile")
	must.StrContains(t, stdout, "go1.")
}

// Guards against findings that name a field otherwise than the file, and against keys in the output.
func TestConfigCheck(t *testing.T) {
	name := filepath.Join(t.TempDir(), "config.json")
	must.NoError(t, os.WriteFile(name, []byte(`{"version":2,
		"routes":[{"name":"r","hostname":"h","path_prefix":"/a/","kind":"idempotent","timeout_ms":9,"service":"s"}],
		"services":[{"name":"s","max_connections":9}],
		"limits":{"max_header_bytes":1,"max_body_bytes":1,"header_timeout_ms":1,"idle_timeout_ms":2},
		"tenants":[{"name":"a","api_keys":["secret","secret"]}]}`), 0o600))
	code, stdout, stderr := runCommand("config", "check", name)
	must.Eq(t, ExitFailed, code)
	must.Eq(t, "error: tenants[0].api_keys[1]: listed before, for team \"a\": an ambiguous key belongs to no team\n", stdout)
	must.StrContains(t, stderr, "errors: 1")
	code, stdout, _ = runCommand("config", "check", "--json", "--in-force", name, name)
	must.Eq(t, ExitFailed, code)
	must.StrContains(t, stdout, `"path": "version"`)
	must.StrNotContains(t, stdout, "secret")
}
