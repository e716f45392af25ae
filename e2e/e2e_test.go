// Package e2e runs the programs as separate processes over real sockets.
package e2e

import (
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

const fixedSeed = 20261202

func TestProcesses(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	suite, reporter := ginkgo.GinkgoConfiguration()
	suite.RandomSeed = fixedSeed
	ginkgo.RunSpecs(t, "separate processes", suite, reporter)
}
