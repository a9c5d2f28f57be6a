package sitetest

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jaywheel/jaywheel/pkg/jaywheelclient"
	"github.com/jaywheel/jaywheel/pkg/outcome"
	"github.com/jaywheel/jaywheel/pkg/settings"
)

// payment is one payment and what its caller learned of it.
type payment struct {
	key     string
	outcome outcome.Outcome
	err     error
}

// pay sends one payment as a caller does.
func pay(client *jaywheelclient.Client, key string) payment {
	request, err := http.NewRequest(http.MethodPost, "http://book.rodopa.example/payments", bytes.NewReader([]byte("amount=20")))
	if err != nil {
		return payment{key: key, err: err}
	}
	request.Header.Set("Idempotency-Key", key)
	response, err := client.Do("booking", request)
	if err != nil {
		return payment{key: key, err: err}
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return payment{key: key, err: err}
	}
	result, _ := outcome.FromHeader(response.Header)
	return payment{key: key, outcome: result}
}

// While families pay, instances are killed one after another and new ones start, and a backend server dies. No payment
// runs twice; one that its caller was told of as answered ran, and one told of as not run did not. Callers whose
// instance died know that they do not know.
func TestPaymentsUnderKills(t *testing.T) {
	site := startRodopa(t, 4, map[settings.ServiceName]int{"browsing": 1, "booking": 6, "archive": 1})
	seeds := []string{}
	for _, started := range site.Entries() {
		seeds = append(seeds, started.CallerAddress())
	}
	client := jaywheelclient.New(jaywheelclient.Options{Seeds: seeds})
	defer client.Close()
	const callers, each = 8, 60
	kills := map[int64]func(){
		100: site.Entries()[0].Kill,
		200: func() {
			_, err := site.StartEntry("entry-new", "sofia-1")
			require.NoError(t, err)
		},
		250: site.Servers("booking")[0].Close,
		350: site.Entries()[1].Kill,
	}
	var sent atomic.Int64
	var paying sync.WaitGroup
	payments := make(chan payment, callers*each)
	disturb := make(chan func(), len(kills))
	for caller := range callers {
		paying.Go(func() {
			for number := range each {
				if kill := kills[sent.Add(1)]; kill != nil {
					disturb <- kill
				}
				payments <- pay(client, fmt.Sprintf("payment-%d-%d", caller, number))
			}
		})
	}
	for range kills {
		(<-disturb)()
	}
	paying.Wait()
	close(payments)
	counted := map[outcome.Outcome]int{}
	for payment := range payments {
		counted[payment.outcome]++
		checkPayment(t, site, payment)
	}
	require.Greater(t, counted[outcome.Answered], callers*each/2, "%v", counted)
}

func checkPayment(t *testing.T, site *Site, payment payment) {
	runs := 0
	for _, server := range site.Servers("booking") {
		runs += server.RunsOf(payment.key)
	}
	require.LessOrEqual(t, runs, 1, "%s ran twice", payment.key)
	switch {
	case payment.err != nil:
	case payment.outcome == outcome.Answered:
		require.Equal(t, 1, runs, payment.key)
	case payment.outcome == outcome.NotRun:
		require.Zero(t, runs, payment.key)
	}
}
