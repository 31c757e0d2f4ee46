package main

import (
	"bytes"
	"io"
	"net/http"
	"time"
)

// result is the answer to a client's request; status 0 means that there was none.
type result struct {
	status     int
	seal, body string
	err        error
	took       time.Duration
}

// send sends one request to an edge as a client does, on a connection of its own.
func send(address, host, method, path, attempt, key string, body []byte, wait time.Duration) (out result) {
	var reader io.Reader
	if body != nil {
		reader = bytes.NewReader(body)
	}
	request, err := http.NewRequest(method, "http://"+address+path, reader)
	check(err)
	request.Host = host
	request.Header.Set("Ploverhitch-Attempt-Id", attempt)
	if key != "" {
		request.Header.Set("Ploverhitch-Operation-Key", key)
	}
	client := &http.Client{Timeout: wait, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	began := time.Now()
	response, err := client.Do(request)
	out.took = time.Since(began)
	if err != nil {
		out.err = err
		return out
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	out.status, out.seal, out.body, out.err = response.StatusCode, response.Header.Get("Ploverhitch-Server-Seal"), string(text), err
	return out
}
