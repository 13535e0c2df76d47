package enginestand

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strconv"
	"strings"
)

// bytesPerToken is the approximate length of a prompt token in bytes of JSON.
const bytesPerToken = 4

// Digest returns the digest of messages that the answer to them starts with. White space in the JSON has no
// influence.
func Digest(messages []json.RawMessage) string {
	h := sha256.New()
	for _, m := range messages {
		h.Write(compact(m))
		h.Write([]byte{'\n'})
	}
	return hex.EncodeToString(h.Sum(nil)[:8])
}

// compact returns a message without white space, or unchanged if it is not JSON.
func compact(m json.RawMessage) []byte {
	var b bytes.Buffer
	if err := json.Compact(&b, m); err != nil {
		return m
	}
	return b.Bytes()
}

// Tokens returns the n tokens of the answer to messages, which depend only on the messages. The first one is
// their digest, so that a test can detect an answer to other messages.
func Tokens(messages []json.RawMessage, n int) []string {
	tokens := make([]string, 0, n)
	tokens = append(tokens, Digest(messages))
	for i := 1; i < n; i++ {
		tokens = append(tokens, " w"+strconv.Itoa(i))
	}
	return tokens[:n]
}

// Answer returns the text of the answer to messages with n tokens.
func Answer(messages []json.RawMessage, n int) string {
	return strings.Join(Tokens(messages, n), "")
}

// messageTokens returns the number of prompt tokens of a message.
func messageTokens(m json.RawMessage) int64 {
	return int64(len(compact(m))/bytesPerToken + 1)
}
