package snapshot

import (
	"dunetide/internal/control/certification"
	"dunetide/internal/control/operatorconfig"
)

// Snapshot is the state of the system as one process knows it. It must not be changed once it is shared.
type Snapshot struct {
	Config    *operatorconfig.Config // nil: none is known, so nothing is known about routes
	Endpoints map[string][]*Endpoint // by service, without removed ones
	Proxies   int                    // proxies that share the endpoints, this one included; at least 1
	Table     *PartitionTable        // nil: unknown
	// EndpointsComplete reports that the endpoints come from a keeper that has listened for a whole round of heartbeats.
	EndpointsComplete bool
	// Certificates say which endpoints may have regulated work; nil: there are none, and no work is regulated.
	Certificates *certification.Set
	// CertificatesKnown reports that a keeper has said whether there are certificates.
	CertificatesKnown bool
}
