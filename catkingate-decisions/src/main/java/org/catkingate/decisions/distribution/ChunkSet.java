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
	 * Reads a bitfield.
	 * @param bitfield a bit for each chunk, lowest bit first
	 * @return the set, never null
	 */
	public static ChunkSet of(byte[] bitfield) {
		return new ChunkSet(BitSet.valueOf(Objects.requireNonNull(bitfield, "bitfield must not be null")));
	}

	/**
	 * Writes the set as a bitfield.
	 * @return a bit for each chunk, lowest bit first, without trailing zero bytes
	 */
	public byte[] toBitfield() {
		return this.bits.toByteArray();
	}

	/**
	 * Adds a chunk.
	 * @param index the chunk's index
	 * @return the larger set, never null
	 */
	public ChunkSet with(int index) {
		BitSet more = (BitSet) this.bits.clone();
		more.set(index);
		return new ChunkSet(more);
	}

	/**
	 * Removes a chunk.
	 * @param index the chunk's index
	 * @return the smaller set, never null
	 */
	public ChunkSet without(int index) {
		BitSet fewer = (BitSet) this.bits.clone();
		fewer.clear(index);
		return new ChunkSet(fewer);
	}

	/**
	 * Tells whether a chunk belongs to the set.
	 * @param index the chunk's index
	 * @return whether it does
	 */
	public boolean contains(int index) {
		return this.bits.get(index);
	}

	/**
	 * Counts the chunks.
	 * @return how many belong to the set
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
