package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync/atomic"
	"time"
)

// answer is what a client got for one try.
type answer struct {
	status int
	seal   string
	body   string
	err    error
}

var attempts atomic.Int64

// send makes one try of a client on a new connection.
func (c *cluster) send(m *machine, method, target, key, body string, deadline time.Duration) answer {
	id := fmt.Sprintf("a%d", attempts.Add(1))
	request, err := http.NewRequest(method, "http://"+m.front+target, bytes.NewReader([]byte(body)))
	if err != nil {
		return answer{err: err}
	}
	request.Host = "hulo84.example"
	request.Header.Set("Ploverhitch-Attempt-Id", id)
	request.Header.Set("Ploverhitch-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	if key != "" {
		request.Header.Set("Ploverhitch-Operation-Key", key)
	}
	c.rec.logf("client: %s at %s: %s %s key=%q deadline=%v", id, m.name, method, target, key, deadline)
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	defer transport.CloseIdleConnections()
	response, err := (&http.Client{Transport: transport, Timeout: deadline + 2*time.Second}).Do(request)
	if err != nil {
		c.rec.logf("client: %s: no answer: %v", id, err)
		return answer{err: err}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	c.rec.logf("client: %s key=%q: %d seal=%q retry-after=%q %.90q %v", id, key, response.StatusCode, response.Header.Get("Ploverhitch-Server-Seal"), response.Header.Get("Retry-After"), text, err)
	return answer{response.StatusCode, response.Header.Get("Ploverhitch-Server-Seal"), string(text), err}
}

// A case returns whether the rule was broken, or an error if it couldn't run.
var cases = map[string]func(c *cluster, trouble bool) (broken bool, err error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: reviewcase CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, folder string) int {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer file.Close()
	rec := &recorder{file: file, start: time.Now()}
	c, err := newCluster(rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer c.close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.logf("case %s, trouble: %t", name, trouble)
	broken, err := cases[name](c, trouble)
	switch {
	case err != nil:
		rec.logf("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	case broken:
		rec.logf("the rule was BROKEN")
		fmt.Println("broken")
		return 1
	}
	rec.logf("the rule held")
	fmt.Println("held")
	return 0
}
