package control

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/juju/errors"

	"ploverhitch/internal/feed"
	"ploverhitch/internal/timetable"
)

type listedInstance struct {
	InstanceId string         `json:"InstanceId"`
	Service    string         `json:"Service"`
	Address    string         `json:"Address"`
	Zone       string         `json:"Zone"`
	Revision   string         `json:"Revision"`
	Capacity   int            `json:"Capacity"`
	State      string         `json:"State"`
	WarmupLeft timetable.Span `json:"WarmupLeft"`
}

type listPage struct {
	Instances []listedInstance `json:"Instances"`
	NextToken *string          `json:"NextToken"`
}

const (
	// pageTries is how many calls a page gets, and pageSpan how long they may take
	// together.
	maxPageCalls = 3
	pageTimeout  = 800 * time.Millisecond
	// A call that has not answered after patienceTimes the usual time, and
	// patienceLeast at least, gets another beside it; where the platform is slow for
	// long, that becomes the usual, and no more calls are made than before.
	hedgeFactor   = 6
	minHedgeDelay = 250 * time.Millisecond
	// usualWeight is how much one call weighs in the usual time.
	latencyWeight = 0.1
	// retryPause is how long after a page was refused it is asked for again: three calls
	// must not all fall into one second that has seen enough.
	pageRetryDelay = 250 * time.Millisecond
	// idleCalls is how many connections to the platform are kept for the next calls.
	maxIdleConns = 8
)

// pageOf names a page of the list: of one zone or, if that is empty, of all.
type pageKey struct{ zone, token string }

// query is the page as the platform's call names it.
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

// pageCaller makes the calls for pages of the platform's list.
type pageClient struct {
	http  *http.Client
	clock timetable.Clock
	// address is where the platform answers.
	address func() string
}

func newPageClient(clock timetable.Clock, address func() string) *pageClient {
	transport := &http.Transport{DisableCompression: true, MaxIdleConns: maxIdleConns, MaxIdleConnsPerHost: maxIdleConns}
	return &pageClient{http: &http.Client{Transport: transport}, clock: clock, address: address}
}

// server is the entry as the fleet's news tell it.
func (i listedInstance) server(now time.Time) feed.Server {
	out := feed.Server{
		ID: i.InstanceId, Service: i.Service, Address: i.Address, Cell: i.Zone, Capacity: i.Capacity,
		IsReady: i.State == "ready", Revision: i.Revision,
	}
	if i.WarmupLeft > 0 {
		out.WarmMs = now.Add(i.WarmupLeft.Std()).UnixMilli()
	}
	return out
}

// pageAnswer is how the calls for a page ended: the last of them took so long, and so
// many were made.
type pageResult struct {
	page    listPage
	err     error
	latency time.Duration
	calls   int
}

// page asks for a page, and once more beside a call that is slow or has failed: the
// first good answer counts. One slow call must not hold up the whole reading. usual is
// how long a call usually takes.
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
			return pageResult{err: errors.Annotate(ctx.Err(), "a page of the platform's list"), latency: pageTimeout, calls: calls}
		}
	}
}

// call is one call for a page.
func (c *pageClient) call(ctx context.Context, key pageKey) (out pageResult) {
	started := c.clock.Steady()
	address := "http://" + c.address() + "/instances"
	if query := key.query(); query != "" {
		address += "?" + query
	}
	out.page, out.err = c.get(ctx, address)
	out.latency = time.Duration(c.clock.Steady() - started)
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
		return page, errors.Errorf("the list answered %d", response.StatusCode)
	}
	return page, errors.Trace(json.NewDecoder(response.Body).Decode(&page))
}
