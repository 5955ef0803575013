package engine

// PrefixBlockBytes is the length of the blocks in which prompt prefixes are hashed
// and cached, and PrefixBlockTokens the approximate number of tokens in one block.
const (
	PrefixBlockBytes  = 256
	PrefixBlockTokens = PrefixBlockBytes / BytesPerToken
)

// Parameters of 64-bit FNV-1a. Unlike hash/maphash it has no random seed, because
// engines and routers must compute the same hashes.
const (
	fnvOffset uint64 = 14695981039346656037
	fnvPrime  uint64 = 1099511628211
)

// PrefixHashes returns one hash for each prefix of prompt that consists of whole
// blocks: element i identifies the first i+1 blocks. Two prompts have the same
// element i when their first i+1 blocks are equal. A prompt shorter than one block
// has no hashes. The hash does not resist crafted collisions, so a match may guide
// placement but must never determine the content of an answer.
func PrefixHashes(prompt string) []uint64 {
	n := len(prompt) / PrefixBlockBytes
	if n == 0 {
		return nil
	}
	hashes := make([]uint64, n)
	h := fnvOffset
	for i := range hashes {
		h = hashBlock(h, prompt[i*PrefixBlockBytes:(i+1)*PrefixBlockBytes])
		hashes[i] = h
	}
	return hashes
}

func hashBlock(h uint64, block string) uint64 {
	for i := 0; i < len(block); i++ {
		h ^= uint64(block[i])
		h *= fnvPrime
	}
	return h
}
