package wire

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"dunetide/policy"
)

// config is the part of the settings that the decision module uses. Other keys are ignored.
type config struct {
	NInstances   *int          `json:"NInstances"`
	Classes      []classConfig `json:"Classes"`
	MachineTypes []string      `json:"MachineTypes"`
	Extra        struct {
		BundleMax   []int     `json:"BundleMax"`
		RoutesApart []bool    `json:"RoutesApart"`
		FeeByZone   []float64 `json:"FeeByZone"`
		Late        string    `json:"Late"`
		MaxCalls    int       `json:"MaxCalls"`
	} `json:"Extra"`
	PolicyLimits struct {
		MaxAttempts      int   `json:"MaxAttempts"`
		MaxOpen          int   `json:"MaxOpen"`
		MaxRetryAfterUs  int64 `json:"MaxRetryAfterUs"`
		ConnectTimeoutUs int64 `json:"ConnectTimeoutUs"`
		RetryAfter       bool  `json:"RetryAfter"`
		MayTell          bool  `json:"MayTell"`
	} `json:"PolicyLimits"`
	Obligations struct {
		DrainGraceUs int64   `json:"DrainGraceUs"`
		WarmUpUs     int64   `json:"WarmUpUs"`
		FallUs       int64   `json:"FallUs"`
		TurnGapUs    int64   `json:"TurnGapUs"`
		ColdFrom     float64 `json:"ColdFrom"`
		FallMultiple float64 `json:"FallMultiple"`
	} `json:"Obligations"`
	Report struct {
		Fields []string `json:"Fields"`
	} `json:"Report"`
	TickUs       int64  `json:"TickUs"`
	WeightSource string `json:"WeightSource"`
	Discovery    string `json:"Discovery"`
}

// classConfig is the settings of one class of messages.
type classConfig struct {
	AimUs       int64   `json:"AimUs"`
	DeadlineUs  int64   `json:"DeadlineUs"`
	WindowUs    int64   `json:"WindowUs"`
	Group       string  `json:"Group"`
	Idempotency string  `json:"Idempotency"`
	Sequential  bool    `json:"Sequential"`
	Worth       float64 `json:"Worth"`
	LateWorth   float64 `json:"LateWorth"`
}

// us converts microseconds to a duration.
func us(v int64) time.Duration { return time.Duration(v) * time.Microsecond }

// DecodeSettings decodes the settings of an instance.
func DecodeSettings(text []byte) (policy.Settings, error) {
	var c config
	if err := json.Unmarshal(text, &c); err != nil {
		return policy.Settings{}, fmt.Errorf("unreadable settings: %w", err)
	}
	if c.NInstances == nil || len(c.Classes) == 0 {
		return policy.Settings{}, errors.New("unreadable settings: NInstances or Classes is missing")
	}
	s := policy.Settings{
		Senders: *c.NInstances, ZoneFee: c.Extra.FeeByZone,
		MayTell: c.PolicyLimits.MayTell, Reported: c.Report.Fields,
		Slots: c.Extra.MaxCalls, MaxHeld: c.PolicyLimits.MaxOpen, MaxAttempts: c.PolicyLimits.MaxAttempts,
		MaxWait: us(c.PolicyLimits.MaxRetryAfterUs), AdviseWait: c.PolicyLimits.RetryAfter,
		Tick: us(c.TickUs), ConnectTimeout: us(c.PolicyLimits.ConnectTimeoutUs),
		DrainGrace: us(c.Obligations.DrainGraceUs), ColdShare: c.Obligations.ColdFrom,
		WarmUp: us(c.Obligations.WarmUpUs), FallMultiple: c.Obligations.FallMultiple,
		FallWindow: us(c.Obligations.FallUs), TurnGap: us(c.Obligations.TurnGapUs),
	}
	switch c.Extra.Late {
	case "even", "":
	case "by_half":
		s.HalvesLate = true
	default:
		return policy.Settings{}, fmt.Errorf("unreadable settings: Extra.Late is %q", c.Extra.Late)
	}
	switch c.Discovery {
	case "automatic", "":
	case "subscribe":
		s.MustSubscribe = true
	default:
		return policy.Settings{}, fmt.Errorf("unreadable settings: Discovery is %q", c.Discovery)
	}
	switch c.WeightSource {
	case "silent", "":
	case "nominal":
		s.Listing = policy.RateNominal
	case "rough":
		s.Listing = policy.RateRough
	default:
		return policy.Settings{}, fmt.Errorf("unreadable settings: WeightSource is %q", c.WeightSource)
	}
	for i, k := range c.Classes {
		class, ok := k.class()
		if !ok {
			return policy.Settings{}, fmt.Errorf("unreadable settings: Idempotency of class %d is %q", i, k.Idempotency)
		}
		s.Classes = append(s.Classes, class)
	}
	for i := range c.MachineTypes {
		kind := policy.Kind{BundleMax: 1}
		if i < len(c.Extra.BundleMax) {
			kind.BundleMax = max(1, c.Extra.BundleMax[i])
		}
		if i < len(c.Extra.RoutesApart) {
			kind.RoutesApart = c.Extra.RoutesApart[i]
		}
		s.Kinds = append(s.Kinds, kind)
	}
	return s, nil
}

// class returns the class in the form that the decision module uses, and false if its idempotency is unknown.
func (k classConfig) class() (class policy.Class, ok bool) {
	class = policy.Class{
		Window:    us(k.WindowUs),
		Ordered:   k.Sequential,
		Aim:       us(k.AimUs),
		Deadline:  us(k.DeadlineUs),
		Worth:     k.Worth,
		LateWorth: k.LateWorth,
		GroupAll:  k.Group == "all",
		GroupZone: k.Group == "zone",
	}
	switch k.Idempotency {
	case "idempotent":
		class.Repeat = policy.Idempotent
	case "deduplicated":
		class.Repeat = policy.Deduplicated
	case "at_most_once":
		class.Repeat = policy.AtMostOnce
	default:
		return class, false
	}
	return class, true
}
