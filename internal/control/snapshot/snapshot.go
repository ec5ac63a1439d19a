package snapshot

import (
	"dunetide/internal/control/certification"
	"dunetide/internal/control/operatorconfig"
)

// Snapshot is the state of the system as one process knows it. It must not be modified once it is shared.
type Snapshot struct {
	Config    *operatorconfig.Config // nil: not received yet, so no routes are known
	Endpoints map[string][]*Endpoint // by service, without removed ones
	Proxies   int                    // proxies that share the endpoints, this one included; at least 1
	Table     *PartitionTable        // nil: not received yet
	// EndpointsComplete reports that the list of endpoints comes from a keeper that has listened long enough to have
	// received a heartbeat of every endpoint.
	EndpointsComplete bool
	// Certificates determine which endpoints may receive regulated requests; nil: there are none, and no route is
	// regulated.
	Certificates *certification.Set
	// CertificatesKnown reports that a keeper has reported whether there are certificates.
	CertificatesKnown bool
}
