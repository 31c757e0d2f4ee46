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

type listed struct {
	InstanceId string         `json:"InstanceId"`
	Service    string         `json:"Service"`
	Address    string         `json:"Address"`
	Cell       string         `json:"Zone"`
	Revision   string         `json:"Revision"`
	Capacity   int            `json:"Capacity"`
	State      string         `json:"State"`
	WarmupLeft timetable.Span `json:"WarmupLeft"`
}

type listPage struct {
	Instances []listed `json:"Instances"`
	NextToken *string  `json:"NextToken"`
}

const (
	// pageTries is how many calls a page gets, and pageSpan how long they may take
	// together.
	pageTries = 3
	pageSpan  = 800 * time.Millisecond
	// A call that has not answered after patienceTimes the usual time, and
	// patienceLeast at least, gets another beside it; where the platform is slow for
	// long, that becomes the usual, and no more calls are made than before.
	patienceTimes = 6
	patienceLeast = 250 * time.Millisecond
	// usualWeight is how much one call weighs in the usual time.
	usualWeight = 0.1
	// retryPause is how long after a page was refused it is asked for again: three calls
	// must not all fall into one second that has seen enough.
	retryPause = 250 * time.Millisecond
	// idleCalls is how many connections to the platform are kept for the next calls.
	idleCalls = 8
)

// pageOf names a page of the list: of one zone or, if that is empty, of all.
type pageOf struct{ zone, token string }

// query is the page as the platform's call names it.
func (p pageOf) query() string {
	values := url.Values{}
	if p.zone != "" {
		values.Set("Zone", p.zone)
	}
	if p.token != "" {
		values.Set("PageToken", p.token)
	}
	return values.Encode()
}

// pageCaller makes the calls for pages of the platform's list.
type pageCaller struct {
	client *http.Client
	clock  timetable.Clock
	// address is where the platform answers.
	address func() string
}

func newPageCaller(clock timetable.Clock, address func() string) *pageCaller {
	transport := &http.Transport{DisableCompression: true, MaxIdleConns: idleCalls, MaxIdleConnsPerHost: idleCalls}
	return &pageCaller{client: &http.Client{Transport: transport}, clock: clock, address: address}
}

// server is the entry as the fleet's news tell it.
func (l listed) server(now time.Time) feed.Server {
	out := feed.Server{
		ID: l.InstanceId, Service: l.Service, Address: l.Address, Cell: l.Cell, Capacity: l.Capacity,
		IsReady: l.State == "ready", Revision: l.Revision,
	}
	if l.WarmupLeft > 0 {
		out.WarmMs = now.Add(l.WarmupLeft.Std()).UnixMilli()
	}
	return out
}

// pageAnswer is how the calls for a page ended: the last of them took so long, and so
// many were made.
type pageAnswer struct {
	page  listPage
	err   error
	took  time.Duration
	calls int
}

// page asks for a page, and once more beside a call that is slow or has failed: the
// first good answer counts. One slow call must not hold up the whole reading. usual is
// how long a call usually takes.
func (c *pageCaller) page(ctx context.Context, of pageOf, usual time.Duration) (out pageAnswer) {
	ctx, cancel := context.WithTimeout(ctx, pageSpan)
	defer cancel()
	answers := make(chan pageAnswer, pageTries)
	patience := time.NewTicker(max(patienceLeast, patienceTimes*usual))
	defer patience.Stop()
	made, failed := 0, 0
	ask := func() {
		made++
		go func() { answers <- c.call(ctx, of) }()
	}
	ask()
	for {
		select {
		case out = <-answers:
			out.calls = made
			if out.err == nil {
				return out
			}
			if failed++; failed == pageTries {
				return out
			}
			patience.Reset(retryPause)
		case <-patience.C:
			if made < pageTries {
				ask()
			}
		case <-ctx.Done():
			return pageAnswer{err: errors.Annotate(ctx.Err(), "a page of the platform's list"), took: pageSpan, calls: made}
		}
	}
}

// call is one call for a page.
func (c *pageCaller) call(ctx context.Context, of pageOf) (out pageAnswer) {
	began := c.clock.Steady()
	address := "http://" + c.address() + "/instances"
	if query := of.query(); query != "" {
		address += "?" + query
	}
	out.page, out.err = c.get(ctx, address)
	out.took = time.Duration(c.clock.Steady() - began)
	return out
}

func (c *pageCaller) get(ctx context.Context, address string) (page listPage, err error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return page, errors.Trace(err)
	}
	response, err := c.client.Do(request)
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
