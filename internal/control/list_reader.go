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
)

// listReader reads the platform's list, page by page.
type listReader struct {
	client *http.Client
	clock  timetable.Clock
	// address is where the platform answers.
	address func() string
	// calls counts the calls of the present reading.
	calls int
	// usual is how long a call usually takes, smoothed.
	usual time.Duration
}

func newListReader(clock timetable.Clock, address func() string) *listReader {
	transport := &http.Transport{DisableCompression: true, MaxIdleConns: 2}
	return &listReader{client: &http.Client{Transport: transport}, clock: clock, address: address}
}

// read is one reading of the whole list, and how many calls it took.
func (r *listReader) read(ctx context.Context) (servers []feed.Server, calls int, err error) {
	now, token := r.clock.Wall(), ""
	r.calls = 0
	for {
		page, err := r.page(ctx, token)
		if err != nil {
			return nil, r.calls, err
		}
		for _, entry := range page.Instances {
			servers = append(servers, entry.server(now))
		}
		if page.NextToken == nil || *page.NextToken == "" {
			return servers, r.calls, nil
		}
		token = *page.NextToken
	}
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
