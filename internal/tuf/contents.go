package tuf

import (
	"bytes"
	"crypto/sha256"
	"crypto/sha512"
	"errors"
	"fmt"
	"hash"

	"laurelring/internal/mirrorpool"
	"laurelring/internal/store"
	"laurelring/internal/verifiedmetadata"
)

// metadataContents is the destination of a metadata file. It holds the file in memory and verifies it when it is
// complete.
type metadataContents struct {
	bytes.Buffer
	fetch  *mirrorpool.Fetch
	verify func(contents []byte) error
}

func (c *metadataContents) begin(int64) error {
	c.Reset()
	c.fetch.Restart()
	return nil
}

func (c *metadataContents) verifiedBytes() int64 { return 0 }

func (c *metadataContents) finish() error { return c.verify(c.Bytes()) }

// targetContents is the destination of a target. If the role lists hashes of blocks, each block is verified before it
// is written, so that another mirror can continue after the last verified block.
type targetContents struct {
	target   *verifiedmetadata.Target
	writer   *store.TargetWriter
	fetch    *mirrorpool.Fetch // nil if the contents are read from the store
	hashes   map[string]hash.Hash
	written  int64  // bytes written to the writer
	skip     int64  // bytes to discard from the attempt, because they are already written
	block    []byte // the current block, not yet complete or not yet verified
	blockErr error  // error of the last block that did not verify
}

func newTargetContents(target *verifiedmetadata.Target, writer *store.TargetWriter, fetch *mirrorpool.Fetch) *targetContents {
	c := &targetContents{target: target, writer: writer, fetch: fetch}
	c.resetHashes()
	return c
}

func (c *targetContents) resetHashes() {
	c.hashes = map[string]hash.Hash{}
	for algorithm := range c.target.Hashes {
		if algorithm == "sha512" {
			c.hashes[algorithm] = sha512.New()
		} else {
			c.hashes[algorithm] = sha256.New()
		}
	}
}

func (c *targetContents) begin(offset int64) error {
	c.block = c.block[:0]
	if c.target.BlockSize > 0 {
		c.skip = c.written - offset // above 0 if the mirror sends the whole file instead of a range
		return nil
	}
	// Without block hashes no part of the file is verified before its end, so each attempt starts at the first byte.
	c.fetch.Restart()
	c.written = 0
	c.resetHashes()
	return wrapStorageError(c.writer.Reset())
}

var errWrongBlock = errors.New("block does not match its hash")

func (c *targetContents) Write(data []byte) (int, error) {
	if c.target.BlockSize == 0 {
		return len(data), c.write(data)
	}
	rest := data[min(c.skip, int64(len(data))):]
	c.skip -= int64(len(data) - len(rest))
	for len(rest) > 0 {
		size := min(c.target.BlockSize, c.target.Length-c.written)
		n := min(len(rest), int(size)-len(c.block))
		if n <= 0 {
			break // the file is complete
		}
		c.block, rest = append(c.block, rest[:n]...), rest[n:]
		if int64(len(c.block)) < size {
			break
		}
		if err := c.writeBlock(); err != nil {
			return 0, err
		}
	}
	return len(data), nil
}

// writeBlock verifies a complete block and writes it.
func (c *targetContents) writeBlock() error {
	index := c.written / c.target.BlockSize
	if digest := sha256.Sum256(c.block); !bytes.Equal(digest[:], c.target.BlockHashes[index]) {
		c.blockErr = c.contentError(verifiedmetadata.ReasonWrongHash, fmt.Sprintf("block %d", index))
		return errWrongBlock
	}
	if err := c.write(c.block); err != nil {
		return err
	}
	c.block = c.block[:0]
	return nil
}

func (c *targetContents) write(data []byte) error {
	for _, h := range c.hashes {
		h.Write(data)
	}
	n, err := c.writer.Write(data)
	c.written += int64(n)
	return wrapStorageError(err)
}

func (c *targetContents) verifiedBytes() int64 {
	if c.target.BlockSize == 0 {
		return 0
	}
	return c.written
}

// finish verifies the length and all listed hashes of the whole target.
func (c *targetContents) finish() error {
	if c.written != c.target.Length {
		return c.contentError(verifiedmetadata.ReasonWrongLength, fmt.Sprintf("got %d of %d bytes", c.written, c.target.Length))
	}
	for _, algorithm := range []string{"sha256", "sha512"} {
		want := c.target.Hashes[algorithm]
		if want != nil && !bytes.Equal(c.hashes[algorithm].Sum(nil), want) {
			return c.contentError(verifiedmetadata.ReasonWrongHash, algorithm)
		}
	}
	return nil
}

func (c *targetContents) contentError(reason verifiedmetadata.Reason, detail string) error {
	return &verifiedmetadata.VerificationError{Reason: reason, Subject: c.target.Path, Detail: detail}
}
