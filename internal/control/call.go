package control

import (
	"time"

	"github.com/juju/errors"

	"ploverhitch/internal/apierror"
	"ploverhitch/internal/codec"
	"ploverhitch/internal/membership"
	"ploverhitch/internal/messages"
	"ploverhitch/internal/rpc"
)

func (n *node) connection(address string) *rpc.Client {
	n.mu.Lock()
	defer n.mu.Unlock()
	connection := n.connections[address]
	if connection == nil {
		connection = rpc.NewClient(address, connectTimeout, silenceTimeout)
		connection.OnReject = func(err *rpc.RejectedError) {
			n.log("error", "a node rejected a call", "node", address, "count", n.rejectedCalls.Add(1), "error", err)
		}
		n.connections[address] = connection
	}
	return connection
}

// call sends a request to a member, which may be this node itself.
func (n *node) call(member string, kind rpc.Kind, request, reply any, timeout time.Duration) error {
	if member != n.self {
		return n.connection(member).Call(kind, request, reply, timeout)
	}
	return n.callSelf(kind, request, reply, timeout)
}

// callSelf passes a request to this node's own handler. As on a connection, the reply
// is encoded while the handler runs, since the handler's data may change afterwards.
// Only the first reply counts; late and further replies are discarded without blocking.
func (n *node) callSelf(kind rpc.Kind, request, result any, timeout time.Duration) error {
	handle, known := n.callHandlers[kind]
	if !known {
		return errors.NotImplementedf("handler for calls of kind %d", kind)
	}
	body, err := codec.Marshal(request)
	if err != nil {
		return errors.Trace(err)
	}
	replies, rejections := make(chan []byte, 1), make(chan rpc.Rejection, 1)
	reject := func(rejection rpc.Rejection) {
		select {
		case rejections <- rejection:
		default:
		}
	}
	handle(rpc.Call{Kind: kind, Body: body, SendRejection: reject, Reply: func(reply any) bool {
		data, err := codec.Marshal(reply)
		if err != nil {
			return false
		}
		select {
		case replies <- data:
			return true
		default:
			return false
		}
	}})
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case data := <-replies:
		if result == nil {
			return nil
		}
		return rpc.Decode(data, result)
	case rejection := <-rejections:
		return &rpc.RejectedError{Kind: kind, Bytes: len(body), Rejection: rejection}
	case <-timer.C:
		return errors.Timeoutf("call to this node")
	}
}

// callAll calls all members concurrently and passes the replies to enough in order of
// arrival. It returns once enough returns true or all calls have ended.
func callAll[T any](n *node, members []string, kind rpc.Kind, request any, timeout time.Duration, enough func(member string, reply T) bool) {
	type memberReply struct {
		member string
		reply  T
		err    error
	}
	replies := make(chan memberReply, len(members))
	for _, member := range members {
		go func() {
			r := memberReply{member: member}
			r.err = n.call(member, kind, request, &r.reply, timeout)
			replies <- r
		}()
	}
	for range members {
		if r := <-replies; r.err == nil && enough(r.member, r.reply) {
			return
		}
	}
}

// majorityDone calls all members and reports whether a majority of the view confirms
// that the request is done.
func (n *node) majorityDone(view membership.View, kind rpc.Kind, request any, timeout time.Duration) bool {
	count := 0
	callAll(n, view.Members, kind, request, timeout, func(_ string, done messages.Ack) bool {
		if done.OK {
			count++
		}
		return count >= view.Majority()
	})
	return count >= view.Majority()
}

// leader returns the leader's address as far as this node knows it, else "".
func (n *node) leader() (leader string) {
	n.store.read(func(t *tables) { leader = t.term.Holder })
	return leader
}

// maxCommandAttempts is how often a command is sent to the leader, each time with a newer
// base.
const maxCommandAttempts = 3

// callLeader forwards an operator's command to the leader, whichever node received it.
// command returns the command with its base. The caller is asked for after the base is
// known: whoever tells the caller later that the command is rejected does so after that
// state of the leader.
func (n *node) callLeader(kind rpc.Kind, caller orderCaller, command func(base *messages.CommandBase) any) error {
	for range maxCommandAttempts {
		base := n.lastCommandBase()
		if caller.HasLeft() {
			return errAbandoned
		}
		leader := n.leader()
		var result messages.OrderResponse
		if leader == "" || n.call(leader, kind, command(&base), &result, commandTimeout) != nil {
			return apierror.New(apierror.ControlPlaneUnavailable, "the leader does not respond")
		}
		if !result.IsStale || result.CommandBase == nil {
			return resultError(result)
		}
		n.knownCommandBase.Store(result.CommandBase)
	}
	return apierror.New(apierror.ControlPlaneUnavailable, "the leader rejects other commands at the same time")
}

// lastCommandBase returns the last state of the leader that this node was told.
func (n *node) lastCommandBase() messages.CommandBase {
	if known := n.knownCommandBase.Load(); known != nil {
		return *known
	}
	return messages.CommandBase{}
}
