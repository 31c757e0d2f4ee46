package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"
)

// latencies are response times in ascending order.
type latencies []time.Duration

// quantile returns the latency below which this fraction of the responses lies.
func (l latencies) quantile(fraction float64) time.Duration {
	return l[min(len(l)-1, int(fraction*float64(len(l))))].Round(time.Microsecond)
}

// sender sends requests to one address over keep-alive connections.
type sender struct {
	address string
	client  *http.Client
}

func newSender(address string) *sender {
	dialer := net.Dialer{Timeout: time.Second}
	dial := func(ctx context.Context, _, _ string) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp4", address)
	}
	return &sender{address, &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DialContext: dial, DisableCompression: true}}}
}

// send sends one request and returns the time until the whole response was read.
func (s *sender) send(method, path, id, key string) (time.Duration, error) {
	request, err := http.NewRequest(method, "http://h.example"+path, strings.NewReader(""))
	if err != nil {
		return 0, errors.Trace(err)
	}
	request.Header.Set("Ploverhitch-Attempt-Id", id)
	if key != "" {
		request.Header.Set("Ploverhitch-Operation-Key", key)
	}
	began := time.Now()
	response, err := s.client.Do(request)
	if err != nil {
		return 0, errors.Trace(err)
	}
	defer response.Body.Close()
	if _, err = io.Copy(io.Discard, response.Body); err != nil {
		return 0, errors.Trace(err)
	}
	if response.StatusCode != http.StatusOK {
		return 0, errors.Errorf("%s answered %d", s.address, response.StatusCode)
	}
	return time.Since(began), nil
}

// printAddedLatency sends requests alternately to a proxy and to a server, and prints the
// latency that the proxy adds.
func printAddedLatency(through, direct string, count int) error {
	senders := []*sender{newSender(through), newSender(direct)}
	for _, operation := range []struct{ name, method, path, key string }{{"reads", "GET", "/read/a", ""}, {"keyed operations", "POST", "/fee/a", "k"}} {
		latenciesByAddress := map[string]latencies{}
		for number := range count {
			for _, target := range senders {
				id, key := fmt.Sprint("d", time.Now().UnixNano()), ""
				if operation.key != "" {
					key = id
				}
				took, err := target.send(operation.method, operation.path, id, key)
				if err != nil {
					return err
				}
				if number > count/10 {
					latenciesByAddress[target.address] = append(latenciesByAddress[target.address], took)
				}
			}
		}
		for _, took := range latenciesByAddress {
			slices.Sort(took)
		}
		proxy, server := latenciesByAddress[through], latenciesByAddress[direct]
		fmt.Printf("%s, one at a time, %d each way: through the proxy p50 %v p99 %v; direct p50 %v p99 %v; added p50 %v p99 %v\n", operation.name, len(proxy),
			proxy.quantile(0.5), proxy.quantile(0.99), server.quantile(0.5), server.quantile(0.99), proxy.quantile(0.5)-server.quantile(0.5), proxy.quantile(0.99)-server.quantile(0.99))
	}
	return nil
}
