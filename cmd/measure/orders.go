package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/juju/errors"
)

const (
	// changeRequestTimeout is the time after which an operator tries another node.
	changeRequestTimeout = time.Second
	// changeTimeout limits all attempts to send one change.
	changeTimeout = 30 * time.Second
	histogramMax  = int64(time.Minute / time.Microsecond)
)

// operator sends configuration changes to one control node, and moves to the next node
// after a failure, a 5xx response or a timeout of one second.
type operator struct {
	addresses []string
	client    *http.Client
	next      int
}

func newOperator(addresses []string) *operator {
	return &operator{addresses, &http.Client{Timeout: changeRequestTimeout}, rand.IntN(len(addresses))}
}

// send retries a change until it is acknowledged and returns the number of attempts.
func (o *operator) send(change string) (attempts int, err error) {
	deadline := time.Now().Add(changeTimeout)
	for attempts = 1; time.Now().Before(deadline); attempts++ {
		address := o.addresses[o.next%len(o.addresses)]
		response, err := o.client.Post("http://"+address+"/v1/config/modify", "application/json", strings.NewReader(change))
		if err != nil {
			o.next++
			continue
		}
		text, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		switch {
		case response.StatusCode == http.StatusOK:
			return attempts, nil
		case response.StatusCode < http.StatusInternalServerError:
			return attempts, errors.Errorf("%s answered %d: %s", address, response.StatusCode, text)
		}
		o.next++
		time.Sleep(5 * time.Millisecond)
	}
	return attempts, errors.Timeoutf("configuration change")
}

// printChangeLatencies sends changes from several concurrent operators and prints the
// quantiles of the time to acknowledgement.
func printChangeLatencies(addresses []string, count, operators int) error {
	histogram, lock := hdrhistogram.New(1, histogramMax, 3), sync.Mutex{}
	var all sync.WaitGroup
	var sent, retried atomic.Int64
	failed := make(chan error, operators)
	began := time.Now()
	revision := began.UnixMilli()
	for index := range operators {
		all.Go(func() {
			o := newOperator(addresses)
			for sent.Add(1) <= int64(count) {
				revision := revision + sent.Load()
				change := fmt.Sprintf(`{"Upsert":{"VirtualHosts":[{"Hostname":"orders.example","PathTable":[{"Name":"orders-%d","PathPrefix":"/orders/%d/","RouteType":"safe","Timeout":"1s","Service":"lessons","Revision":"r%d"}]}]}}`, index, index, revision)
				start := time.Now()
				attempts, err := o.send(change)
				if err != nil {
					failed <- err
					return
				}
				retried.Add(int64(attempts - 1))
				lock.Lock()
				_ = histogram.RecordValue(max(1, time.Since(start).Microseconds()))
				lock.Unlock()
			}
		})
	}
	all.Wait()
	close(failed)
	fmt.Printf("%d changes acknowledged in %v by %d operators, %d sent again; p50 %.1f ms, p99 %.1f ms, max %.1f ms\n", histogram.TotalCount(),
		time.Since(began).Round(time.Millisecond), operators, retried.Load(), milliseconds(histogram, 50), milliseconds(histogram, 99), milliseconds(histogram, 100))
	return errors.Annotate(<-failed, "configuration change")
}

func milliseconds(histogram *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(histogram.ValueAtPercentile(percentile)) / 1000
}
