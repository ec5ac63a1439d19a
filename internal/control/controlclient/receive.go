package controlclient

import (
	"dunetide/internal/control/certification"
	"dunetide/internal/control/operatorconfig"
	"dunetide/internal/platform/link"
)

// Message implements link.Handler: it puts an update in force and then acknowledges it. If the update can't be decoded,
// it closes the link. If its configuration or certificates can't be parsed, the previous ones stay in force and the
// update is acknowledged.
func (c *Client) Message(m *link.Message) {
	if m.Kind != KindUpdate {
		m.Fail("no such call here: both sides must run the same version")
		return
	}
	u, err := ReadUpdate(m.Body)
	if err != nil {
		c.options.Log.Error("decoding an update failed, closing the link to the keeper", "err", err)
		m.Conn.Close()
		return
	}
	var config *operatorconfig.Config
	if u.Config != nil {
		c.parsing.Lock()
		defer c.parsing.Unlock()
		config = c.parseNewerConfig(u)
	}
	var certificates *certification.Set
	if u.Certificates != nil {
		var usable bool
		if certificates, usable = c.parseCertificates(u); !usable {
			m.Conn.Close()
			return
		}
	}
	c.apply(m.Conn, u, config, certificates)
	if certificates != nil {
		c.wakeConfirmLoop()
	}
	var ack link.Writer
	ack.U64(u.Sequence)
	_ = m.Conn.Send(KindAck, ack.Buf) // it fails if the link has ended; the keeper pushes everything on the next one
}

// Closed implements link.Handler: it removes the keeper's source. If its list of endpoints was complete, the list stays
// in force until another keeper has a complete one.
func (c *Client) Closed(conn *link.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.sources[conn]
	if s == nil {
		return
	}
	delete(c.sources, conn)
	if s.synced && s.endpointsComplete {
		c.lastSource = s
	}
	c.inheritNewerEntries(s)
	c.rebuild(true)
}

// inheritNewerEntries copies the newer heartbeats of a closed source to the other sources, so that no endpoint reverts
// to an older heartbeat.
func (c *Client) inheritNewerEntries(closed *source) {
	for _, other := range c.sources {
		for id, e := range other.entries {
			if known, found := closed.entries[id]; found && known.CallCount > e.CallCount {
				other.entries[id] = known
			}
		}
	}
}

// parseNewerConfig parses the configuration of an update. It returns nil if the configuration is not newer than the one
// in force or can't be parsed.
func (c *Client) parseNewerConfig(u *Update) *operatorconfig.Config {
	if c.configVersion() >= u.ConfigVersion {
		return nil
	}
	config, err := c.parseConfig(u.Config)
	if err != nil {
		c.options.Log.Error("parsing the pushed configuration failed, the previous one stays in force", "version", u.ConfigVersion, "err", err)
		return nil
	}
	return config
}

// configVersion returns the version of the configuration in force, 0 if there is none.
func (c *Client) configVersion() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.config == nil {
		return 0
	}
	return c.config.Version
}

// parseCertificates parses the certificates of an update. If they can't be parsed, those in force stay, but no longer
// count as confirmed. It returns usable false if there are none in force either: this process then doesn't know which
// routes are regulated, and must not apply the update.
func (c *Client) parseCertificates(u *Update) (certificates *certification.Set, usable bool) {
	certificates, err := certification.Parse(u.Certificates)
	if err == nil {
		return certificates, true
	}
	c.options.Log.Error("parsing the pushed certificates failed", "version", u.CertificatesVersion, "err", err)
	return nil, c.clearConfirmation(u.CertificatesVersion)
}

// apply puts an update in force.
func (c *Client) apply(conn *link.Conn, u *Update, config *operatorconfig.Config, certificates *certification.Set) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := sourceOf(conn, u.InContact)
	s.setInContact(u.InContact)
	c.applyConfig(config)
	c.applyTable(u)
	if u.Proxies > 0 {
		c.proxies = u.Proxies
	}
	if u.Keepers != nil {
		c.setKeepers(u.Keepers)
	}
	endpointsChanged := c.applyEndpoints(s, u)
	c.certificatesKnown = c.certificatesKnown || u.InContact
	c.applyCertificates(certificates)
	c.rebuild(endpointsChanged)
}
