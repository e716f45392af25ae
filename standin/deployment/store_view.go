package deployment

import (
	"context"
	"net"
	"net/http"

	"github.com/pkg/errors"
)

// View returns a row as some readers see it. It must not change the row's value in place.
type View func(Row) Row

// viewListener is a listener whose readers have a view of their own.
type viewListener struct {
	net.Listener
	view View
}

// viewKey is the key of a View in the context of a request.
type viewKey struct{}

// ListenWithView opens a further address of the store, on a free port, and returns it. Those who read rows there
// see them as the view returns them.
func (s *Store) ListenWithView(view View) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "listen")
	}
	go func() { _ = s.server.Serve(viewListener{l, view}) }()
	return l.Addr().String(), nil
}

// baseContext returns the context of all requests on a listener, which has the listener's view.
func baseContext(l net.Listener) context.Context {
	ctx := context.Background()
	if v, ok := l.(viewListener); ok {
		return context.WithValue(ctx, viewKey{}, v.view)
	}
	return ctx
}

// seenBy returns the rows as the sender of a request sees them.
func seenBy(r *http.Request, rows []Row) []Row {
	view, ok := r.Context().Value(viewKey{}).(View)
	if !ok {
		return rows
	}
	seen := make([]Row, len(rows))
	for i, row := range rows {
		seen[i] = view(row)
	}
	return seen
}
