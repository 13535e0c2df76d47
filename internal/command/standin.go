package command

import (
	"context"
	"fmt"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"ragwortstile/examples"
	"ragwortstile/internal/logservice"
	"ragwortstile/internal/manifest"
	"ragwortstile/internal/trial"
)

func standinCommand(stdio standardStreams) *ffcli.Command {
	fs := newFlagSet(stdio, "ragwortstile standin")
	file := fs.String("manifest", "", "manifest whose endpoints are served at their addresses; empty: the demo's")
	logAddr := fs.String("log-listen", "127.0.0.1:7001", "address of the log")
	listAddr := fs.String("list-listen", "127.0.0.1:7002", "address of the list")
	weightsAddr := fs.String("weights-listen", "127.0.0.1:7003", "address of the weight store")
	instances := fs.String("instances", "", "instances to list: name/zone/peer address/http address,...")
	return newCommand("standin", "standin [flags]", "Serve stand-ins for the platform and the endpoints of a manifest on loopback, for trials.", fs,
		func(ctx context.Context, args []string) error {
			if err := noArgs(args); err != nil {
				return err
			}
			m, err := standinManifest(*file)
			if err != nil {
				return err
			}
			listed, err := parseInstances(*instances)
			if err != nil {
				return err
			}
			d, err := trial.Start(trial.Settings{Manifest: m, FixedPorts: true, LogAddr: *logAddr, ListAddr: *listAddr, WeightsAddr: *weightsAddr})
			if err != nil {
				return err
			}
			defer d.Close()
			for _, in := range listed {
				d.List.PutInstance(in)
			}
			fmt.Fprintf(stdio.stdout, "log %s\nlist %s\nweights %s\n", d.LogURL(), d.ListURL(), d.WeightsURL())
			for _, ep := range m.Endpoints {
				fmt.Fprintf(stdio.stdout, "endpoint %s %s\n", ep.Name, ep.URL)
			}
			<-ctx.Done()
			return nil
		})
}

func parseInstances(text string) ([]logservice.Instance, error) {
	var out []logservice.Instance
	if text == "" {
		return nil, nil
	}
	for n, part := range strings.Split(text, ",") {
		f := strings.Split(part, "/")
		if len(f) != 4 {
			return nil, usagef("--instances (%s_INSTANCES): entry %d: %q is not name/zone/peer address/http address", envPrefix, n+1, part)
		}
		out = append(out, logservice.Instance{Name: f[0], Zone: f[1], PeerAddr: f[2], HTTPAddr: f[3], State: logservice.StateLive})
	}
	return out, nil
}

func standinManifest(file string) (*manifest.Manifest, error) {
	if file == "" {
		return manifest.Parse(examples.Manifest)
	}
	return readManifest(file)
}
