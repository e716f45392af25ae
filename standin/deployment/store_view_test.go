package deployment

import (
	"encoding/json"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against readers at one address of the store who see the rows of another one, in a read or in the feed.
func TestRowsAreSeenByTheViewOfAnAddress(t *testing.T) {
	g := NewWithT(t)
	s, err := NewStore()
	g.Expect(err).NotTo(HaveOccurred())
	defer s.Close()
	s.PutRaw("table", "key", []byte("stored"))
	other, err := s.ListenWithView(func(r Row) Row {
		r.Value = []byte("seen " + r.Key)
		return r
	})
	g.Expect(err).NotTo(HaveOccurred())
	for _, path := range []string{"/rows-get?table=table", "/rows-feed?table=table&dependsOn=0&waitMs=0"} {
		g.Expect(readValues(g, s.Address(), path)).To(Equal([]string{"stored"}))
		g.Expect(readValues(g, other, path)).To(Equal([]string{"seen key"}))
	}
}

// readValues returns the values of the rows that a call to the store answers.
func readValues(g *WithT, address, path string) []string {
	res, err := http.Get("http://" + address + path)
	g.Expect(err).NotTo(HaveOccurred())
	defer res.Body.Close()
	var a struct{ Rows []Row }
	g.Expect(json.NewDecoder(res.Body).Decode(&a)).To(Succeed())
	var values []string
	for _, r := range a.Rows {
		values = append(values, string(r.Value))
	}
	return values
}
