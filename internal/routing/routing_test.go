package routing

import (
	"fmt"
	"hash/fnv"
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

// instances returns the given number of instances, distributed over three data centres.
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

// Every instance computes the choice on its own. It must not depend on the order of the list, must be distributed over the data
// centres, and must move few services when one instance leaves.
func TestServingInstances(t *testing.T) {
	all := instances(15)
	reversed := make([]Instance, len(all))
	for index, instance := range all {
		reversed[len(all)-1-index] = instance
	}
	served := map[settings.InstanceName]int{}
	moved := 0
	const services = 420
	for number := range services {
		name := settings.ServiceName(fmt.Sprintf("service-%d", number))
		chosen := ServingInstances(name, all, 3)
		require.Equal(t, chosen, ServingInstances(name, reversed, 3))
		dataCentres := map[settings.DataCentreName]bool{}
		for _, instance := range chosen {
			served[instance.Name]++
			dataCentres[instance.DataCentre] = true
		}
		require.Len(t, dataCentres, 3)
		for _, instance := range ServingInstances(name, all[1:], 3) {
			if instance != chosen[0] && instance != chosen[1] && instance != chosen[2] {
				moved++
			}
		}
	}
	for name, count := range served {
		require.InDelta(t, services*3/15, count, 40, name)
	}
	require.Equal(t, served["entry-0"], moved, "only the services of the lost instance move")
	require.Len(t, ServingInstances("a", all[:2], 3), 2)
	require.Empty(t, ServingInstances("a", nil, 3))
}

// Each serving instance owns an even share of the targets, however few there are.
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
		for _, instance := range instances(3) {
			require.GreaterOrEqual(t, owned[instance.Name], count/3)
			require.LessOrEqual(t, owned[instance.Name], (count+2)/3)
		}
	}
	require.Empty(t, Owners([]settings.TargetName{"a"}, nil))
}

// Guards against instances of two versions that assign the same server to different owners during an update of the fleet.
func TestRendezvousScoreIsFNV(t *testing.T) {
	for _, names := range [][2]string{{"target-1", "entry-001"}, {"", "entry"}, {"i-6637b96826", ""}} {
		hash := fnv.New64a()
		_, err := hash.Write([]byte(names[0] + "\x00" + names[1]))
		require.NoError(t, err)
		require.Equal(t, finalize(hash.Sum64()), rendezvousScore(names[0], names[1]))
	}
}
