package control

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/juju/errors"

	"ploverhitch/internal/bounded"
	"ploverhitch/internal/clock"
	"ploverhitch/internal/feed"
)

// listedInstance is one server in the platform's list.
type listedInstance struct {
	InstanceId string        `json:"InstanceId"`
	Service    string        `json:"Service"`
	Address    string        `json:"Address"`
	Zone       string        `json:"Zone"`
	Revision   string        `json:"Revision"`
	Capacity   bounded.Count `json:"Capacity"`
	State      string        `json:"State"`
	// WarmupLeft is read as a duration by server: a text that is none must not make the
	// page unreadable.
	WarmupLeft string `json:"WarmupLeft"`
}

// listPage is one page of the platform's list.
type listPage struct {
	Instances []listedInstance `json:"Instances"`
	NextToken *string          `json:"NextToken"`
	// unreadable describes the entries that could not be decoded.
	unreadable []string
}

// decodeListPage decodes a page. An entry that cannot be decoded is left out.
func decodeListPage(body []byte) (page listPage, err error) {
	if json.Unmarshal(body, &page) == nil {
		return page, nil
	}
	var raw struct {
		Instances []json.RawMessage `json:"Instances"`
		NextToken *string           `json:"NextToken"`
	}
	if err = json.Unmarshal(body, &raw); err != nil {
		return listPage{}, errors.Trace(err)
	}
	page = listPage{NextToken: raw.NextToken}
	for _, text := range raw.Instances {
		var entry listedInstance
		if err := json.Unmarshal(text, &entry); err != nil {
			page.unreadable = append(page.unreadable, entry.InstanceId+": "+err.Error())
			continue
		}
		page.Instances = append(page.Instances, entry)
	}
	return page, nil
}

const (
	// maxPageCalls is the maximum number of calls for one page, and pageTimeout the
	// time limit for all of them together.
	maxPageCalls = 3
	pageTimeout  = 800 * time.Millisecond
	// A call without a response after hedgeFactor times the typical latency, and at
	// least minHedgeDelay, is hedged by another. If the platform stays slow, the typical
	// latency rises, so that no more calls are made than before.
	hedgeFactor   = 6
	minHedgeDelay = 250 * time.Millisecond
	// latencyWeight is the weight of one call in the typical latency.
	latencyWeight = 0.1
	// pageRetryDelay is the delay before a retry of a failed call. It keeps the three
	// calls for a page from all falling into one second in which the rate limit is used up.
	pageRetryDelay = 250 * time.Millisecond
	// maxIdleConns is the number of idle connections to the platform that are kept.
	maxIdleConns = 8
)

// pageKey identifies a page of the list of one zone or, if zone is empty, of all zones.
type pageKey struct{ zone, token string }

// query is the URL query for the page.
func (k pageKey) query() string {
	values := url.Values{}
	if k.zone != "" {
		values.Set("Zone", k.zone)
	}
	if k.token != "" {
		values.Set("PageToken", k.token)
	}
	return values.Encode()
}

// pageClient requests pages of the platform's list.
type pageClient struct {
	http  *http.Client
	clock clock.Clock
	// address returns the host and port of the platform.
	address func() string
}

func newPageClient(clock clock.Clock, address func() string) *pageClient {
	transport := &http.Transport{DisableCompression: true, MaxIdleConns: maxIdleConns, MaxIdleConnsPerHost: maxIdleConns}
	return &pageClient{http: &http.Client{Transport: transport}, clock: clock, address: address}
}

// server converts the entry to the form in which the feed carries it.
func (i listedInstance) server(now time.Time) feed.Server {
	out := feed.Server{
		ID: i.InstanceId, Service: i.Service, Address: i.Address, Zone: i.Zone, Capacity: int(max(0, i.Capacity)),
		IsReady: i.State == "ready", Revision: i.Revision,
	}
	if left, err := clock.ParseDuration(i.WarmupLeft); err == nil && left > 0 {
		out.WarmupEndMs = now.Add(left.Std()).UnixMilli()
	}
	return out
}

// pageResult is the result of the calls for a page: the latency of the last call and the
// number of calls made.
type pageResult struct {
	page    listPage
	err     error
	latency time.Duration
	calls   int
}

// page requests a page. It hedges a slow call and retries a failed one, and uses the first
// successful response, so that one slow call does not delay the whole read.
func (c *pageClient) page(ctx context.Context, key pageKey, typicalLatency time.Duration) (out pageResult) {
	ctx, cancel := context.WithTimeout(ctx, pageTimeout)
	defer cancel()
	results := make(chan pageResult, maxPageCalls)
	timer := time.NewTicker(max(minHedgeDelay, hedgeFactor*typicalLatency))
	defer timer.Stop()
	calls, failures := 0, 0
	start := func() {
		calls++
		go func() { results <- c.call(ctx, key) }()
	}
	start()
	for {
		select {
		case out = <-results:
			out.calls = calls
			if out.err == nil {
				return out
			}
			if failures++; failures == maxPageCalls {
				return out
			}
			timer.Reset(pageRetryDelay)
		case <-timer.C:
			if calls < maxPageCalls {
				start()
			}
		case <-ctx.Done():
			return pageResult{err: errors.Annotate(ctx.Err(), "reading a page of the platform's server list"), latency: pageTimeout, calls: calls}
		}
	}
}

// call makes one call for a page.
func (c *pageClient) call(ctx context.Context, key pageKey) (out pageResult) {
	started := c.clock.Monotonic()
	address := "http://" + c.address() + "/instances"
	if query := key.query(); query != "" {
		address += "?" + query
	}
	out.page, out.err = c.get(ctx, address)
	out.latency = time.Duration(c.clock.Monotonic() - started)
	return out
}

func (c *pageClient) get(ctx context.Context, address string) (page listPage, err error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return page, errors.Trace(err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return page, errors.Trace(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, response.Body)
		return page, errors.Errorf("the platform responded to the server list request with status %d", response.StatusCode)
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return page, errors.Trace(err)
	}
	return decodeListPage(body)
}
