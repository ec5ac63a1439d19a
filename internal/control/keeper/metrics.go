package keeper

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"dunetide/internal/platform/telemetry"
)

// gauges export the state of the keeper; the owner goroutine sets them at each tick. Their names are part of the public
// interface.
var gauges = struct {
	inContact, config, certificates, table *telemetry.Gauge
	attached, keepers, endpoints, waiters  *telemetry.Gauge
	voter, diskCondition                   *telemetry.Gauge
}{
	inContact:     telemetry.NewGauge("dunetide_keeper_in_contact"),
	config:        telemetry.NewGauge("dunetide_keeper_config_version"),
	certificates:  telemetry.NewGauge("dunetide_keeper_certificates_version"),
	table:         telemetry.NewGauge("dunetide_keeper_table_number"),
	attached:      telemetry.NewGauge("dunetide_keeper_attached_processes"),
	keepers:       telemetry.NewGauge("dunetide_keeper_keepers_connected"),
	endpoints:     telemetry.NewGauge("dunetide_keeper_endpoints"),
	waiters:       telemetry.NewGauge("dunetide_keeper_acknowledgements_waiting"),
	voter:         telemetry.NewGauge("dunetide_keeper_voter"),
	diskCondition: telemetry.NewGauge("dunetide_keeper_disk_trouble"),
}

// contactLosses counts losses of contact with a majority.
var contactLosses = telemetry.Counter("dunetide_keeper_contact_losses_total")

// callsMetric counts the answers to HTTP calls, by call and status.
const callsMetric = "dunetide_keeper_calls_total"

func (k *Keeper) updateGauges(now time.Time) {
	gauges.inContact.Set(telemetry.Bool(k.contact.InContact(k.sinceStart(now))))
	gauges.config.Set(float64(k.config.version))
	gauges.certificates.Set(float64(k.certificates.version))
	if k.partitions != nil {
		gauges.table.Set(float64(k.partitions.Version))
	}
	gauges.attached.Set(float64(len(k.attached)))
	gauges.keepers.Set(float64(len(k.reachableKeepers()) - 1))
	gauges.endpoints.Set(float64(k.endpoints.Live()))
	gauges.waiters.Set(float64(len(k.waiters)))
	gauges.voter.Set(telemetry.Bool(k.registers.votes()))
	gauges.diskCondition.Set(telemetry.Bool(k.registers.diskCondition() != ""))
}

// statusWriter records the status of a response.
type statusWriter struct {
	http.ResponseWriter
	status int
}

// WriteHeader implements http.ResponseWriter.
func (w *statusWriter) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}

// recordAnswer counts an answer, and logs answers to operators' changes and error answers.
func (k *Keeper) recordAnswer(route route, target string, status int, began time.Time) {
	name := route.method + " " + strings.Trim(route.path, "/")
	telemetry.Counter(callsMetric, "call", name, "status", strconv.Itoa(status)).Inc()
	change := route.method != http.MethodGet && !strings.HasPrefix(route.path, "/instances")
	if status < http.StatusBadRequest && !change {
		return
	}
	k.callEvents.Event("HTTP call answered", func() []any {
		return []any{
			"method", route.method,
			"path", route.path + target,
			"status", status,
			"took", time.Since(began).Round(time.Millisecond),
			"in_contact", k.inContact(),
		}
	})
}

// logEndpointEnd logs that an endpoint drains or is removed, and whether that was acknowledged.
func (k *Keeper) logEndpointEnd(id string, result changeResult, status int) {
	if result.waiter == nil {
		return
	}
	k.callEvents.Event("endpoint drain or removal", func() []any {
		return []any{
			"id", id,
			"status", status,
			"majority_knows", result.waiter.enoughAcked,
			"in_contact", !result.noContact,
		}
	})
}
