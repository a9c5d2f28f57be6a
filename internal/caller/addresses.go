package caller

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/outcome"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// Address is one instance that a caller may use.
type Address struct {
	Instance   settings.InstanceName   `json:"instance"`
	Address    string                  `json:"address"`
	DataCentre settings.DataCentreName `json:"dataCentre"`
}

// Addresses is the response that lists the instances that a caller may use for a service.
type Addresses struct {
	Service   settings.ServiceName `json:"service"`
	Addresses []Address            `json:"addresses"`
	// TTL is how long the addresses may be cached.
	TTL clock.Milliseconds `json:"keep"`
	// Revision is the revision of the site's settings that the addresses come from.
	Revision settings.Revision `json:"revision"`
}

// addressesError is the response if there are no addresses to return.
type addressesError struct {
	Error string `json:"error"`
}

// serveAddresses handles GET AddressesPath?service=NAME.
func (handler *Handler) serveAddresses(writer http.ResponseWriter, request *http.Request) {
	if request.Method != http.MethodGet {
		writer.Header().Set("Allow", http.MethodGet)
		handler.respondAddressesError(writer, http.StatusMethodNotAllowed, "only GET is supported")
		return
	}
	table := handler.options.Table()
	if table == nil {
		handler.respondAddressesError(writer, http.StatusServiceUnavailable, "no settings yet")
		return
	}
	name := settings.ServiceName(request.URL.Query().Get("service"))
	service, known := table.Service(name)
	if !known {
		handler.respondAddressesError(writer, http.StatusNotFound, "unknown service "+strconv.Quote(string(name)))
		return
	}
	addresses := Addresses{Service: name, TTL: table.Site.Fleet.AddressTTL, Revision: table.Site.Revision, Addresses: []Address{}}
	for _, instance := range service.Serving {
		addresses.Addresses = append(addresses.Addresses, Address{Instance: instance.Name, Address: instance.Address, DataCentre: instance.DataCentre})
	}
	if len(addresses.Addresses) == 0 {
		handler.respondAddressesError(writer, http.StatusServiceUnavailable, "no instance serves "+strconv.Quote(string(name)))
		return
	}
	writeJSON(writer, http.StatusOK, addresses)
}

func (handler *Handler) respondAddressesError(writer http.ResponseWriter, status int, text string) {
	handler.options.Registry.Events.Add("refused.addresses", 1)
	writer.Header().Set(outcome.HeaderOutcome, string(outcome.NotRun))
	if status == http.StatusServiceUnavailable {
		writer.Header().Set("Retry-After", "1")
	}
	writeJSON(writer, status, addressesError{Error: text})
}

func writeJSON(writer http.ResponseWriter, status int, value any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	// An error is ignored: the caller has disconnected.
	_ = json.NewEncoder(writer).Encode(value)
}
