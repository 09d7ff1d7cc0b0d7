package org.catkingate.agent.weights;

import java.nio.ByteBuffer;
import java.util.Random;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.catkingate.model.Digest;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Tests for {@link ChunkMemory}.
 */
class ChunkMemoryTests {

	private static final int CHUNK_BYTES = 100_000;

	private final ChunkMemory memory = ChunkMemory.ofBytes(4L * ChunkMemory.PAGE_BYTES);

	private final byte[] content = content(1);

	private final Digest digest = Digest.of(this.content);

	private static byte[] content(long seed) {
		byte[] bytes = new byte[CHUNK_BYTES];
		new Random(seed).nextBytes(bytes);
		return bytes;
	}

	private void storeAll(Digest chunk, byte[] bytes) {
		for (int offset = 0; offset < CHUNK_BYTES; offset += 33_333) {
			int length = Math.min(33_333, CHUNK_BYTES - offset);
			assertThat(this.memory.store(chunk, offset, ByteBuffer.wrap(bytes, offset, length))).isTrue();
		}
	}

	@Nested
	class AChunk {

		@Test
		void canBeReadOnceVerified() throws WeightsException {
			ChunkMemoryTests.this.memory.reserve(ChunkMemoryTests.this.digest, CHUNK_BYTES);
			storeAll(ChunkMemoryTests.this.digest, ChunkMemoryTests.this.content);
			assertThat(ChunkMemoryTests.this.memory.read(ChunkMemoryTests.this.digest, 0, 10)).isEmpty();
			assertThat(ChunkMemoryTests.this.memory.verify(ChunkMemoryTests.this.digest)).isTrue();
			assertThat(ChunkMemoryTests.this.memory.read(ChunkMemoryTests.this.digest, 0, CHUNK_BYTES))
				.contains(ChunkMemoryTests.this.content);
		}

		@Test
		void isNeitherKeptNorReadIfItIsCorrupt() throws WeightsException {
			ChunkMemoryTests.this.memory.reserve(ChunkMemoryTests.this.digest, CHUNK_BYTES);
			storeAll(ChunkMemoryTests.this.digest, content(2));
			assertThat(ChunkMemoryTests.this.memory.verify(ChunkMemoryTests.this.digest)).isFalse();
			assertThat(ChunkMemoryTests.this.memory.read(ChunkMemoryTests.this.digest, 0, 1)).isEmpty();
			assertThat(ChunkMemoryTests.this.memory.usedBytes()).isZero();
		}

		@Test
		void cannotBeChangedOnceVerified() throws WeightsException {
			canBeReadOnceVerified();
			ByteBuffer late = ByteBuffer.wrap(content(3));
			assertThat(ChunkMemoryTests.this.memory.store(ChunkMemoryTests.this.digest, 0, late)).isFalse();
			ChunkMemoryTests.this.memory.reserve(ChunkMemoryTests.this.digest, CHUNK_BYTES);
			assertThat(ChunkMemoryTests.this.memory.read(ChunkMemoryTests.this.digest, 0, CHUNK_BYTES))
				.contains(ChunkMemoryTests.this.content);
		}

	}

	@Nested
	class AFullMemory {

		@Test
		void rejectsChunksAndNamesTheSettingToRaise() throws WeightsException {
			ChunkMemoryTests.this.memory.reserve(Digest.of(new byte[] { 1 }), CHUNK_BYTES);
			ChunkMemoryTests.this.memory.reserve(Digest.of(new byte[] { 2 }), CHUNK_BYTES);
			assertThatExceptionOfType(WeightsException.class)
				.isThrownBy(() -> ChunkMemoryTests.this.memory.reserve(Digest.of(new byte[] { 3 }), 1))
				.withMessageContaining("raise [weights] memory-mb");
		}

		@Test
		void reusesThePagesOfReleasedChunks() throws WeightsException {
			for (int i = 0; i < 100; i++) {
				Digest chunk = Digest.of(new byte[] { (byte) i });
				ChunkMemoryTests.this.memory.reserve(chunk, CHUNK_BYTES);
				ChunkMemoryTests.this.memory.release(chunk);
			}
			assertThat(ChunkMemoryTests.this.memory.allocatedBytes()).isEqualTo(2L * ChunkMemory.PAGE_BYTES);
		}

	}

}
