package main

import (
	"fmt"
	"os"
	"runtime/debug"

	"dunetide/internal/control/operatorconfig"
	"dunetide/internal/platform/settings"
)

type checkCmd struct {
	Settings     checkSettingsCmd     `cmd:"" help:"Check the settings file of a process."`
	Config       checkConfigCmd       `cmd:"" help:"Check a configuration as an operator would send it."`
	Certificates checkCertificatesCmd `cmd:"" help:"Check a document of certificates."`
}

type checkSettingsCmd struct {
	File string `arg:"" help:"The settings file." type:"path"`
}

func (k checkSettingsCmd) Run() error {
	s, err := settings.Read(k.File)
	if err != nil {
		return errUsage.Wrap(err)
	}
	fmt.Printf("%s: sound: node_name=%s role=%s serves=%v\n", k.File, s.NodeName, s.Role, s.Serves)
	return nil
}

type checkConfigCmd struct {
	File string `arg:"" help:"The configuration, as JSON." type:"path"`
}

func (k checkConfigCmd) Run() error {
	b, err := os.ReadFile(k.File)
	if err != nil {
		return errUsage.Wrap(err)
	}
	c, err := operatorconfig.Parse(b)
	if err != nil {
		return errUsage.Wrap(err)
	}
	fmt.Printf("%s: sound: version=%d routes=%d services=%d\n", k.File, c.Version, len(c.Routes), len(c.Services))
	return nil
}

type checkCertificatesCmd struct {
	File string `arg:"" help:"The certificates, as JSON." type:"path"`
}

func (k checkCertificatesCmd) Run() error {
	s, _, err := readCertificates(k.File)
	if err != nil {
		return err
	}
	fmt.Printf("%s: sound: version=%d regulated_routes=%d certificates=%d\n", k.File, s.Version, len(s.Routes), len(s.Certificates))
	return nil
}

type versionCmd struct{}

func (versionCmd) Run() error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		fmt.Println("dunetide: built without version information")
		return nil
	}
	revision := "unknown"
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			revision = s.Value
		}
	}
	fmt.Printf("dunetide revision=%s go=%s\n", revision, info.GoVersion)
	return nil
}
