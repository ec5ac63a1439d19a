package node

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"time"

	"dunetide/internal/deliverynode/fleet"
	"dunetide/internal/deliverynode/journal"
	"dunetide/internal/deliverynode/wire"
	"dunetide/policy"
)

// Config is the configuration of a delivery node.
type Config struct {
	Name      string
	Listen    string
	Discovery string
	State     string
	Seed      uint64
	Cores     float64
	MemoryMB  int
	Sockets   int
	DiskBytes int64
	PeerBind  string // empty where delivery nodes do not send each other notes
	Peers     []netip.AddrPort
	PeersAll  string
	Me        int
	Console   string // address of the operators' console; empty for none
	AcceptFD  int    // descriptor of the clients' listening socket, if the platform passes it; else 0
	Path      string // of the configuration file
	Known     list   // the last list of endpoints that this node had
	Settings  policy.Settings
	Names     names
	IdleClose time.Duration
	Sync      bool        // accepted messages survive a power loss
	Members   int         // maximum number of processes that form this node; 0 for a single process without a group
	Fleet     *fleet.File // the nodes of the fleet; nil for none
	Copies    int         // number of other nodes that keep copies of this node's log; 0 for none
	// CopyWait is how long a client's message, or a message that may not be repeated and is about to be sent, waits for
	// its copies before it is refused. Clients should wait for longer. DefaultCopyWait if 0.
	CopyWait time.Duration
	Warm     bool          // connections are opened ahead, based on recent demand
	AskEvery time.Duration // a node that has not asked discovery for this long counts as informed; 0 if not specified
}

// names maps the names in the settings to the module's numbers.
type names struct {
	classes, kinds, zones map[string]int
}

func index(list []string) map[string]int {
	m := make(map[string]int, len(list))
	for i, s := range list {
		m[s] = i
	}
	return m
}

// configFile is the format of the configuration file.
type configFile struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Console   string `json:"console"`
	Discovery string `json:"discovery"`
	Seed      string `json:"seed"`
	Limits    struct {
		Cores    float64 `json:"cores"`
		MemoryMB int     `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
		DiskMB   float64 `json:"disk_mb"`
	} `json:"limits"`
	PeerListen string          `json:"peer_listen"`
	Peers      []string        `json:"peers"`
	PeersAll   string          `json:"peers_all"`
	Known      list            `json:"known"`
	Settings   json.RawMessage `json:"settings"`
}

// settingNames is the part of the settings that only a real node needs.
type settingNames struct {
	Me      int `json:"Me"`
	Classes []struct {
		Name string `json:"Name"`
	} `json:"Classes"`
	MachineTypes   []string `json:"MachineTypes"`
	FailureDomains []string `json:"FailureDomains"`
	PolicyLimits   struct {
		IdleCloseUs int64 `json:"IdleCloseUs"`
	} `json:"PolicyLimits"`
	Obligations struct {
		AskEveryUs int64 `json:"AskEveryUs"`
	} `json:"Obligations"`
}

// LoadConfig reads the file that PROXY_CONFIG names. The platform's other variables take precedence over the file, except
// for the address of discovery: the platform changes it with a new file.
func LoadConfig(env func(string) string) (Config, error) {
	path := env("PROXY_CONFIG")
	if path == "" {
		return Config{}, errors.New("PROXY_CONFIG is not set")
	}
	f, err := readConfig(path)
	if err != nil {
		return Config{}, err
	}
	if f.Discovery == "" {
		f.Discovery = env("PROXY_DISCOVERY")
	}
	c := Config{
		Path: path, Name: f.Name, Listen: f.Listen, Console: f.Console, Discovery: f.Discovery, State: env("PROXY_STATE"),
		Cores: f.Limits.Cores, MemoryMB: f.Limits.MemoryMB, Sockets: f.Limits.Sockets,
		DiskBytes: int64(f.Limits.DiskMB * 1e6), PeerBind: f.PeerListen, PeersAll: f.PeersAll, Known: f.Known,
	}
	if err := c.readEnvironment(env); err != nil {
		return Config{}, err
	}
	if c.DiskBytes < journal.MinDisk {
		return Config{}, fmt.Errorf("limits.disk_mb is %v, less than a journal needs", f.Limits.DiskMB)
	}
	if f.Seed != "" {
		if c.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
			return Config{}, fmt.Errorf("seed: %w", err)
		}
	}
	for _, p := range f.Peers {
		a, err := netip.ParseAddrPort(p)
		if err != nil {
			return Config{}, fmt.Errorf("peers: %w", err)
		}
		c.Peers = append(c.Peers, a)
	}
	if err := c.readSettings(f.Settings); err != nil {
		return Config{}, err
	}
	return c, nil
}

// readEnvironment applies the variables of the platform, and checks the addresses and the state folder.
func (c *Config) readEnvironment(env func(string) string) (err error) {
	for name, field := range map[string]*string{
		"PROXY_NAME": &c.Name, "PROXY_LISTEN": &c.Listen, "PROXY_CONSOLE": &c.Console} {
		if value := env(name); value != "" {
			*field = value
		}
	}
	addresses := map[string]string{"PROXY_LISTEN": c.Listen, "PROXY_DISCOVERY": c.Discovery}
	if c.Console != "" {
		addresses["PROXY_CONSOLE"] = c.Console
	}
	for name, value := range addresses {
		if _, err := netip.ParseAddrPort(value); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	if value := env("PROXY_ACCEPT_FD"); value != "" {
		if c.AcceptFD, err = strconv.Atoi(value); err != nil || c.AcceptFD < 3 {
			return fmt.Errorf("PROXY_ACCEPT_FD: %q is not an inheritable descriptor", value)
		}
	}
	if c.State == "" {
		return errors.New("PROXY_STATE is not set")
	}
	return nil
}

// defaultIdleClose is how long a connection may be idle if the settings do not specify it.
const defaultIdleClose = 15 * time.Second

// readSettings decodes the settings, with those that only a real node needs.
func (c *Config) readSettings(text json.RawMessage) error {
	var err error
	if c.Settings, err = wire.DecodeSettings(text); err != nil {
		return err
	}
	var n settingNames
	if err := json.Unmarshal(text, &n); err != nil {
		return fmt.Errorf("unreadable settings: %w", err)
	}
	classes := make([]string, len(n.Classes))
	for i, class := range n.Classes {
		if class.Name == "" {
			return fmt.Errorf("unreadable settings: class %d has no name", i)
		}
		classes[i] = class.Name
	}
	c.Me = n.Me
	c.Names = names{classes: index(classes), kinds: index(n.MachineTypes), zones: index(n.FailureDomains)}
	c.IdleClose = time.Duration(n.PolicyLimits.IdleCloseUs) * time.Microsecond
	c.AskEvery = time.Duration(n.Obligations.AskEveryUs) * time.Microsecond
	if c.IdleClose <= 0 {
		c.IdleClose = defaultIdleClose
	}
	return nil
}

func readConfig(path string) (configFile, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return configFile{}, fmt.Errorf("reading the configuration: %w", err)
	}
	var f configFile
	if err := json.Unmarshal(text, &f); err != nil {
		return configFile{}, fmt.Errorf("reading the configuration %s: %w", path, err)
	}
	return f, nil
}

// reloadDiscovery reads the address of discovery from a configuration file that may have been replaced.
func reloadDiscovery(path string) (string, error) {
	f, err := readConfig(path)
	if err != nil {
		return "", err
	}
	if _, err := netip.ParseAddrPort(f.Discovery); err != nil {
		return "", fmt.Errorf("reading the configuration %s: discovery: %w", path, err)
	}
	return f.Discovery, nil
}
