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
	// retryPause is how long after a page was refused it is asked for again.
	retryPause = 100 * time.Millisecond
	// resumeSpan is how long after a reading began a page that failed may be asked for
	// again with the pages before it kept.
	resumeSpan = 2 * time.Second
)

// listReading is one reading of the whole list, page by page.
type listReading struct {
	servers []feed.Server
	// calls is how many calls this part of the reading took.
	calls int
	// began is when its first page was asked for.
	began timetable.Steady
}

// unfinished is a reading whose next page could not be had.
type unfinished struct {
	listReading
	token string
}

// listReader reads the platform's list, page by page.
type listReader struct {
	client *http.Client
	clock  timetable.Clock
	// address is where the platform answers.
	address func() string
	// onPage, if set, is given each page as it comes.
	onPage func([]feed.Server)
	// rest is the reading to go on with, if there is one.
	rest *unfinished
	// calls counts the calls of the present reading.
	calls int
	// usual is how long a call usually takes, smoothed.
	usual time.Duration
}

func newListReader(clock timetable.Clock, address func() string) *listReader {
	transport := &http.Transport{DisableCompression: true, MaxIdleConns: 2}
	return &listReader{client: &http.Client{Transport: transport}, clock: clock, address: address}
}

// read reads the list to its end, from the page at which the last reading failed, if
// that is not long ago. A page that fails again takes the pages before it with it, as
// its token may be what is wrong.
func (r *listReader) read(ctx context.Context) (listReading, error) {
	now := r.clock.Steady()
	under, isResumed := unfinished{listReading: listReading{began: now}}, false
	if r.rest != nil && time.Duration(now-r.rest.began) < resumeSpan {
		under, isResumed = *r.rest, true
	}
	r.rest, r.calls = nil, 0
	for {
		page, err := r.page(ctx, under.token)
		under.calls = r.calls
		if err != nil {
			if !isResumed && under.token != "" {
				r.rest = &under
			}
			return under.listReading, err
		}
		isResumed = false
		under.servers = append(under.servers, r.take(page)...)
		if page.NextToken == nil || *page.NextToken == "" {
			return under.listReading, nil
		}
		under.token = *page.NextToken
	}
}

// take is a page's servers, which whoever waits for pages is given at once.
func (r *listReader) take(page listPage) (servers []feed.Server) {
	now := r.clock.Wall()
	for _, entry := range page.Instances {
		servers = append(servers, entry.server(now))
	}
	if r.onPage != nil {
		r.onPage(servers)
	}
	return servers
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

// pageAnswer is how one call for a page ended.
type pageAnswer struct {
	page listPage
	err  error
	took time.Duration
}

// page asks for a page, and once more beside a call that is slow or has failed: the
// first good answer counts. One slow call must not hold up the whole reading.
func (r *listReader) page(ctx context.Context, token string) (page listPage, err error) {
	ctx, cancel := context.WithTimeout(ctx, pageSpan)
	defer cancel()
	answers := make(chan pageAnswer, pageTries)
	patience := time.NewTicker(max(patienceLeast, patienceTimes*r.usual))
	defer patience.Stop()
	made, failed := 0, 0
	ask := func() {
		made++
		r.calls++
		go func() { answers <- r.call(ctx, token) }()
	}
	ask()
	for {
		select {
		case answer := <-answers:
			if answer.err == nil {
				r.learn(answer.took)
				return answer.page, nil
			}
			if failed++; failed == pageTries {
				return page, answer.err
			}
			patience.Reset(retryPause)
		case <-patience.C:
			if made < pageTries {
				ask()
			}
		case <-ctx.Done():
			r.learn(pageSpan)
			return page, errors.Annotate(ctx.Err(), "a page of the platform's list")
		}
	}
}

func (r *listReader) learn(took time.Duration) {
	if r.usual == 0 {
		r.usual = took
	}
	r.usual += time.Duration(usualWeight * float64(took-r.usual))
}

// call is one call for a page.
func (r *listReader) call(ctx context.Context, token string) (out pageAnswer) {
	began := r.clock.Steady()
	address := "http://" + r.address() + "/instances"
	if token != "" {
		address += "?PageToken=" + url.QueryEscape(token)
	}
	out.page, out.err = r.get(ctx, address)
	out.took = time.Duration(r.clock.Steady() - began)
	return out
}

func (r *listReader) get(ctx context.Context, address string) (page listPage, err error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return page, errors.Trace(err)
	}
	response, err := r.client.Do(request)
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
