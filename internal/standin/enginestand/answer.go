package enginestand

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strconv"
	"strings"
)

// bytesPerToken is the rough length of a token of the prompt.
const bytesPerToken = 4

// Digest returns the digest of messages that an answer to them carries. Space in the JSON does not
// count.
func Digest(messages []json.RawMessage) string {
	h := sha256.New()
	for _, m := range messages {
		h.Write(compact(m))
		h.Write([]byte{'\n'})
	}
	return hex.EncodeToString(h.Sum(nil)[:8])
}

func compact(m json.RawMessage) []byte {
	var b bytes.Buffer
	if err := json.Compact(&b, m); err != nil {
		return m
	}
	return b.Bytes()
}

// Tokens returns the tokens of an answer. They are a function of the messages: the first one is the
// digest, so that an answer to another history can be told.
func Tokens(messages []json.RawMessage, n int) []string {
	tokens := make([]string, 0, n)
	tokens = append(tokens, Digest(messages))
	for i := 1; i < n; i++ {
		tokens = append(tokens, " w"+strconv.Itoa(i))
	}
	return tokens[:n]
}

// Answer returns the text of an answer with n tokens.
func Answer(messages []json.RawMessage, n int) string {
	return strings.Join(Tokens(messages, n), "")
}

// promptTokens returns the tokens of one message.
func promptTokens(m json.RawMessage) int64 {
	return int64(len(compact(m))/bytesPerToken + 1)
}
