package command

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strconv"
	"syscall"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/sirupsen/logrus"

	"ragwortstile/internal/gateway"
	"ragwortstile/internal/telemetry"
	"ragwortstile/platform"
)

const (
	// logQueue is about a second of lines of a busy instance.
	logQueue = 4096
	// heapShare is the part of the instance's memory that the runtime aims to stay below; the rest is for
	// what has arrived and is not read yet, and for stacks.
	heapShare = 0.6
	// gcPercent keeps the heap close to what is in use, since memory is paid for at its peak.
	gcPercent   = 50
	nonceBytes  = 4
	metricsPort = 9464
)

// gatewayOptions are the settings of the command itself; the instance's come from the platform.
type gatewayOptions struct {
	settings string
	logLevel string
	metrics  int
	peerKey  string
	visible  string
}

func gatewayCommand(env environment) *ffcli.Command {
	fs := newFlagSet(env, "ragwortstile gateway")
	var o gatewayOptions
	fs.StringVar(&o.settings, "settings", "/etc/ragwortstile/node.yaml", "path of the platform's settings file")
	fs.StringVar(&o.logLevel, "log-level", "info", "least level of log lines: debug, info, warning or error")
	fs.IntVar(&o.metrics, "metrics-port", metricsPort, "port of the metrics")
	fs.StringVar(&o.peerKey, "peer-key", "", "pre-shared key of the instances; by default derived from the store's address")
	fs.StringVar(&o.visible, "peer-advertise", "", "address and port at which peers reach this instance, if another one than it listens at")
	return &ffcli.Command{
		Name:       "gateway",
		ShortUsage: "ragwortstile gateway [flags]",
		ShortHelp:  "Serve the callers of the users' platform.",
		FlagSet:    fs,
		Options:    []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 {
				return usagef("gateway takes no arguments")
			}
			return runGateway(ctx, env, o)
		},
	}
}

func runGateway(ctx context.Context, env environment, o gatewayOptions) error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP) // from the first moment to the last: by default it ends the process
	level, err := logrus.ParseLevel(o.logLevel)
	if err != nil {
		return usagef("log-level: %w", err)
	}
	settings, err := platform.LoadSettings(o.settings)
	if err != nil {
		return usagef("%w", err)
	}
	if err := o.apply(&settings); err != nil {
		return err
	}
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(heapShare * float64(settings.MemoryBytes)))
	out := telemetry.NewBoundedWriter(env.stdout, logQueue)
	defer out.Close()
	log := telemetry.NewLogger(out, level)
	store := platform.NewStore(settings.StoreAddr)
	defer store.Close()
	g, err := gateway.New(settings, platform.Protocol{}, platform.Topics(), store, log, nonce())
	if err != nil {
		return &runError{err}
	}
	go reload(hup, o.settings, log)
	if err := g.Run(ctx); err != nil {
		log.WithField("reason", err.Error()).Error("instance ended")
		return &runError{err}
	}
	return nil
}

// apply adds the command's own settings to the platform's.
func (o gatewayOptions) apply(s *gateway.Settings) error {
	host, _, err := net.SplitHostPort(s.MetricsAddr)
	if err != nil {
		return usagef("metrics address: %w", err)
	}
	s.MetricsAddr = net.JoinHostPort(host, strconv.Itoa(o.metrics))
	if o.visible != "" {
		if _, _, err := net.SplitHostPort(o.visible); err != nil {
			return usagef("peer-advertise: %w", err)
		}
		s.PeerAdvertise = o.visible
	}
	key := o.peerKey
	if key == "" {
		key = s.StoreAddr
	}
	sum := sha256.Sum256([]byte("ragwortstile peers " + key))
	s.PeerKey = sum[:]
	return nil
}

// reload checks the settings file again on each SIGHUP, also while the instance stops. Addresses and limits
// hold until the next start; the process says what it found.
func reload(hup <-chan os.Signal, path string, log logrus.FieldLogger) {
	for range hup {
		if _, err := platform.LoadSettings(path); err != nil {
			log.WithField("reason", err.Error()).Error("settings file refused, the settings of the start stay")
			continue
		}
		log.Info("settings file read again, it takes effect at the next start")
	}
}

func nonce() string {
	var b [nonceBytes]byte
	// crypto/rand does not fail on the systems that are supported.
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
