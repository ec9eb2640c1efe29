package hitchconfig

import (
	"fmt"
	"runtime"
	"testing"

	"citronhitch.example/citronhitch/hitchfleet"
)

// BenchmarkConfigurationSize measures how the configuration grows with the number
// of organisations: its encoded size, the time to decode and check it, and the
// heap memory of a configuration with its index.
//
//	go test -run '^$' -bench ConfigurationSize ./hitchconfig
func BenchmarkConfigurationSize(b *testing.B) {
	for _, organisations := range []int{52, 105, 210, 420} {
		b.Run(fmt.Sprintf("organisations=%d", organisations), func(b *testing.B) {
			c := configurationOfSize(b, organisations)
			data, err := c.Encode()
			if err != nil {
				b.Fatal(err)
			}
			held := heapUse(b, data)
			for b.Loop() {
				if _, err := Decode(data); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(data)), "value-bytes")
			b.ReportMetric(float64(held), "heap-bytes")
		})
	}
}

// configurationOfSize returns the large configuration scaled to the given number
// of organisations, with endpoints in proportion.
func configurationOfSize(b *testing.B, organisations int) Configuration {
	c := largeConfiguration()
	c.Organisations = c.Organisations[:min(len(c.Organisations), organisations)]
	for i := 210; i < organisations; i++ {
		o := organisation(fmt.Sprintf("organisation-%03d", i), c.Organisations[0].Routes...)
		c = c.WithOrganisation(o.WithKeys(append(o.Keys, APIKey{HashKey(fmt.Sprint("old ", i)), start})))
	}
	endpoints := 760 * organisations / 210
	c.Endpoints = c.Endpoints[:min(len(c.Endpoints), endpoints)]
	for i := 760; i < endpoints; i++ {
		c = c.WithEndpoint(EndpointRule{ID: hitchfleet.EndpointID(fmt.Sprintf("engine-%04d", i)), ChecksFencing: true})
	}
	return c
}

// heapUse returns the heap memory that a decoded configuration and its index use.
func heapUse(b *testing.B, data []byte) int64 {
	before := heapBytes()
	c, err := Decode(data)
	if err != nil {
		b.Fatal(err)
	}
	x := c.Index()
	held := heapBytes() - before
	runtime.KeepAlive(x)
	return held
}

func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
