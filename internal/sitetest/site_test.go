package sitetest

import (
	"context"
	"io"
	"net/http"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/pkg/clock"
	"github.com/jaywheel/jaywheel/pkg/jaywheelclient"
	"github.com/jaywheel/jaywheel/pkg/outcome"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

func TestWholePath(t *testing.T) {
	loaded, err := settings.LoadSite("../../examples/rodopa.base.json", "../../examples/rodopa.sofia.json")
	require.NoError(t, err)
	site, err := Start(Options{
		Site: WithShortIntervals(loaded.Site, 100*clock.Millisecond), Instances: 3,
		Targets: map[settings.ServiceName]int{"browsing": 4, "booking": 3, "archive": 2},
		Log:     zerolog.New(zerolog.NewTestWriter(t)), Seed: 1,
	})
	require.NoError(t, err)
	defer site.Close()
	require.NoError(t, site.WaitWarm(context.Background()))
	client := jaywheelclient.New(jaywheelclient.Options{Seeds: []string{site.Entries()[0].CallerAddress()}})
	defer client.Close()
	for range 100 {
		request, err := http.NewRequest(http.MethodGet, "http://slots.rodopa.example/slots", http.NoBody)
		require.NoError(t, err)
		response, err := client.Do("browsing", request)
		require.NoError(t, err)
		text, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		response.Body.Close()
		require.Equal(t, http.StatusOK, response.StatusCode, "%v %s", response.Header, text)
		result, _ := outcome.FromHeader(response.Header)
		require.Equal(t, outcome.Answered, result)
		require.Len(t, text, 32)
	}
}
