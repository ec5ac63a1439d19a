package keeper

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"dunetide/internal/control/operatorconfig"
	"dunetide/internal/control/snapshot"
)

// maxListedTenants bounds one answer of GET /tenants. Callers read on with "after".
const maxListedTenants = 256

// tenantList is the answer of GET /tenants: the tenants of the newest configuration that this keeper knows, in the
// order of their names, and where each one's requests are counted by the newest partition table that it knows. The keys
// are part of the public interface.
type tenantList struct {
	Node          string         `json:"node"`
	InContact     bool           `json:"in_contact"` // false: others may know a newer configuration and table
	ConfigVersion uint64         `json:"config_version"`
	TableNumber   uint64         `json:"table_number"`
	Total         int            `json:"total"` // of the configuration
	Tenants       []tenantStatus `json:"tenants"`
}

// tenantStatus has no API keys, only their number.
type tenantStatus struct {
	Name          string         `json:"name"`
	Keys          int            `json:"keys"`
	Priority      int            `json:"priority"`
	RatePerSecond float64        `json:"rate_per_s"` // 0: no limit, so nobody counts
	Burst         float64        `json:"burst"`
	Counting      *countingStore `json:"counted_by,omitempty"` // none before the first partition table
}

// countingStore tells which store counts the requests of a tenant.
type countingStore struct {
	Partition  int      `json:"part"`
	Epoch      uint64   `json:"epoch"`
	Owner      string   `json:"owner"`
	Successors []string `json:"successors"`
	// OwnerSeconds is for how long the owner has been that, as far as this keeper has seen: at most since its start.
	OwnerSeconds int `json:"owner_for_s"`
	// OwnerChanges is the number of changes of the owner that this keeper has seen in ownerChangePeriod.
	OwnerChanges int `json:"owner_changes_10m"`
}

// getTenants answers GET /tenants. With the parameter "name" the answer has that tenant alone, with "after" those that
// follow a name.
func (k *Keeper) getTenants(w http.ResponseWriter, _ string, _ []byte, r *http.Request) {
	view, ok := query(k, func() tenantView { return k.tenantView(time.Now()) })
	if !ok {
		refuse(w, http.StatusServiceUnavailable, errShuttingDown.Error())
		return
	}
	if view.configVersion == 0 {
		refuse(w, http.StatusServiceUnavailable, "this keeper knows no configuration yet: ask again, or another keeper")
		return
	}
	config, err := operatorconfig.Parse(view.rawConfig)
	if err != nil { // only valid ones are put
		refuse(w, http.StatusInternalServerError, err.Error())
		return
	}
	parameters := r.URL.Query()
	tenants := selectTenants(config, parameters.Get("name"), parameters.Get("after"))
	if name := parameters.Get("name"); name != "" && len(tenants) == 0 {
		refuse(w, http.StatusNotFound, fmt.Sprintf("configuration %d has no tenant %q", view.configVersion, name))
		return
	}
	b, err := json.MarshalIndent(view.list(len(config.Tenants), tenants), "", "  ")
	if err != nil { // can't happen: all fields always marshal
		refuse(w, http.StatusInternalServerError, err.Error())
		return
	}
	answerJSON(w, append(b, '\n'))
}

// selectTenants returns the tenant of a name, or, without one, those after another name in the order of their names, as
// many as one answer may have.
func selectTenants(config *operatorconfig.Config, name, after string) []operatorconfig.Tenant {
	if name != "" {
		if tenant := config.Tenant(name); tenant != nil {
			return []operatorconfig.Tenant{*tenant}
		}
		return nil
	}
	tenants := slices.DeleteFunc(slices.Clone(config.Tenants), func(t operatorconfig.Tenant) bool { return t.Name <= after })
	slices.SortFunc(tenants, func(a, b operatorconfig.Tenant) int { return cmp.Compare(a.Name, b.Name) })
	return tenants[:min(len(tenants), maxListedTenants)]
}

// tenantView is what the owner goroutine knows for a tenantList. Its values are not modified later.
type tenantView struct {
	now           time.Time
	node          string
	inContact     bool
	configVersion uint64
	rawConfig     []byte
	table         *snapshot.PartitionTable // nil: none yet
	owners        []ownerHistory           // by partition
}

func (k *Keeper) tenantView(now time.Time) tenantView {
	return tenantView{
		now:           now,
		node:          k.self.Name,
		inContact:     k.inContact(),
		configVersion: k.config.version,
		rawConfig:     k.config.raw,
		table:         k.partitions,
		owners:        slices.Clone(k.partitionOwners),
	}
}

// list returns the answer for some tenants of a configuration.
func (v *tenantView) list(total int, tenants []operatorconfig.Tenant) tenantList {
	list := tenantList{
		Node:          v.node,
		InContact:     v.inContact,
		ConfigVersion: v.configVersion,
		Total:         total,
		Tenants:       []tenantStatus{},
	}
	if v.table != nil {
		list.TableNumber = v.table.Version
	}
	for i := range tenants {
		tenant := &tenants[i]
		list.Tenants = append(list.Tenants, tenantStatus{
			Name:          tenant.Name,
			Keys:          len(tenant.Keys),
			Priority:      tenant.Priority,
			RatePerSecond: tenant.RatePerSecond,
			Burst:         tenant.Burst,
			Counting:      v.countingStore(tenant),
		})
	}
	return list
}

// countingStore returns where the requests of a tenant are counted; nil if there is no limit or no table yet.
func (v *tenantView) countingStore(tenant *operatorconfig.Tenant) *countingStore {
	index := v.table.PartitionOf(snapshot.RateKey(tenant.Name))
	if index < 0 || !tenant.Limited() {
		return nil
	}
	row := &v.table.Partitions[index]
	counting := &countingStore{
		Partition:  index,
		Epoch:      row.Epoch,
		Owner:      v.table.Stores[row.Primary].Name,
		Successors: []string{},
	}
	for _, id := range row.Replicas {
		if id != row.Primary {
			counting.Successors = append(counting.Successors, v.table.Stores[id].Name)
		}
	}
	if index < len(v.owners) {
		counting.OwnerSeconds = int(v.now.Sub(v.owners[index].since).Seconds())
		counting.OwnerChanges = v.owners[index].changesSince(v.now.Add(-ownerChangePeriod))
	}
	return counting
}
