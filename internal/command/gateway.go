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
	// logQueueLines is the capacity of the queue before the log output. It holds about one second of lines of a busy
	// instance.
	logQueueLines = 4096
	// memoryLimitShare is the fraction of the instance's memory that is set as the soft memory limit of the Go
	// runtime. The rest is for data that has arrived and is not read yet, and for stacks.
	memoryLimitShare = 0.6
	// gcPercent is below the default of 100 to keep the heap close to the live data, since memory is billed by its
	// peak.
	gcPercent   = 50
	nonceBytes  = 4
	metricsPort = 9464
)

// gatewayOptions are the flags of the command. The settings of the instance come from the platform's settings file.
type gatewayOptions struct {
	settings      string
	logLevel      string
	metrics       int
	peerKey       string
	peerAdvertise string
	spreadLoad    bool
}

func gatewayCommand(stdio standardStreams) *ffcli.Command {
	fs := newFlagSet(stdio, "ragwortstile gateway")
	var o gatewayOptions
	fs.StringVar(&o.settings, "settings", "/etc/ragwortstile/node.yaml", "path of the platform's settings file")
	fs.StringVar(&o.logLevel, "log-level", "info", "least level of log lines: debug, info, warning or error")
	fs.IntVar(&o.metrics, "metrics-port", metricsPort, "port of the metrics")
	fs.StringVar(&o.peerKey, "peer-key", "", "pre-shared key of the instances; by default derived from the store's address")
	fs.StringVar(&o.peerAdvertise, "peer-advertise", "", "address and port at which peers reach this instance, if another one than it listens at")
	fs.BoolVar(&o.spreadLoad, "spread-load", false, "with 8 peers or more, spread the choice of endpoints instead of always taking the least cost")
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
			return runGateway(ctx, stdio, o)
		},
	}
}

func runGateway(ctx context.Context, stdio standardStreams, o gatewayOptions) error {
	hup := make(chan os.Signal, 1)
	// SIGHUP is handled from the start to the end of the process, because an unhandled one ends it.
	signal.Notify(hup, syscall.SIGHUP)
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
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(settings.MemoryBytes)))
	out := telemetry.NewBoundedWriter(stdio.stdout, logQueueLines)
	defer out.Close()
	log := telemetry.NewLogger(out, level)
	store := platform.NewStore(settings.StoreAddr)
	defer store.Close()
	g, err := gateway.New(settings, platform.Protocol{}, platform.Topics(), store, log, nonce())
	if err != nil {
		return &runError{err}
	}
	go recheckSettings(hup, o.settings, log)
	if err := g.Run(ctx); err != nil {
		log.WithField("reason", err.Error()).Error("instance stopped with an error")
		return &runError{err}
	}
	return nil
}

// apply adds the flags of the command to the platform's settings. The key of the instances is a hash of the
// peer-key flag, or of the store's address if the flag is empty.
func (o gatewayOptions) apply(s *gateway.Settings) error {
	host, _, err := net.SplitHostPort(s.MetricsAddr)
	if err != nil {
		return usagef("metrics address: %w", err)
	}
	s.SpreadLoad = o.spreadLoad
	s.MetricsAddr = net.JoinHostPort(host, strconv.Itoa(o.metrics))
	if o.peerAdvertise != "" {
		if _, _, err := net.SplitHostPort(o.peerAdvertise); err != nil {
			return usagef("peer-advertise: %w", err)
		}
		s.PeerAdvertise = o.peerAdvertise
	}
	key := o.peerKey
	if key == "" {
		key = s.StoreAddr
	}
	sum := sha256.Sum256([]byte("ragwortstile peers " + key))
	s.PeerKey = sum[:]
	return nil
}

// recheckSettings validates the settings file on each SIGHUP, also while the instance stops, and logs the result.
// Changed addresses and limits take effect at the next start.
func recheckSettings(hup <-chan os.Signal, path string, log logrus.FieldLogger) {
	for range hup {
		if _, err := platform.LoadSettings(path); err != nil {
			log.WithField("reason", err.Error()).Error("settings file is invalid; keeping the settings read at startup")
			continue
		}
		log.Info("settings file is valid; changes take effect at the next start")
	}
}

func nonce() string {
	var b [nonceBytes]byte
	// Read of crypto/rand returns no error on the supported systems.
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
