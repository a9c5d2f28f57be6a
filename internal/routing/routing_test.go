package routing

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/internal/metrics"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

func TestRoute(t *testing.T) {
	class := func(paths ...string) settings.Class { return settings.Class{Methods: []string{"GET"}, Paths: paths} }
	table := NewTable(Options{
		Site: &settings.Site{Tenant: "rodopa"}, Registry: metrics.NewRegistry(),
		Services: []*Service{
			{Name: "all", Settings: &settings.Service{Hosts: []string{"a.example", "b.example"}, PathPrefix: "/", Classes: map[settings.ClassName]settings.Class{
				"any": class("/"), "pay": class("/pay"), "deep": class("/pay/deep/"),
			}}},
			{Name: "part", Settings: &settings.Service{Hosts: []string{"a.example"}, PathPrefix: "/part", Classes: map[settings.ClassName]settings.Class{
				"only": class("/part/x"),
			}}},
		},
	})
	cases := []struct{ host, method, path, want string }{
		{"a.example", "GET", "/", "all/any"},
		{"A.Example.:8080", "GET", "/pay", "all/pay"},
		{"a.example", "GET", "/pay/", "all/pay"},
		{"a.example", "GET", "/payments", "all/any"},
		{"a.example", "GET", "/pay/deep/er", "all/deep"},
		{"a.example", "GET", "/part/x/y", "part/only"},
		{"b.example", "GET", "/part/x", "all/any"},
		{"a.example", "GET", "/part", ErrNoClass.Error()},
		{"a.example", "PUT", "/", ErrNoClass.Error()},
		{"c.example", "GET", "/", ErrNoService.Error()},
		{"", "GET", "/", ErrNoService.Error()},
	}
	for _, testCase := range cases {
		route, err := table.Route(testCase.host, testCase.method, testCase.path)
		got := fmt.Sprint(err)
		if err == nil {
			got = string(route.Service.Name) + "/" + string(route.Class.Name)
		}
		require.Equal(t, testCase.want, got, "%v", testCase)
	}
}

func instances(count int) []Instance {
	var all []Instance
	for number := range count {
		all = append(all, Instance{
			Name:       settings.InstanceName(fmt.Sprintf("entry-%d", number)),
			DataCentre: settings.DataCentreName(fmt.Sprintf("dc-%d", number%3)),
		})
	}
	return all
}

// Every instance works the choice out by itself; it must not depend on the order of its list, spread over data centres,
// and move few services when one instance goes.
func TestServingInstances(t *testing.T) {
	all := instances(15)
	reversed := make([]Instance, len(all))
	for index, entry := range all {
		reversed[len(all)-1-index] = entry
	}
	served := map[settings.InstanceName]int{}
	moved := 0
	const services = 420
	for number := range services {
		name := settings.ServiceName(fmt.Sprintf("service-%d", number))
		chosen := ServingInstances(name, all, 3)
		require.Equal(t, chosen, ServingInstances(name, reversed, 3))
		dataCentres := map[settings.DataCentreName]bool{}
		for _, entry := range chosen {
			served[entry.Name]++
			dataCentres[entry.DataCentre] = true
		}
		require.Len(t, dataCentres, 3)
		for _, entry := range ServingInstances(name, all[1:], 3) {
			if entry != chosen[0] && entry != chosen[1] && entry != chosen[2] {
				moved++
			}
		}
	}
	for name, count := range served {
		require.InDelta(t, services*3/15, count, 40, name)
	}
	require.Equal(t, served["entry-0"], moved, "only what the lost instance served moves")
	require.Len(t, ServingInstances("a", all[:2], 3), 2)
	require.Empty(t, ServingInstances("a", nil, 3))
}

// However few targets there are, each serving instance owns its even share of them.
func TestOwnersAreEven(t *testing.T) {
	for count := range 40 {
		var targets []settings.TargetName
		for number := range count {
			targets = append(targets, settings.TargetName(fmt.Sprintf("target-%d", number)))
		}
		owned := map[settings.InstanceName]int{}
		owners := Owners(targets, instances(3))
		require.Len(t, owners, count)
		for _, owner := range owners {
			owned[owner]++
		}
		for _, entry := range instances(3) {
			require.GreaterOrEqual(t, owned[entry.Name], count/3)
			require.LessOrEqual(t, owned[entry.Name], (count+2)/3)
		}
	}
	require.Empty(t, Owners([]settings.TargetName{"a"}, nil))
}
