package standin

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
)

// Listed is one entry of the platform's list.
type Listed struct {
	InstanceId, Service, Address, Zone, Revision, State, WarmupLeft string
	Capacity                                                        int
}

// Platform answers GET /instances, a page at a time, and refuses calls while it
// is told to.
type Platform struct {
	listener net.Listener
	lock     sync.Mutex
	list     []Listed
	refusals int
	page     int
}

// NewPlatform starts a platform with pages of the given size.
//
// Example:
//
//	platform, err := standin.NewPlatform("127.0.0.1:0", 2)
func NewPlatform(address string, page int) (*Platform, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	p := &Platform{listener: listener, page: page}
	go func() { _ = http.Serve(listener, http.HandlerFunc(p.answer)) }()
	return p, nil
}

// Address is where the platform listens.
//
// Example:
//
//	http.Get("http://" + platform.Address() + "/instances")
func (p *Platform) Address() string { return p.listener.Addr().String() }

// Close stops the platform.
//
// Example:
//
//	defer platform.Close()
func (p *Platform) Close() { _ = p.listener.Close() }

// Set lays the list anew, and refuses the next calls.
//
// Example:
//
//	platform.Set(0, list...)
func (p *Platform) Set(refusals int, list ...Listed) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.list, p.refusals = list, refusals
}

func (p *Platform) answer(w http.ResponseWriter, r *http.Request) {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.refusals > 0 {
		p.refusals--
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	from, _ := strconv.Atoi(r.URL.Query().Get("PageToken"))
	from = min(max(from, 0), len(p.list))
	to := min(from+p.page, len(p.list))
	out := map[string]any{"Instances": p.list[from:to], "NextToken": nil}
	if to < len(p.list) {
		out["NextToken"] = strconv.Itoa(to)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out)
}
