package leader

import "sapphirepoint.example/sapphirepoint/core/rendezvous"

// distribute assigns each shard to the process with the highest score for it among those
// below an equal share. Without that bound one of six processes would often lead two of three
// shards, and fall behind. If the shards can't be divided equally, some processes have one
// more than others, and none has two more.
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

// score is a process's rendezvous score for a shard.
func score(id ID, shard int) uint64 { return rendezvous.Score(string(id), "shard", uint32(shard)) }
