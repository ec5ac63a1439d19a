package main

import (
	"fmt"
	"os"

	"dunetide/internal/control/operatorconfig"
	"dunetide/internal/platform/settings"
)

// checkCmd checks files offline. Its commands print one line, or exit with status 2 and an error
// that names the location.
type checkCmd struct {
	Settings     checkSettingsCmd     `cmd:"" help:"Check the settings file of a process."`
	Config       checkConfigCmd       `cmd:"" help:"Check a configuration as an operator would send it."`
	Certificates checkCertificatesCmd `cmd:"" help:"Check a document of certificates."`
}

// checkSettingsCmd checks the settings file of a process.
type checkSettingsCmd struct {
	File string `arg:"" help:"The settings file." type:"path"`
}

// Run implements the command.
func (k checkSettingsCmd) Run() error {
	s, err := settings.Read(k.File)
	if err != nil {
		return errUsage.Wrap(err)
	}
	fmt.Printf("%s: sound: node_name=%s role=%s serves=%v\n", k.File, s.NodeName, s.Role, s.Serves)
	return nil
}

// checkConfigCmd checks an operator's configuration.
type checkConfigCmd struct {
	File string `arg:"" help:"The configuration, as JSON." type:"path"`
}

// Run implements the command.
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

// checkCertificatesCmd checks a document of certificates.
type checkCertificatesCmd struct {
	File string `arg:"" help:"The certificates, as JSON." type:"path"`
}

// Run implements the command.
func (k checkCertificatesCmd) Run() error {
	s, _, err := readCertificates(k.File)
	if err != nil {
		return err
	}
	fmt.Printf("%s: sound: version=%d regulated_routes=%d certificates=%d\n",
		k.File, s.Version, len(s.Routes), len(s.Certificates))
	return nil
}
