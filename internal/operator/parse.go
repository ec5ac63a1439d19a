package operator

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
)

// Parse thin, until the reader of paths lands.
func Parse(raw []byte) (*Config, error) {
	var w struct {
		Version uint64
		Routes  []struct {
			Name      string
			Host      string
			PathStart string `json:"path_start"`
			Kind      string
			TimeoutMs int `json:"timeout_ms"`
			TargetMs  int `json:"target_ms"`
			GapAimMs  int `json:"gap_aim_ms"`
			Priority  int
			Tries     int
			Service   string
			Shares    []struct {
				Service string
				Weight  float64
			}
			Sticky    bool
			Resume    bool
			DueMs     int     `json:"due_ms"`
			MaxWaitS  float64 `json:"max_wait_s"`
			MaxQueued int64   `json:"max_queued"`
		}
		Services []struct {
			Name       string
			HealthPath string `json:"health_path"`
			MaxConns   int    `json:"max_conns"`
			Engine     *struct {
				Capacity    int
				CacheTokens int64 `json:"cache_tokens"`
				Stride      int
				Models      []struct{ Name string }
			}
		}
		Limits struct {
			MaxHeaderBytes int   `json:"max_header_bytes"`
			MaxBodyBytes   int64 `json:"max_body_bytes"`
			HeaderWaitMs   int   `json:"header_wait_ms"`
			IdleMs         int   `json:"idle_ms"`
		}
	}
	d := json.NewDecoder(bytes.NewReader(raw))
	if err := d.Decode(&w); err != nil {
		return nil, err
	}
	if _, err := d.Token(); err != io.EOF {
		return nil, fmt.Errorf("trailing bytes")
	}
	c := &Config{Version: w.Version, Services: map[string]*Service{}, Raw: raw, Limits: Limits(w.Limits)}
	if w.Version == 0 {
		return nil, fmt.Errorf("version: must be above 0")
	}
	for _, s := range w.Services {
		svc := &Service{Name: s.Name, HealthPath: s.HealthPath, MaxConns: s.MaxConns}
		if s.Engine != nil {
			svc.Engine = &Engine{Capacity: s.Engine.Capacity, CacheTokens: s.Engine.CacheTokens, Stride: s.Engine.Stride}
			for _, m := range s.Engine.Models {
				svc.Engine.Models = append(svc.Engine.Models, m.Name)
			}
		}
		c.Services[s.Name] = svc
	}
	kinds := map[string]Kind{"read_only": ReadOnly, "writes": Writes, "streaming": Streaming, "bulk": Bulk}
	seen := map[string]bool{}
	for i, r := range w.Routes {
		k, ok := kinds[r.Kind]
		if !ok || r.TimeoutMs <= 0 || !strings.HasPrefix(r.PathStart, "/") || !strings.HasSuffix(r.PathStart, "/") {
			return nil, fmt.Errorf("routes[%d]: kind, timeout_ms or path_start", i)
		}
		key := strings.ToLower(r.Host) + "\x00" + r.PathStart
		if seen[key] {
			return nil, fmt.Errorf("routes[%d]: same place", i)
		}
		seen[key] = true
		route := Route{Name: r.Name, Host: strings.ToLower(r.Host), PathStart: r.PathStart, Kind: k, TimeoutMs: r.TimeoutMs, TargetMs: r.TargetMs,
			GapAimMs: r.GapAimMs, Priority: r.Priority, Tries: max(r.Tries, 1), Sticky: r.Sticky, Resume: r.Resume, DueMs: r.DueMs,
			MaxWaitMs: int(r.MaxWaitS * 1000), MaxQueued: r.MaxQueued}
		if r.Service != "" {
			route.Shares = append(route.Shares, Share{r.Service, 1})
		}
		sum := 0.0
		for _, s := range r.Shares {
			route.Shares = append(route.Shares, Share{s.Service, s.Weight})
		}
		for _, s := range route.Shares {
			sum += s.Weight
			if c.Services[s.Service] == nil {
				return nil, fmt.Errorf("routes[%d]: unknown service", i)
			}
		}
		if sum <= 0 {
			return nil, fmt.Errorf("routes[%d]: weights", i)
		}
		c.Routes = append(c.Routes, route)
	}
	return c, nil
}

func (c *Config) Match(host, path string) *Route {
	host, _, _ = strings.Cut(strings.ToLower(host), ":")
	var best *Route
	for i := range c.Routes {
		r := &c.Routes[i]
		if r.Host == host && strings.HasPrefix(path, r.PathStart) && (best == nil || len(r.PathStart) > len(best.PathStart)) {
			best = r
		}
	}
	return best
}
