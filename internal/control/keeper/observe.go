package keeper

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"dunetide/internal/platform/telemetry"
)

// figures are what a keeper tells of itself; the owner sets them at each tick.
var figures = struct{ inContact, config, certificates, table, attached, keepers, endpoints, waiting, voter, diskTrouble *telemetry.Figure }{
	inContact:    telemetry.NewFigure("dunetide_keeper_in_contact"),
	config:       telemetry.NewFigure("dunetide_keeper_config_version"),
	certificates: telemetry.NewFigure("dunetide_keeper_certificates_version"),
	table:        telemetry.NewFigure("dunetide_keeper_table_number"),
	attached:     telemetry.NewFigure("dunetide_keeper_attached_processes"),
	keepers:      telemetry.NewFigure("dunetide_keeper_keepers_connected"),
	endpoints:    telemetry.NewFigure("dunetide_keeper_endpoints"),
	waiting:      telemetry.NewFigure("dunetide_keeper_acknowledgements_waiting"),
	voter:        telemetry.NewFigure("dunetide_keeper_voter"),
	diskTrouble:  telemetry.NewFigure("dunetide_keeper_disk_trouble"),
}

// contactLosses counts how often contact with a majority has ended.
var contactLosses = telemetry.Counter("dunetide_keeper_contact_losses_total")

// setFigures tells the state of this moment.
func (k *Keeper) setFigures(now time.Time) {
	figures.inContact.Set(telemetry.Bool(k.contact.Holds(k.since(now))))
	figures.config.Set(float64(k.config.version))
	figures.certificates.Set(float64(k.certificates.version))
	if k.parts != nil {
		figures.table.Set(float64(k.parts.Number))
	}
	figures.attached.Set(float64(len(k.attached)))
	figures.keepers.Set(float64(len(k.keeperNodes()) - 1))
	figures.endpoints.Set(float64(k.table.Live()))
	figures.waiting.Set(float64(len(k.waiting)))
	figures.voter.Set(telemetry.Bool(k.agree.votes()))
	figures.diskTrouble.Set(telemetry.Bool(k.agree.diskTrouble() != ""))
}

// statusWriter keeps the status of an answer.
type statusWriter struct {
	http.ResponseWriter
	status int
}

// WriteHeader is of http.ResponseWriter.
func (w *statusWriter) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}

// answered counts an answer, and tells of one that the caller may ask about: an order, and a refusal.
func (k *Keeper) answered(c call, name string, w *statusWriter, began time.Time) {
	telemetry.Counter("dunetide_keeper_calls_total", "call", c.method+" "+strings.Trim(c.path, "/"), "status", strconv.Itoa(w.status)).Inc()
	order := c.method != http.MethodGet && !strings.HasPrefix(c.path, "/instances")
	if w.status < http.StatusBadRequest && !order {
		return
	}
	k.callEvents.Event("call answered", func() []any {
		return []any{"method", c.method, "path", c.path + name, "status", w.status, "took", time.Since(began).Round(time.Millisecond),
			"in_contact", k.inContact()}
	})
}

// noteEnd tells of an endpoint that drains or has ended, and whether that was acknowledged.
func (k *Keeper) noteEnd(id string, res registered, status int) {
	if res.waiter == nil {
		return
	}
	k.callEvents.Event("endpoint ends", func() []any {
		return []any{"id", id, "status", status, "majority_knows", res.waiter.quorate, "in_contact", !res.noContact}
	})
}
