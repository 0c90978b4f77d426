package httpframing

import "bytes"

// Requests follows the requests that a client writes to a connection. The zero value precedes the first.
type Requests struct {
	head   collector
	body   Body
	inBody bool
	last   Request
	// heads is the number of complete heads.
	heads int
}

// Request is the part of a request that decides how the response to it is framed.
type Request struct {
	// Head and Connect are set for these methods, and Upgrade if another protocol is asked for.
	Head, Connect, Upgrade bool
}

// Scan follows bytes that are about to be written.
func (r *Requests) Scan(p []byte) {
	for len(p) > 0 {
		if r.inBody {
			p = p[r.body.Scan(p):]
			r.inBody = !r.body.Done()
			continue
		}
		n, head := r.head.scan(p)
		p = p[n:]
		if head != nil {
			r.last, r.heads = parseRequest(head), r.heads+1
			r.body = ParseBody(head)
			r.inBody = !r.body.Done()
		}
	}
}

// Last returns the last request whose head is complete.
func (r *Requests) Last() Request { return r.last }

// Complete reports whether no request is written in part.
func (r *Requests) Complete() bool { return !r.inBody && r.head.empty() }

func parseRequest(head []byte) Request {
	method, _, _ := bytes.Cut(head, []byte{' '})
	return Request{
		Head: string(method) == "HEAD", Connect: string(method) == "CONNECT",
		Upgrade: bytes.Contains(head, []byte("\nUpgrade:")),
	}
}
