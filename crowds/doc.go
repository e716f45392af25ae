// Package crowds has tests in which crowds of clients that don't behave call real entry processes. A process
// must live on, stay within the memory and the descriptors of its machine, and answer an ordinary request.
//
// The tests run one at a time, apart from other load:
//
//	go test -count=1 -p 1 -timeout 40m ./crowds -crowds
package crowds
