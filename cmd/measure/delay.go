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

// delays are how long replies took, in order.
type delays []time.Duration

// at is the delay under which so large a part of them stayed.
func (d delays) at(part float64) time.Duration {
	return d[min(len(d)-1, int(part*float64(len(d))))].Round(time.Microsecond)
}

// sender makes inquiries at one address, over connections that it keeps.
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

// ask makes one inquiry and returns how long its reply took.
func (s *sender) ask(method, path, id, key string) (time.Duration, error) {
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

// addedDelay asks a proxy and a server by turns, and prints what the proxy adds.
func addedDelay(through, direct string, count int) error {
	senders := []*sender{newSender(through), newSender(direct)}
	for _, one := range []struct{ what, method, path, key string }{{"reads", "GET", "/read/a", ""}, {"keyed operations", "POST", "/fee/a", "k"}} {
		sides := map[string]delays{}
		for number := range count {
			for _, side := range senders {
				id, key := fmt.Sprint("d", time.Now().UnixNano()), ""
				if one.key != "" {
					key = id
				}
				took, err := side.ask(one.method, one.path, id, key)
				if err != nil {
					return err
				}
				if number > count/10 {
					sides[side.address] = append(sides[side.address], took)
				}
			}
		}
		for _, took := range sides {
			slices.Sort(took)
		}
		proxy, server := sides[through], sides[direct]
		fmt.Printf("%s, one at a time, %d each way: through the proxy p50 %v p99 %v; direct p50 %v p99 %v; added p50 %v p99 %v\n", one.what, len(proxy),
			proxy.at(0.5), proxy.at(0.99), server.at(0.5), server.at(0.99), proxy.at(0.5)-server.at(0.5), proxy.at(0.99)-server.at(0.99))
	}
	return nil
}
