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

// payment is one payment and its outcome as the caller sees it.
type payment struct {
	key     string
	outcome outcome.Outcome
	err     error
}

// pay sends one payment like a caller.
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

// Instances are killed one after another, a new one starts and a backend server stops while callers send payments. No payment
// may run twice. A payment with the outcome answered must have run, one with the outcome not run must not. If the instance was
// killed, the outcome is unknown.
func TestPaymentsUnderKills(t *testing.T) {
	site := startRodopa(t, 4, map[settings.ServiceName]int{"browsing": 1, "booking": 6, "archive": 1})
	seeds := []string{}
	for _, entry := range site.Entries() {
		seeds = append(seeds, entry.CallerAddress())
	}
	client := jaywheelclient.New(jaywheelclient.Options{Seeds: seeds})
	defer client.Close()
	const callers, paymentsPerCaller = 8, 60
	disruptions := map[int64]func(){
		100: site.Entries()[0].Kill,
		200: func() {
			_, err := site.StartEntry("entry-new", "sofia-1")
			require.NoError(t, err)
		},
		250: site.Servers("booking")[0].Close,
		350: site.Entries()[1].Kill,
	}
	var sentCount atomic.Int64
	var callerGroup sync.WaitGroup
	payments := make(chan payment, callers*paymentsPerCaller)
	dueDisruptions := make(chan func(), len(disruptions))
	for caller := range callers {
		callerGroup.Go(func() {
			for number := range paymentsPerCaller {
				if disruption := disruptions[sentCount.Add(1)]; disruption != nil {
					dueDisruptions <- disruption
				}
				payments <- pay(client, fmt.Sprintf("payment-%d-%d", caller, number))
			}
		})
	}
	for range disruptions {
		(<-dueDisruptions)()
	}
	callerGroup.Wait()
	close(payments)
	counts := map[outcome.Outcome]int{}
	for payment := range payments {
		counts[payment.outcome]++
		checkPayment(t, site, payment)
	}
	require.Greater(t, counts[outcome.Answered], callers*paymentsPerCaller/2, "%v", counts)
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
