package pipeline

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against responses in the wrong order, and against a connection that ends before what has been passed on is answered.
func TestSequence(t *testing.T) {
	sequence := NewSequence(Limits{Requests: 3, HeldBytes: 10})
	var numbers []Number
	for range 3 {
		number, started := sequence.Start()
		require.True(t, started)
		numbers = append(numbers, number)
	}
	_, started := sequence.Start()
	require.False(t, started, "limit of requests")
	require.True(t, sequence.HasTurn(numbers[0]))
	require.False(t, sequence.HasTurn(numbers[1]))
	require.Equal(t, 2, sequence.Behind(numbers[2]))
	require.True(t, sequence.MayHold(numbers[1], 10))
	sequence.Hold(numbers[1], 10)
	require.False(t, sequence.MayHold(numbers[2], 1), "limit of bytes")
	require.True(t, sequence.MayHold(numbers[0], 1000), "the first in order is sent at once")
	sequence.Finish(numbers[1], Answered)
	require.Equal(t, InProgress, sequence.Advance())
	require.False(t, sequence.EndWith(numbers[0]), "others have been passed on")
	require.True(t, sequence.EndWith(numbers[2]))
	_, started = sequence.Start()
	require.False(t, started)
	sequence.Finish(numbers[0], Answered)
	require.Equal(t, Answered, sequence.Advance())
	require.Equal(t, InProgress, sequence.Advance(), "its response has not been sent")
	sequence.Release(numbers[1], 10)
	require.Equal(t, Answered, sequence.Advance())
	sequence.Finish(numbers[2], AnsweredLast)
	require.Equal(t, AnsweredLast, sequence.Advance())
	require.Zero(t, sequence.InProgress())
	require.True(t, sequence.Ended())
}

// modelRequest is a request of the model of a connection.
type modelRequest struct {
	number   Number
	result   Result
	unsent   int
	finished bool
}

// Guards against a sequence of events after which a request is answered twice, out of order or not at all, too much is held, or a
// request is started behind the last of its connection.
func TestSequenceModel(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 0))
		limits := Limits{Requests: 1 + random.IntN(5), HeldBytes: random.IntN(40)}
		sequence := NewSequence(limits)
		var requests []modelRequest
		ended := false
		for range 200 {
			held := 0
			for index, request := range requests {
				require.Equal(t, index, sequence.Behind(request.number), "seed %d", seed)
				require.Equal(t, index == 0, sequence.HasTurn(request.number), "seed %d", seed)
				if index > 0 {
					held += request.unsent
				}
			}
			require.LessOrEqual(t, held, limits.HeldBytes, "seed %d", seed)
			require.Equal(t, len(requests), sequence.InProgress(), "seed %d", seed)
			chosen := -1
			if len(requests) > 0 {
				chosen = random.IntN(len(requests))
			}
			switch random.IntN(6) {
			case 0, 1:
				number, started := sequence.Start()
				require.Equal(t, !ended && len(requests) < limits.Requests, started, "seed %d", seed)
				if started {
					requests = append(requests, modelRequest{number: number})
				}
			case 2:
				count := 1 + random.IntN(8)
				if chosen >= 0 && !requests[chosen].finished && sequence.MayHold(requests[chosen].number, count) {
					sequence.Hold(requests[chosen].number, count)
					requests[chosen].unsent += count
				}
			case 3:
				if chosen >= 0 && !requests[chosen].finished {
					requests[chosen].finished = true
					requests[chosen].result = Answered
					if random.IntN(20) == 0 {
						requests[chosen].result, ended = Aborted, true
					}
					sequence.Finish(requests[chosen].number, requests[chosen].result)
				}
			case 4:
				if len(requests) > 0 {
					sequence.Release(requests[0].number, requests[0].unsent)
					requests[0].unsent = 0
				}
			case 5:
				requests = advanceModel(t, seed, sequence, requests)
			}
			if chosen >= 0 && chosen < len(requests) && random.IntN(60) == 0 {
				last := chosen == len(requests)-1
				require.Equal(t, last, sequence.EndWith(requests[chosen].number), "seed %d", seed)
				ended = ended || last
			}
		}
	}
}

// advanceModel advances the sequence and returns the requests that are still in progress.
func advanceModel(t *testing.T, seed uint64, sequence *Sequence, requests []modelRequest) []modelRequest {
	result := sequence.Advance()
	if len(requests) == 0 || requests[0].unsent > 0 || !requests[0].finished {
		require.Equal(t, InProgress, result, "seed %d", seed)
		return requests
	}
	require.Equal(t, requests[0].result, result, "seed %d", seed)
	if result == Aborted {
		return nil
	}
	return requests[1:]
}
