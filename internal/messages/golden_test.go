package messages_test

import (
	"encoding/hex"
	"reflect"
	"testing"

	"ploverhitch/internal/codec"
	"ploverhitch/internal/config"
	"ploverhitch/internal/feed"
	"ploverhitch/internal/idempotency"
	"ploverhitch/internal/messages"
)

// The encodings of an intent and of its key by build 576de6a.
const (
	goldenKey    = "a20169682e6578616d706c6502636b2d31"
	goldenIntent = "aa01" + goldenKey + "0263612d310350000102030405060708090a0b0c0d0e0f046366656505646665657306040863612d3109040a1b000001a242ccd1a80ca40118c802667365616c2d31037819746578742f706c61696e3b20636861727365743d7574662d38044570616964ff"
)

func goldenMessages() map[string]any {
	intent := idempotency.Intent{
		Key: idempotency.Key{Tenant: "h.example", Key: "k-1"}, Attempt: "a-1", Route: "fee", Service: "fees", RouteRevision: 4, Reservation: "a-1",
		State: idempotency.Completed, CreatedMs: 1796417049000,
		Response: &idempotency.Response{Status: 200, Seal: "seal-1", ContentType: "text/plain; charset=utf-8", Body: []byte("paid\xff")},
	}
	for i := range intent.RequestHash {
		intent.RequestHash[i] = byte(i)
	}
	return map[string]any{
		"a101" + goldenIntent:         messages.Record{Intent: intent},
		"a2010302" + goldenIntent:     messages.Reserve{Epoch: 3, Intent: intent},
		"a101a2010202" + goldenIntent: messages.Vote{Vote: idempotency.Vote{Verdict: idempotency.KeyInUse, Existing: &intent}},
		"a101" + goldenKey:            messages.Lookup{Key: intent.Key},
		"a401a20101026366656502040469682e6578616d706c65054e7b224e616d65223a22666565227d": config.Item{
			ID: config.ID{Class: config.RouteItem, Name: "fee"}, Version: 4, Host: "h.example", Body: []byte(`{"Name":"fee"}`),
		},
		"a90163692d31026466656573036b31302e302e302e313a3830046161050306f50705086276310b09": feed.Server{
			ID: "i-1", Service: "fees", Address: "10.0.0.1:80", Zone: "a", Capacity: 3, IsReady: true, WarmupEndMs: 5, Revision: "v1", RelativeLatency: 9,
		},
	}
}

// Guards against a build that does not understand the frames and files of an older one, or is not understood by it.
func TestMessagesAreEncodedAsByOlderBuilds(t *testing.T) {
	for golden, message := range goldenMessages() {
		data, err := codec.Marshal(message)
		if err != nil || hex.EncodeToString(data) != golden {
			t.Errorf("%T: got %x, %v; want %s", message, data, err, golden)
		}
		decoded := reflect.New(reflect.TypeOf(message))
		text, _ := hex.DecodeString(golden)
		if err := codec.Unmarshal(text, decoded.Interface()); err != nil || !reflect.DeepEqual(decoded.Elem().Interface(), message) {
			t.Errorf("%T: got %+v, %v", message, decoded.Elem(), err)
		}
	}
}

// FuzzTextsTravelUnchanged checks that texts from HTTP arrive as they were sent, whatever their bytes are. A text that is not
// UTF-8 once had its message dropped by every control node, so that the outcome of its key was lost (review/6).
func FuzzTextsTravelUnchanged(f *testing.F) {
	for _, text := range []string{"", "plain", "name=\"Best\xe4tigung.pdf\"", "\xff\xfe", "\x00", "é", "\xed\xa0\x80", "\xf4\x90\x80\x80"} {
		f.Add(text, []byte(text))
	}
	f.Fuzz(func(t *testing.T, text string, body []byte) {
		sent := messages.Record{Intent: idempotency.Intent{
			Key: idempotency.Key{Tenant: text, Key: text + "-"}, Attempt: idempotency.Attempt(text), Route: text, Service: text, Reservation: text,
			Response: &idempotency.Response{Status: 200, Seal: text, ContentType: text, Body: body},
		}}
		data, err := codec.Marshal(sent)
		if err != nil {
			t.Fatal(err)
		}
		var received messages.Record
		if err = codec.Unmarshal(data, &received); err != nil {
			t.Fatal(err)
		}
		got, want := received.Intent, sent.Intent
		if got.Key != want.Key || got.Attempt != want.Attempt || got.Reservation != want.Reservation || got.Response.Seal != text || got.Response.ContentType != text || string(got.Response.Body) != string(body) {
			t.Fatalf("got %+v, want %+v", received, sent)
		}
		// The same bytes as input of the decoder must neither panic nor fill the memory.
		_ = codec.Unmarshal(body, &received)
		_ = codec.Unmarshal([]byte(text), &messages.Vote{})
	})
}
