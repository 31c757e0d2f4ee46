package rpc

import (
	"bufio"
	"errors"
	"net"
	"testing"
	"time"
)

const kindTest Kind = 9

// peer is the other end of one line, frame by frame.
type peer struct {
	conn   net.Conn
	reader *bufio.Reader
}

func listen(t *testing.T) (*Line, func() *peer) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return NewLine(listener.Addr().String(), time.Second, time.Second), func() *peer {
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
	if err = Unpack(f.Body, &text); err != nil {
		t.Fatal(err)
	}
	return f, text
}

func (p *peer) reply(t *testing.T, number uint64, kind Kind, body any) {
	t.Helper()
	text, err := packFrame(number, kind, body)
	if err != nil {
		t.Fatal(err)
	}
	if err = text.write(p.conn); err != nil {
		t.Fatal(err)
	}
}

// asked is how a call made beside the test ended.
type asked struct {
	got string
	err error
}

func ask(line *Line, text string, wait time.Duration) <-chan asked {
	ended := make(chan asked, 1)
	go func() {
		var a asked
		a.err = line.Ask(kindTest, text, &a.got, wait)
		ended <- a
	}()
	return ended
}

// dialing puts a line into the state in which its connection is being made.
func dialing(line *Line) {
	line.lock.Lock()
	defer line.lock.Unlock()
	line.dialing = true
}

func TestCallThatTimedOutWhileTheLineWasMadeIsNeverSent(t *testing.T) {
	line, accept := listen(t)
	dialing(line)
	if a := <-ask(line, "too late", 10*time.Millisecond); a.err == nil {
		t.Fatal("a call without a connection was answered")
	}
	revoke := line.SendRevocable(kindTest, "revoked", nil)
	revoke()
	line.Send(kindTest, "in time", nil)
	line.dial()
	if _, text := accept().next(t); text != "in time" {
		t.Fatalf("%q was sent after its caller had given up", text)
	}
}

func TestRevokedCallIsNotWrittenAndForgottenOneIs(t *testing.T) {
	line, accept := listen(t)
	dialing(line)
	// No outbox reads yet, so the frames stay where a slow peer would leave them.
	conn, err := Dial(line.Address, time.Second, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	line.conn, line.box = conn, &outbox{frames: make(chan *packet, 8), done: make(chan struct{})}
	revoke := line.SendRevocable(kindTest, "a vote past its bound", func([]byte, error) {})
	forget := line.Send(kindTest, "an outcome", func([]byte, error) {})
	revoke()
	forget()
	go line.box.run(conn)
	if _, text := accept().next(t); text != "an outcome" {
		t.Fatalf("%q was sent", text)
	}
}

func TestLateReplyOfOneCallIsNotTheNextOnes(t *testing.T) {
	line, accept := listen(t)
	first := ask(line, "one", 30*time.Millisecond)
	other := accept()
	late, _ := other.next(t)
	if a := <-first; a.err == nil {
		t.Fatal("the first call was answered")
	}
	line.lock.Lock()
	if len(line.waiting) > 0 {
		t.Error("a call that timed out is waited for still")
	}
	line.lock.Unlock()
	second := ask(line, "two", 5*time.Second)
	f, _ := other.next(t)
	other.reply(t, late.Number, kindTest, "to one")
	other.reply(t, f.Number+7, kindTest, "to nobody")
	other.reply(t, f.Number, kindTest, "to two")
	other.reply(t, f.Number, kindTest, "surplus")
	if a := <-second; a.err != nil || a.got != "to two" {
		t.Fatalf("got %q, %v", a.got, a.err)
	}
}

func TestNumbersGoOnOverConnections(t *testing.T) {
	line, accept := listen(t)
	first := ask(line, "one", 5*time.Second)
	other := accept()
	old, _ := other.next(t)
	_ = other.conn.Close()
	if a := <-first; !errors.Is(a.err, ErrCut) {
		t.Fatalf("got %v after the cut", a.err)
	}
	time.Sleep(2 * redialPause)
	second := ask(line, "two", 5*time.Second)
	again := accept()
	f, _ := again.next(t)
	if f.Number <= old.Number {
		t.Fatalf("number %d came again", f.Number)
	}
	// A peer that takes the new connection for the old one answers the old call.
	again.reply(t, old.Number, kindTest, "to one")
	again.reply(t, f.Number, kindTest, "to two")
	if a := <-second; a.err != nil || a.got != "to two" {
		t.Fatalf("got %q, %v", a.got, a.err)
	}
}

func TestReplyOfAnotherKindEndsTheConnection(t *testing.T) {
	line, accept := listen(t)
	first := ask(line, "one", 5*time.Second)
	other := accept()
	f, _ := other.next(t)
	other.reply(t, f.Number, kindTest+1, "of another kind")
	if a := <-first; !errors.Is(a.err, ErrCut) {
		t.Fatalf("got %q, %v", a.got, a.err)
	}
}

func TestCloseEndsAConnectionThatIsBeingMade(t *testing.T) {
	line, accept := listen(t)
	dialing(line)
	waiting := ask(line, "one", 5*time.Second)
	for queued := 0; queued == 0; time.Sleep(time.Millisecond) {
		line.lock.Lock()
		queued = len(line.queued)
		line.lock.Unlock()
	}
	line.Close()
	line.dial()
	if a := <-waiting; !errors.Is(a.err, ErrCut) {
		t.Fatalf("got %v", a.err)
	}
	if _, err := accept().reader.ReadByte(); err == nil {
		t.Fatal("a call was sent on a line that was closed")
	}
	line.lock.Lock()
	defer line.lock.Unlock()
	if line.conn != nil {
		t.Fatal("the connection stays")
	}
}

func TestServerAnswersOnTheConnectionOfTheCall(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	calls := make(chan Call, 2)
	go Serve(listener, Handlers{kindTest: func(call Call) { calls <- call }}, time.Second)
	one := NewLine(listener.Addr().String(), time.Second, time.Second)
	two := NewLine(listener.Addr().String(), time.Second, time.Second)
	// Both calls bear the same number, each on its own connection.
	first := ask(one, "one", 5*time.Second)
	held := <-calls
	second := ask(two, "two", 5*time.Second)
	(<-calls).Reply("to two")
	held.Reply("to one")
	if a := <-second; a.got != "to two" {
		t.Fatalf("got %q, %v", a.got, a.err)
	}
	if a := <-first; a.got != "to one" {
		t.Fatalf("got %q, %v", a.got, a.err)
	}
}
