// Package settings reads and validates the settings file of a process: the values
// supplied by the platform and the tuning parameters of ploverhitch itself.
package settings

import (
	"os"
	"strings"
	"time"

	validation "github.com/go-ozzo/ozzo-validation/v4"
	"github.com/go-ozzo/ozzo-validation/v4/is"
	"github.com/juju/errors"
	"gopkg.in/yaml.v3"

	"ploverhitch/internal/bounded"
	"ploverhitch/internal/clock"
)

// PathVariable is the environment variable that holds the path of the settings file.
const PathVariable = "PLOVERHITCH_BOOT"

// Settings is the content of a process's settings file.
type Settings struct {
	Platform Platform `yaml:"platform"`
	Tuning   Tuning   `yaml:"tuning"`
}

// Platform holds the values supplied by the platform, under the platform's own key
// names.
type Platform struct {
	NodeName string `yaml:"NodeName"`
	IP       string `yaml:"Ip"`
	Zone     string `yaml:"Zone"`
	// Zones maps each zone to its region.
	Zones          map[string]string `yaml:"Zones"`
	Bind           Bind              `yaml:"Bind"`
	InternalPorts  []int             `yaml:"InternalPorts"`
	SeedNodes      []string          `yaml:"SeedNodes"`
	Bootstrap      bool              `yaml:"Bootstrap"`
	Limits         Limits            `yaml:"Limits"`
	DataDir        string            `yaml:"DataDir"`
	FaultTolerance FaultTolerance    `yaml:"FaultTolerance"`
	Bounds         Bounds            `yaml:"Bounds"`
	CloudAPI       CloudAPI          `yaml:"CloudApi"`
}

// Bind holds the listen addresses of the process.
type Bind struct {
	ClientHTTP   string `yaml:"ClientHttp"`
	Readiness    string `yaml:"Readiness"`
	ControlPlane string `yaml:"ControlPlane"`
}

// Limits holds the resource limits of the process.
type Limits struct {
	MemoryMB bounded.Count `yaml:"MemoryMb"`
	DiskMB   bounded.Count `yaml:"DiskMb"`
	LinkMbps float64       `yaml:"LinkMbps"`
}

// FaultTolerance is the number of simultaneous failures to tolerate.
type FaultTolerance struct {
	Machines bounded.Count `yaml:"Machines"`
}

// Bounds holds the limits that the platform's rules set.
type Bounds struct {
	Contact          clock.Duration `yaml:"Contact"`
	Sync             clock.Duration `yaml:"Sync"`
	Grace            clock.Duration `yaml:"Grace"`
	RetryBudgetRatio float64        `yaml:"RetryBudgetRatio"`
	RetryWindow      clock.Duration `yaml:"RetryWindow"`
	RetrySlack       bounded.Count  `yaml:"RetrySlack"`
	KeyWindow        clock.Duration `yaml:"KeyWindow"`
	Ack              clock.Duration `yaml:"Ack"`
	// CanaryShare is set where versions are rolled out on an operator's order; a
	// version without such an order then receives no traffic.
	CanaryShare float64 `yaml:"CanaryShare"`
}

// CloudAPI locates the platform's instance list and limits the request rate to it.
type CloudAPI struct {
	Address  string  `yaml:"Address"`
	RatePerS float64 `yaml:"RatePerS"`
}

// Tuning holds the parameters of ploverhitch itself.
type Tuning struct {
	VoteTimeout       clock.Duration `yaml:"vote_span"`
	RecordTimeout     clock.Duration `yaml:"record_wait"`
	Retention         clock.Duration `yaml:"retention"`
	OpenIntentLimit   bounded.Count  `yaml:"open_limit"`
	BufferBytes       bounded.Count  `yaml:"buffer_bytes"`
	HeartbeatInterval clock.Duration `yaml:"beat"`
	SilenceTimeout    clock.Duration `yaml:"silent_after"`
	ReplaceAfter      clock.Duration `yaml:"replace_after"`
	PollInterval      clock.Duration `yaml:"poll"`
	LogLevel          string         `yaml:"log_level"`
	// CrossZoneDelayPerKB is the added delay that is acceptable to save one kilobyte
	// of traffic between zones.
	CrossZoneDelayPerKB clock.Duration `yaml:"crossing_per_kb"`
	// CapacityLeases says when requests go to other sites only under capacity leases:
	// never, when the local site is down, or always.
	CapacityLeases string `yaml:"branchline"`
	// SubsetSize is the number of servers of a service that one proxy uses.
	SubsetSize bounded.Count `yaml:"working_set"`
	// SharedCutoff says whether nodes shed requests by the cutoff that all of them
	// agree on: off or on.
	SharedCutoff string `yaml:"loadgauge"`
	// Loopback is the IPv4 address at which a machine's proxy reaches its agent.
	Loopback string `yaml:"loopback"`
}

// Values of Tuning.SharedCutoff: whether the nodes agree on an overload cutoff and
// shed requests by it.
const (
	SharedCutoffOff = "off"
	SharedCutoffOn  = "on"
)

// Values of Tuning.CapacityLeases: when requests go to other sites only under
// capacity leases.
const (
	CapacityLeasesOff      = "off"
	CapacityLeasesSiteDown = "fallen"
	CapacityLeasesAlways   = "always"
)

// Read reads and validates the settings file at path.
func Read(path string) (*Settings, error) {
	if path == "" {
		return nil, errors.NotValidf("settings: no file path given (set %s or --settings)", PathVariable)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Annotate(err, "settings")
	}
	return Parse(text)
}

// Parse parses and validates the text of a settings file. Unknown fields are
// ignored. The error names each invalid field.
func Parse(text []byte) (*Settings, error) {
	set := &Settings{Tuning: Defaults()}
	set.Tuning.Retention = retentionNotSet
	if err := yaml.Unmarshal(text, set); err != nil {
		return nil, errors.NewNotValid(nil, "settings: "+strings.ReplaceAll(err.Error(), "\n", " "))
	}
	if set.Tuning.Retention == retentionNotSet {
		set.Tuning.Retention = max(defaultRetention, set.Platform.Bounds.KeyWindow)
	}
	if err := set.validate(); err != nil {
		return nil, errors.NewNotValid(nil, "settings: "+err.Error())
	}
	return set, nil
}

const (
	// defaultRetention is the retention where the file sets none, unless the key window is
	// longer.
	defaultRetention = clock.Duration(24 * time.Hour)
	// retentionNotSet is no duration that a file can contain.
	retentionNotSet = clock.Duration(-1)
)

// Defaults returns the tuning parameters that apply where the file sets none.
func Defaults() Tuning {
	const ms = clock.Duration(1_000_000)
	return Tuning{
		VoteTimeout: 250 * ms, RecordTimeout: 250 * ms, Retention: defaultRetention,
		OpenIntentLimit: 4096, BufferBytes: 1 << 20, HeartbeatInterval: 300 * ms, SilenceTimeout: 1200 * ms,
		ReplaceAfter: 2500 * ms, PollInterval: 400 * ms, LogLevel: "warn", CapacityLeases: CapacityLeasesOff, SharedCutoff: SharedCutoffOff, CrossZoneDelayPerKB: 10 * ms, SubsetSize: 24, Loopback: "127.0.0.1",
	}
}

func (s *Settings) validate() error {
	p, t := &s.Platform, &s.Tuning
	const ms = clock.Duration(1_000_000)
	atLeast := func(minimum clock.Duration) validation.Rule { return validation.Min(int64(minimum)) }
	failures := validation.Errors{}
	for name, duration := range map[string]clock.Duration{
		"tuning.vote_span": t.VoteTimeout, "tuning.record_wait": t.RecordTimeout, "tuning.beat": t.HeartbeatInterval,
		"tuning.silent_after": t.SilenceTimeout, "tuning.replace_after": t.ReplaceAfter, "tuning.poll": t.PollInterval,
	} {
		failures[name] = validation.Validate(int64(duration), validation.Required, atLeast(10*ms))
	}
	for name, err := range (validation.Errors{
		"platform.NodeName":                validation.Validate(p.NodeName, validation.Required),
		"platform.Ip":                      validation.Validate(p.IP, validation.Required),
		"platform.SeedNodes":               validation.Validate(p.SeedNodes, validation.Required),
		"platform.InternalPorts":           validation.Validate(p.InternalPorts, validation.Length(2, 2)),
		"platform.Limits.MemoryMb":         validation.Validate(p.Limits.MemoryMB, validation.Min(0)),
		"platform.Limits.LinkMbps":         validation.Validate(p.Limits.LinkMbps, validation.Min(0.0)),
		"platform.Bounds.RetryBudgetRatio": validation.Validate(p.Bounds.RetryBudgetRatio, validation.Min(0.0)),
		"platform.Bounds.CanaryShare":      validation.Validate(p.Bounds.CanaryShare, validation.Min(0.0), validation.Max(1.0)),
		"platform.Bounds.KeyWindow":        validation.Validate(int64(p.Bounds.KeyWindow), validation.Required),
		"tuning.retention":                 validation.Validate(int64(t.Retention), atLeast(p.Bounds.KeyWindow)),
		"tuning.silent_after":              validation.Validate(int64(t.SilenceTimeout), atLeast(2*t.HeartbeatInterval)),
		"tuning.open_limit":                validation.Validate(t.OpenIntentLimit, validation.Min(1)),
		"tuning.buffer_bytes":              validation.Validate(t.BufferBytes, validation.Min(4096)),
		"tuning.working_set":               validation.Validate(t.SubsetSize, validation.Min(4)),
		"tuning.branchline":                validation.Validate(t.CapacityLeases, validation.In(CapacityLeasesOff, CapacityLeasesSiteDown, CapacityLeasesAlways)),
		"tuning.loadgauge":                 validation.Validate(t.SharedCutoff, validation.In(SharedCutoffOff, SharedCutoffOn)),
		"tuning.loopback":                  validation.Validate(t.Loopback, validation.Required, is.IPv4),
		"tuning.log_level":                 validation.Validate(t.LogLevel, validation.In("debug", "info", "warn", "error")),
	}) {
		if err != nil {
			failures[name] = err
		}
	}
	return failures.Filter()
}

// InternalAddress returns the address of the internal protocol on the machine of
// host: the machine's address with the first internal port plus index. A port in
// host is ignored.
//
// Example:
//
//	address := set.InternalAddress("10.1.0.42:8382", 0) // "10.1.0.42:7200"
func (s *Settings) InternalAddress(host string, index int) string {
	host, _, _ = strings.Cut(host, ":")
	return host + ":" + itoa(s.Platform.InternalPorts[0]+index)
}
