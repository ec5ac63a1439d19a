package quota

import "dunetide/internal/platform/telemetry"

// Metrics of a store that counts. None is by tenant, so that their number is fixed.
var (
	tokensGranted     = telemetry.Counter("dunetide_store_quota_granted_total")
	tokensRefused     = telemetry.Counter("dunetide_store_quota_refused_total")
	refundsReceived   = telemetry.Counter("dunetide_store_quota_refunded_total")
	demandsUnanswered = telemetry.Counter("dunetide_store_quota_not_owner_total")
	accountsHeld      = telemetry.NewGauge("dunetide_store_quota_tenants")

	floorWaits   = telemetry.Counter("dunetide_store_quota_floor_waits_total")   // demands that a floor held up
	statesShared = telemetry.Counter("dunetide_store_quota_states_shared_total") // with successors
)
