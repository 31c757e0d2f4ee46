package rpc

import (
	"bufio"
	"errors"
	"net"
	"testing"
	"time"
)

const kindTest Kind = 9

// peer is the remote end of a connection; it reads and writes single frames.
type peer struct {
	conn   net.Conn
	reader *bufio.Reader
}

func listen(t *testing.T) (*Client, func() *peer) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return NewClient(listener.Addr().String(), time.Second, time.Second), func() *peer {
		t.Helper()
		_ = listener.(*net.TCPListener).SetDeadline(time.Now().Add(5 * time.Second))
		conn, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
		return &peer{conn, bufio.NewReader(conn)}
	}
}

func (p *peer) next(t *testing.T) (f frame, text string) {
	t.Helper()
	f, err := readFrame(p.reader)
	if err != nil {
		t.Fatal(err)
	}
	if err = Decode(f.Body, &text); err != nil {
		t.Fatal(err)
	}
	return f, text
}

func (p *peer) reply(t *testing.T, number uint64, kind Kind, body any) {
	t.Helper()
	encoded, err := encodeFrame(number, kind, body)
	if err != nil {
		t.Fatal(err)
	}
	if err = encoded.write(p.conn); err != nil {
		t.Fatal(err)
	}
}

// callResult is the result of a call that runs concurrently with the test.
type callResult struct {
	got string
	err error
}

func startCall(client *Client, text string, wait time.Duration) <-chan callResult {
	ended := make(chan callResult, 1)
	go func() {
		var result callResult
		result.err = client.Call(kindTest, text, &result.got, wait)
		ended <- result
	}()
	return ended
}

// setDialing puts a client into the state in which it is dialing.
func setDialing(client *Client) {
	client.lock.Lock()
	defer client.lock.Unlock()
	client.dialing = true
}

func TestCallThatTimedOutWhileDialingIsNeverSent(t *testing.T) {
	client, accept := listen(t)
	setDialing(client)
	if a := <-startCall(client, "too late", 10*time.Millisecond); a.err == nil {
		t.Fatal("a call without a connection returned no error")
	}
	revoke := client.SendRevocable(kindTest, "revoked", nil)
	revoke()
	client.Send(kindTest, "in time", nil)
	client.dial()
	if _, text := accept().next(t); text != "in time" {
		t.Fatalf("%q was sent after its caller gave up", text)
	}
}

func TestRevokedCallIsNotSentAndForgottenCallIs(t *testing.T) {
	client, accept := listen(t)
	setDialing(client)
	// The outbox is not running yet, so the frames stay queued as with a slow peer.
	conn, err := Dial(client.Address, time.Second, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	client.conn, client.outbox = conn, &outbox{frames: make(chan *outgoingFrame, 8), done: make(chan struct{})}
	revoke := client.SendRevocable(kindTest, "a vote past its deadline", func([]byte, error) {})
	forget := client.Send(kindTest, "an outcome", func([]byte, error) {})
	revoke()
	forget()
	go client.outbox.run(conn)
	if _, text := accept().next(t); text != "an outcome" {
		t.Fatalf("%q was sent", text)
	}
}

func TestLateReplyIsNotDeliveredToTheNextCall(t *testing.T) {
	client, accept := listen(t)
	first := startCall(client, "one", 30*time.Millisecond)
	server := accept()
	late, _ := server.next(t)
	if a := <-first; a.err == nil {
		t.Fatal("the first call returned no error")
	}
	client.lock.Lock()
	if len(client.pending) > 0 {
		t.Error("a call that timed out is still pending")
	}
	client.lock.Unlock()
	second := startCall(client, "two", 5*time.Second)
	f, _ := server.next(t)
	server.reply(t, late.Number, kindTest, "to one")
	server.reply(t, f.Number+7, kindTest, "to nobody")
	server.reply(t, f.Number, kindTest, "to two")
	server.reply(t, f.Number, kindTest, "surplus")
	if a := <-second; a.err != nil || a.got != "to two" {
		t.Fatalf("got %q, %v", a.got, a.err)
	}
}

func TestCallNumbersContinueAfterReconnect(t *testing.T) {
	client, accept := listen(t)
	first := startCall(client, "one", 5*time.Second)
	server := accept()
	old, _ := server.next(t)
	_ = server.conn.Close()
	if a := <-first; !errors.Is(a.err, ErrDisconnected) {
		t.Fatalf("got %v after the connection was closed", a.err)
	}
	time.Sleep(2 * redialDelay)
	second := startCall(client, "two", 5*time.Second)
	reconnected := accept()
	f, _ := reconnected.next(t)
	if f.Number <= old.Number {
		t.Fatalf("call number %d was reused", f.Number)
	}
	// A reply to a call of the old connection must not be delivered on the new one.
	reconnected.reply(t, old.Number, kindTest, "to one")
	reconnected.reply(t, f.Number, kindTest, "to two")
	if a := <-second; a.err != nil || a.got != "to two" {
		t.Fatalf("got %q, %v", a.got, a.err)
	}
}

func TestReplyOfAnotherKindClosesTheConnection(t *testing.T) {
	client, accept := listen(t)
	first := startCall(client, "one", 5*time.Second)
	server := accept()
	f, _ := server.next(t)
	server.reply(t, f.Number, kindTest+1, "of another kind")
	if a := <-first; !errors.Is(a.err, ErrDisconnected) {
		t.Fatalf("got %q, %v", a.got, a.err)
	}
}

func TestCloseWhileDialingClosesTheConnection(t *testing.T) {
	client, accept := listen(t)
	setDialing(client)
	waiting := startCall(client, "one", 5*time.Second)
	for queued := 0; queued == 0; time.Sleep(time.Millisecond) {
		client.lock.Lock()
		queued = len(client.queued)
		client.lock.Unlock()
	}
	client.Close()
	client.dial()
	if a := <-waiting; !errors.Is(a.err, ErrDisconnected) {
		t.Fatalf("got %v", a.err)
	}
	if _, err := accept().reader.ReadByte(); err == nil {
		t.Fatal("a call was sent after the client was closed")
	}
	client.lock.Lock()
	defer client.lock.Unlock()
	if client.conn != nil {
		t.Fatal("the connection was not closed")
	}
}

func TestServerRepliesOnTheConnectionOfTheCall(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	calls := make(chan Call, 2)
	go Serve(listener, Handlers{kindTest: func(call Call) { calls <- call }}, time.Second)
	one := NewClient(listener.Addr().String(), time.Second, time.Second)
	two := NewClient(listener.Addr().String(), time.Second, time.Second)
	// Both calls have the same number, each on its own connection.
	first := startCall(one, "one", 5*time.Second)
	heldCall := <-calls
	second := startCall(two, "two", 5*time.Second)
	(<-calls).Reply("to two")
	heldCall.Reply("to one")
	if a := <-second; a.got != "to two" {
		t.Fatalf("got %q, %v", a.got, a.err)
	}
	if a := <-first; a.got != "to one" {
		t.Fatalf("got %q, %v", a.got, a.err)
	}
}
