package org.catkingate.agent.weights;

import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.catkingate.model.Digest;

/**
 * Bounded off-heap memory for chunks, divided into reusable pages. Only chunks whose
 * digest has been verified can be read. Safe for use by any thread.
 *
 * @since 0.1
 */
public final class ChunkMemory {

	/** The size of a page, in bytes. */
	public static final int PAGE_BYTES = 64 * 1024;

	private final long maxPages;

	private final Deque<ByteBuffer> freePages = new ArrayDeque<>();

	private final Map<Digest, Chunk> chunks = new HashMap<>();

	private long allocatedPages;

	private long usedPages;

	private ChunkMemory(long maxPages) {
		this.maxPages = maxPages;
	}

	/**
	 * Creates an empty memory. Pages are allocated when first used.
	 * @param bytes the maximum size, in bytes
	 * @return the memory, never null
	 */
	public static ChunkMemory ofBytes(long bytes) {
		if (bytes < PAGE_BYTES) {
			throw new IllegalArgumentException("chunk memory must have at least " + PAGE_BYTES + " bytes");
		}
		return new ChunkMemory(bytes / PAGE_BYTES);
	}

	/**
	 * Reserves memory for a chunk that is about to arrive. Slices of it that were stored
	 * before are discarded, unless the chunk is verified.
	 * @param digest the chunk
	 * @param bytes its size, in bytes
	 * @throws WeightsException if the memory is full
	 */
	public void reserve(Digest digest, int bytes) throws WeightsException {
		synchronized (this.chunks) {
			Chunk present = this.chunks.get(digest);
			if (present != null && present.verified) {
				return;
			}
			discard(digest);
			this.chunks.put(digest, new Chunk(bytes, takePages(pageCount(bytes))));
		}
	}

	private List<ByteBuffer> takePages(int count) throws WeightsException {
		if (this.usedPages + count > this.maxPages) {
			throw new WeightsException(WeightsException.Kind.MEMORY_FULL,
					"chunk memory of " + this.maxPages * PAGE_BYTES
							+ " bytes is full; raise [weights] memory-mb or select fewer versions for this instance");
		}
		List<ByteBuffer> pages = new ArrayList<>(count);
		for (int i = 0; i < count; i++) {
			ByteBuffer page = this.freePages.poll();
			if (page == null) {
				page = ByteBuffer.allocateDirect(PAGE_BYTES);
				this.allocatedPages++;
			}
			pages.add(page);
		}
		this.usedPages += count;
		return pages;
	}

	/**
	 * Stores a slice of a chunk that has memory reserved and is not verified. Any other
	 * slice is ignored, since it arrived too late.
	 * @param digest the chunk
	 * @param offset the position of the slice in the chunk
	 * @param bytes the slice
	 * @return whether the slice was stored
	 */
	public boolean store(Digest digest, int offset, ByteBuffer bytes) {
		Chunk chunk = chunk(digest);
		return chunk != null && chunk.store(offset, bytes);
	}

	/**
	 * Verifies the digest of a chunk that has arrived completely. Afterwards the chunk
	 * can be read or, if the digest does not match, its memory is free.
	 * @param digest the chunk
	 * @return whether the chunk is now verified
	 */
	public boolean verify(Digest digest) {
		Chunk chunk = chunk(digest);
		if (chunk == null) {
			return false;
		}
		if (chunk.verify(digest)) {
			return true;
		}
		release(digest);
		return false;
	}

	/**
	 * Reads a slice of a verified chunk.
	 * @param digest the chunk
	 * @param offset the position of the first byte in the chunk
	 * @param length the number of bytes
	 * @return the bytes, or empty if the chunk is not held or is shorter
	 */
	public Optional<byte[]> read(Digest digest, int offset, int length) {
		Chunk chunk = chunk(digest);
		return (chunk != null) ? chunk.read(offset, length) : Optional.empty();
	}

	/**
	 * Frees the memory of a chunk.
	 * @param digest the chunk
	 */
	public void release(Digest digest) {
		synchronized (this.chunks) {
			discard(digest);
		}
	}

	private void discard(Digest digest) {
		Chunk chunk = this.chunks.remove(digest);
		if (chunk != null) {
			List<ByteBuffer> pages = chunk.detachPages();
			this.usedPages -= pages.size();
			this.freePages.addAll(pages);
		}
	}

	/**
	 * Returns the memory in use.
	 * @return the bytes of all pages that hold chunks
	 */
	public long usedBytes() {
		synchronized (this.chunks) {
			return this.usedPages * PAGE_BYTES;
		}
	}

	/**
	 * Returns the allocated memory.
	 * @return the bytes of all pages
	 */
	public long allocatedBytes() {
		synchronized (this.chunks) {
			return this.allocatedPages * PAGE_BYTES;
		}
	}

	private Chunk chunk(Digest digest) {
		synchronized (this.chunks) {
			return this.chunks.get(digest);
		}
	}

	private static int pageCount(int bytes) {
		return (bytes + PAGE_BYTES - 1) / PAGE_BYTES;
	}

	/**
	 * One chunk. Its own lock guards its pages, so that none is reused while it is read.
	 */
	private static final class Chunk {

		private final int bytes;

		private List<ByteBuffer> pages;

		private boolean verified;

		private Chunk(int bytes, List<ByteBuffer> pages) {
			this.bytes = bytes;
			this.pages = pages;
		}

		private synchronized boolean store(int offset, ByteBuffer source) {
			if (this.verified || offset < 0 || offset > this.bytes - source.remaining() || this.pages.isEmpty()) {
				return false;
			}
			int position = offset;
			ByteBuffer rest = source.duplicate();
			while (rest.hasRemaining()) {
				ByteBuffer page = this.pages.get(position / PAGE_BYTES);
				int start = position % PAGE_BYTES;
				int count = Math.min(rest.remaining(), PAGE_BYTES - start);
				page.put(start, rest, rest.position(), count);
				rest.position(rest.position() + count);
				position += count;
			}
			return true;
		}

		private synchronized boolean verify(Digest expected) {
			if (this.pages.isEmpty()) {
				return false;
			}
			MessageDigest sha256 = Digest.createSha256();
			int rest = this.bytes;
			for (ByteBuffer page : this.pages) {
				int count = Math.min(rest, PAGE_BYTES);
				sha256.update(page.duplicate().clear().limit(count));
				rest -= count;
			}
			this.verified = Digest.ofHash(sha256.digest()).equals(expected);
			return this.verified;
		}

		private synchronized Optional<byte[]> read(int offset, int length) {
			if (!this.verified || offset < 0 || length < 0 || offset > this.bytes - length || this.pages.isEmpty()) {
				return Optional.empty();
			}
			byte[] result = new byte[length];
			int done = 0;
			while (done < length) {
				int position = offset + done;
				int start = position % PAGE_BYTES;
				int count = Math.min(length - done, PAGE_BYTES - start);
				this.pages.get(position / PAGE_BYTES).get(start, result, done, count);
				done += count;
			}
			return Optional.of(result);
		}

		private synchronized List<ByteBuffer> detachPages() {
			List<ByteBuffer> detached = this.pages;
			this.pages = List.of();
			this.verified = false;
			return detached;
		}

	}

}
