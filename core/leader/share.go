package leader

import "sapphirepoint.example/sapphirepoint/core/rendezvous"

// distribute divides shards among processes: each goes to the one that scores highest
// for it of those that haven't an equal distribute yet. Without that bound one of six
// would often have two shards of three, and fall behind. Where the shards can't be
// divided equally some processes have one more, and none has two more.
func distribute(processes []ID, shards []int) map[int]ID {
	minimum, extra := len(shards)/len(processes), len(shards)%len(processes)
	counts := make(map[ID]int, len(processes))
	owners := make(map[int]ID, len(shards))
	for _, s := range shards {
		var top uint64
		for _, id := range processes {
			if counts[id] > minimum || counts[id] == minimum && extra == 0 {
				continue
			}
			if h := score(id, s); owners[s] == "" || h > top {
				owners[s], top = id, h
			}
		}
		if counts[owners[s]] == minimum {
			extra--
		}
		counts[owners[s]]++
	}
	return owners
}

func score(id ID, shard int) uint64 { return rendezvous.Score(string(id), "shard", uint32(shard)) }
