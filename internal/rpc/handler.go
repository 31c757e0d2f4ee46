package rpc

// TypedHandler returns a handler that decodes the body of a call as T and passes it to
// handle with a function that sends the reply. A call whose body cannot be decoded is
// rejected, after onReject was told of it.
func TypedHandler[T, R any](handle func(in T, reply func(R)), onReject func(Call, error)) func(Call) {
	return func(call Call) {
		var in T
		if len(call.Body) > 0 {
			if err := Decode(call.Body, &in); err != nil {
				onReject(call, err)
				call.Reject(Undecodable)
				return
			}
		}
		handle(in, func(out R) { call.Reply(out) })
	}
}
