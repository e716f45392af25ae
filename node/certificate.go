package node

import (
	"context"
	"net/http"
)

// certificateKey is the context key of the name in a client certificate.
type certificateKey struct{}

// withCertificateName adds the common name of a verified client certificate to the
// request's context.
func withCertificateName(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.TLS != nil && len(r.TLS.VerifiedChains) > 0 {
			name := r.TLS.VerifiedChains[0][0].Subject.CommonName
			r = r.WithContext(context.WithValue(r.Context(), certificateKey{}, name))
		}
		next.ServeHTTP(w, r)
	})
}

func certificateName(ctx context.Context) (string, bool) {
	name, ok := ctx.Value(certificateKey{}).(string)
	return name, ok && name != ""
}
