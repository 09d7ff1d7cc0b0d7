package org.catkingate.decisions.distribution;

import java.util.BitSet;
import java.util.Objects;

/**
 * A set of chunks of one manifest, by index. Immutable and safe for use by any thread.
 *
 * @since 0.1
 */
public final class ChunkSet {

	private static final ChunkSet EMPTY = new ChunkSet(new BitSet());

	private final BitSet bits;

	private ChunkSet(BitSet bits) {
		this.bits = bits;
	}

	/**
	 * Returns the empty set.
	 * @return the set, never null
	 */
	public static ChunkSet empty() {
		return EMPTY;
	}

	/**
	 * Creates a set from a bitfield.
	 * @param bitfield a bit for each chunk, lowest bit first
	 * @return the set, never null
	 */
	public static ChunkSet of(byte[] bitfield) {
		return new ChunkSet(BitSet.valueOf(Objects.requireNonNull(bitfield, "bitfield must not be null")));
	}

	/**
	 * Returns the set as a bitfield.
	 * @return a bit for each chunk, lowest bit first, without trailing zero bytes
	 */
	public byte[] toBitfield() {
		return this.bits.toByteArray();
	}

	/**
	 * Returns a copy of the set with a chunk added.
	 * @param index the chunk's index
	 * @return the copy, never null
	 */
	public ChunkSet with(int index) {
		BitSet copy = (BitSet) this.bits.clone();
		copy.set(index);
		return new ChunkSet(copy);
	}

	/**
	 * Returns a copy of the set with a chunk removed.
	 * @param index the chunk's index
	 * @return the copy, never null
	 */
	public ChunkSet without(int index) {
		BitSet copy = (BitSet) this.bits.clone();
		copy.clear(index);
		return new ChunkSet(copy);
	}

	/**
	 * Returns whether the set contains a chunk.
	 * @param index the chunk's index
	 * @return whether the chunk is contained
	 */
	public boolean contains(int index) {
		return this.bits.get(index);
	}

	/**
	 * Returns the number of chunks in the set.
	 * @return the number of chunks
	 */
	public int count() {
		return this.bits.cardinality();
	}

	@Override
	public boolean equals(Object other) {
		return other instanceof ChunkSet set && set.bits.equals(this.bits);
	}

	@Override
	public int hashCode() {
		return this.bits.hashCode();
	}

	@Override
	public String toString() {
		return this.bits.toString();
	}

}
