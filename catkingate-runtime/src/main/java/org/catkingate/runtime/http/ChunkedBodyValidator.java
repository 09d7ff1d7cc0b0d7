package org.catkingate.runtime.http;

import java.nio.ByteBuffer;

/**
 * A validator of the bytes of one body in chunks. It accepts only what each HTTP
 * implementation reads the same way: lines end with CR LF, a chunk is as long as its
 * size, and lines hold no control characters. All chunks together hold at most as many
 * bytes as a body may have. Not thread-safe.
 *
 * @since 0.1
 */
public final class ChunkedBodyValidator {

	/** The maximum number of digits of a size, including leading zeros. */
	private static final int MAX_SIZE_DIGITS = 15;

	private static final int MAX_EXTENSION_BYTES = 1024;

	private static final int MAX_TRAILER_BYTES = 8 * 1024;

	private static final int HEXADECIMAL = 16;

	private final long maxBodyBytes;

	private State state = State.SIZE;

	private long bodyBytes;

	private long remainingBytes;

	private int sizeDigits;

	private int lineBytes;

	private int trailerBytes;

	private boolean colonSeen;

	/**
	 * Creates a validator.
	 * @param maxBodyBytes the maximum length of the body without sizes and trailers, in
	 * bytes
	 */
	public ChunkedBodyValidator(long maxBodyBytes) {
		this.maxBodyBytes = maxBodyBytes;
	}

	/**
	 * Reads bytes up to the end of the body; bytes behind it are left in the buffer.
	 * @param bytes the next bytes
	 * @return the result so far; once it is not {@link Result#INCOMPLETE} it does not
	 * change
	 */
	public Result read(ByteBuffer bytes) {
		while (bytes.hasRemaining() && !this.state.isEnd()) {
			if (this.state == State.DATA) {
				skipData(bytes);
			}
			else {
				this.state = next(bytes.get() & 0xff);
			}
		}
		return switch (this.state) {
			case COMPLETE -> Result.COMPLETE;
			case MALFORMED -> Result.MALFORMED;
			case TOO_LONG -> Result.TOO_LONG;
			default -> Result.INCOMPLETE;
		};
	}

	private void skipData(ByteBuffer bytes) {
		int skipped = (int) Math.min(bytes.remaining(), this.remainingBytes);
		bytes.position(bytes.position() + skipped);
		this.remainingBytes -= skipped;
		if (this.remainingBytes == 0) {
			this.state = State.CR_BEHIND_DATA;
		}
	}

	private State next(int character) {
		return switch (this.state) {
			case SIZE -> nextInSize(character);
			case SPACE_BEHIND_SIZE -> nextInSpace(character);
			case EXTENSION -> nextInExtension(character);
			case LF_BEHIND_SIZE -> (character == '\n') ? startData() : State.MALFORMED;
			case CR_BEHIND_DATA -> (character == '\r') ? State.LF_BEHIND_DATA : State.MALFORMED;
			case LF_BEHIND_DATA -> (character == '\n') ? startSize() : State.MALFORMED;
			case TRAILER_START -> nextInTrailerStart(character);
			case TRAILER -> nextInTrailer(character);
			case LF_BEHIND_TRAILER -> (character == '\n') ? State.TRAILER_START : State.MALFORMED;
			case LAST_LF -> (character == '\n') ? State.COMPLETE : State.MALFORMED;
			default -> throw new IllegalStateException("no byte is expected in state " + this.state);
		};
	}

	private State startSize() {
		this.sizeDigits = 0;
		this.lineBytes = 0;
		return State.SIZE;
	}

	private State nextInSize(int character) {
		int digit = (character < 128) ? Character.digit(character, HEXADECIMAL) : -1;
		if (digit >= 0) {
			this.sizeDigits++;
			this.remainingBytes = HEXADECIMAL * this.remainingBytes + digit;
			return (this.sizeDigits <= MAX_SIZE_DIGITS) ? State.SIZE : State.MALFORMED;
		}
		return (this.sizeDigits > 0) ? nextInSpace(character, true) : State.MALFORMED;
	}

	private State nextInSpace(int character) {
		this.lineBytes++;
		return (this.lineBytes <= MAX_EXTENSION_BYTES) ? nextInSpace(character, false) : State.MALFORMED;
	}

	private State nextInSpace(int character, boolean endAllowed) {
		if (character == ' ' || character == '\t') {
			return State.SPACE_BEHIND_SIZE;
		}
		if (character == ';') {
			return State.EXTENSION;
		}
		return (endAllowed && character == '\r') ? State.LF_BEHIND_SIZE : State.MALFORMED;
	}

	private State nextInExtension(int character) {
		this.lineBytes++;
		if (character == '\r') {
			return State.LF_BEHIND_SIZE;
		}
		return (isText(character) && this.lineBytes <= MAX_EXTENSION_BYTES) ? State.EXTENSION : State.MALFORMED;
	}

	private State startData() {
		if (this.remainingBytes == 0) {
			return State.TRAILER_START;
		}
		this.bodyBytes += this.remainingBytes;
		return (this.bodyBytes <= this.maxBodyBytes) ? State.DATA : State.TOO_LONG;
	}

	private State nextInTrailerStart(int character) {
		if (character == '\r') {
			return State.LAST_LF;
		}
		this.colonSeen = false;
		return (character != ' ' && character != '\t' && character != ':') ? nextInTrailer(character) : State.MALFORMED;
	}

	private State nextInTrailer(int character) {
		this.trailerBytes++;
		if (character == '\r') {
			return this.colonSeen ? State.LF_BEHIND_TRAILER : State.MALFORMED;
		}
		this.colonSeen = this.colonSeen || character == ':';
		return (isText(character) && this.trailerBytes <= MAX_TRAILER_BYTES) ? State.TRAILER : State.MALFORMED;
	}

	private static boolean isText(int character) {
		return character == '\t' || (character >= ' ' && character != 127);
	}

	/**
	 * The result of the bytes read so far.
	 */
	public enum Result {

		/** More bytes are expected. */
		INCOMPLETE,

		/** The body has ended. */
		COMPLETE,

		/** The bytes are not a body in chunks. */
		MALFORMED,

		/** The body is longer than allowed. */
		TOO_LONG

	}

	private enum State {

		SIZE, SPACE_BEHIND_SIZE, EXTENSION, LF_BEHIND_SIZE, DATA, CR_BEHIND_DATA, LF_BEHIND_DATA, TRAILER_START,
		TRAILER, LF_BEHIND_TRAILER, LAST_LF, COMPLETE, MALFORMED, TOO_LONG;

		boolean isEnd() {
			return this == COMPLETE || this == MALFORMED || this == TOO_LONG;
		}

	}

}
