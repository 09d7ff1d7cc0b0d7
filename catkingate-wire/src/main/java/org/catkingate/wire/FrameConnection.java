package org.catkingate.wire;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.security.SecureRandom;
import java.util.ArrayDeque;
import java.util.Objects;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.LongAdder;
import java.util.zip.CRC32C;

import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/**
 * One TCP connection that carries messages in frames: a length of four bytes, the CRC-32C
 * of the message in four more, and the message. Lengths are checked before allocation, a
 * frame whose bytes do not fit its checksum closes the connection, and only the handshake
 * is accepted until the peer has proved the shared key.
 * <p>
 * {@link #send} and {@link #close} may be called by any thread; everything else of the
 * connection, the listener's calls included, happens on one I/O thread. Messages of one
 * sending thread arrive in order.
 *
 * @since 0.1
 */
public final class FrameConnection {

	private static final int READ_BUFFER_BYTES = 64 * 1024;

	private static final int BUFFERS_PER_WRITE = 64;

	private static final int CHALLENGE_BYTES = 32;

	private static final int PROTOCOL_VERSION = 1;

	private static final SecureRandom RANDOM = new SecureRandom();

	private static final ThreadLocal<ByteBuffer> READ_BUFFER = ThreadLocal
		.withInitial(() -> ByteBuffer.allocateDirect(READ_BUFFER_BYTES));

	private final StreamConnection stream;

	private final SharedKey key;

	private final ConnectionListener listener;

	private final LongAdder sentBytes;

	private final Handshake.Hello ownHello;

	private final Queue<ByteBuffer> submitted = new ConcurrentLinkedQueue<>();

	private final ArrayDeque<ByteBuffer> writing = new ArrayDeque<>();

	private final AtomicLong queuedBytes = new AtomicLong();

	private final AtomicBoolean flushScheduled = new AtomicBoolean();

	private final AtomicBoolean closed = new AtomicBoolean();

	private final ByteBuffer header = ByteBuffer.allocate(FrameLimits.HEADER_BYTES);

	private ByteBuffer frame;

	private int expectedChecksum;

	private Handshake.Hello peerHello;

	private volatile Handshake.PeerIdentity peer;

	private boolean congested;

	private FrameConnection(StreamConnection stream, SharedKey key, Handshake.PeerIdentity own,
			ConnectionListener listener, LongAdder sentBytes) {
		this.stream = stream;
		this.sentBytes = sentBytes;
		this.key = key;
		this.listener = listener;
		byte[] challenge = new byte[CHALLENGE_BYTES];
		RANDOM.nextBytes(challenge);
		this.ownHello = new Handshake.Hello(PROTOCOL_VERSION, own, challenge);
	}

	static FrameConnection start(StreamConnection stream, SharedKey key, Handshake.PeerIdentity own,
			ConnectionListener listener, LongAdder sentBytes) {
		FrameConnection connection = new FrameConnection(stream, key, own, listener, sentBytes);
		stream.getSourceChannel().setReadListener((channel) -> connection.handleReadable(channel));
		stream.getSinkChannel().setWriteListener((channel) -> connection.flush());
		stream.setCloseListener((channel) -> connection.closeWith("closed"));
		connection.send(connection.ownHello);
		stream.getIoThread()
			.executeAfter(connection::checkHandshake, FrameLimits.HANDSHAKE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
		stream.getSourceChannel().resumeReads();
		return connection;
	}

	/**
	 * Returns who is at the other side.
	 * @return the identity that the peer has proved, or null before
	 * {@link ConnectionListener#opened}
	 */
	public Handshake.PeerIdentity peer() {
		return this.peer;
	}

	/**
	 * Sends a message, without waiting.
	 * @param message the message, never null
	 * @return false if the connection is closed, or is closed now since its queue is
	 * full; true promises nothing about arrival
	 */
	public boolean send(Message message) {
		Objects.requireNonNull(message, "message must not be null");
		if (this.closed.get()) {
			return false;
		}
		byte[] bytes = MessageCodec.encode(message);
		ByteBuffer buffer = ByteBuffer.allocate(FrameLimits.HEADER_BYTES + bytes.length);
		buffer.putInt(bytes.length).putInt(checksum(bytes)).put(bytes).flip();
		if (this.queuedBytes.addAndGet(buffer.remaining()) > FrameLimits.MAX_QUEUED_BYTES) {
			closeWith("send queue is full");
			return false;
		}
		this.submitted.add(buffer);
		scheduleFlush();
		return true;
	}

	/**
	 * Tells whether much is waiting to be sent. The listener's {@code drained} follows.
	 * @return whether to hold back messages that can wait
	 */
	public boolean isCongested() {
		return this.queuedBytes.get() > FrameLimits.CONGESTION_THRESHOLD_BYTES;
	}

	/**
	 * Tells whether the connection is closed.
	 * @return whether nothing more can be sent
	 */
	public boolean isClosed() {
		return this.closed.get();
	}

	/**
	 * Closes the connection. What waits to be sent is lost.
	 * @param reason why, for the log
	 */
	public void close(String reason) {
		closeWith(reason);
	}

	/**
	 * Runs a task on the connection's I/O thread, after what it is doing now. Once the
	 * transport is closed, the task is dropped.
	 * @param task the task, which must not block
	 */
	public void execute(Runnable task) {
		try {
			this.stream.getIoThread().execute(task);
		}
		catch (RejectedExecutionException ex) {
			this.closed.set(true);
		}
	}

	private void scheduleFlush() {
		if (this.flushScheduled.compareAndSet(false, true)) {
			execute(this::flush);
		}
	}

	private void flush() {
		this.flushScheduled.set(false);
		try {
			if (writeAll(this.stream.getSinkChannel())) {
				this.stream.getSinkChannel().suspendWrites();
				reportDrained();
			}
			else {
				this.congested |= isCongested();
				this.stream.getSinkChannel().resumeWrites();
			}
		}
		catch (IOException ex) {
			closeWith("write failed: " + ex.getMessage());
		}
	}

	private boolean writeAll(StreamSinkChannel channel) throws IOException {
		while (takeSubmitted()) {
			ByteBuffer[] buffers = this.writing.toArray(ByteBuffer[]::new);
			long written = channel.write(buffers, 0, buffers.length);
			if (written == 0) {
				return false;
			}
			this.queuedBytes.addAndGet(-written);
			this.sentBytes.add(written);
			while (!this.writing.isEmpty() && !this.writing.peek().hasRemaining()) {
				this.writing.poll();
			}
		}
		return channel.flush();
	}

	private boolean takeSubmitted() {
		while (this.writing.size() < BUFFERS_PER_WRITE) {
			ByteBuffer next = this.submitted.poll();
			if (next == null) {
				break;
			}
			this.writing.add(next);
		}
		return !this.writing.isEmpty();
	}

	private void reportDrained() {
		if (this.congested) {
			this.congested = false;
			this.listener.drained(this);
		}
	}

	private void handleReadable(StreamSourceChannel channel) {
		ByteBuffer buffer = READ_BUFFER.get();
		try {
			while (!this.closed.get()) {
				buffer.clear();
				int count = channel.read(buffer);
				if (count < 0) {
					closeWith("closed by the peer");
					return;
				}
				if (count == 0) {
					return;
				}
				buffer.flip();
				readFrames(buffer);
			}
		}
		catch (IOException ex) {
			closeWith(ex.getMessage());
		}
	}

	private void readFrames(ByteBuffer buffer) throws IOException {
		while (buffer.hasRemaining() && !this.closed.get()) {
			if (this.frame == null) {
				copyAvailable(buffer, this.header);
				if (this.header.hasRemaining()) {
					return;
				}
				this.frame = ByteBuffer.allocate(checkedLength(this.header.flip().getInt()));
				this.expectedChecksum = this.header.getInt();
				this.header.clear();
			}
			copyAvailable(buffer, this.frame);
			if (!this.frame.hasRemaining()) {
				byte[] bytes = this.frame.array();
				this.frame = null;
				verifyChecksum(bytes);
				handleMessage(MessageCodec.decode(bytes));
			}
		}
	}

	private void verifyChecksum(byte[] bytes) throws WireException {
		if (checksum(bytes) != this.expectedChecksum) {
			throw new WireException(WireException.Kind.MALFORMED,
					"received a frame that was changed on its way; check the network between the instances");
		}
	}

	private static int checksum(byte[] bytes) {
		CRC32C checksum = new CRC32C();
		checksum.update(bytes);
		return (int) checksum.getValue();
	}

	private int checkedLength(int value) throws WireException {
		int limit = (this.peer != null) ? FrameLimits.MAXIMUM_FRAME_BYTES : FrameLimits.MAX_HANDSHAKE_BYTES;
		if (value <= 0 || value > limit) {
			throw new WireException(WireException.Kind.TOO_LONG, "received a frame of " + value
					+ " bytes where at most " + limit + " are allowed; check what connects to this address");
		}
		return value;
	}

	private static void copyAvailable(ByteBuffer source, ByteBuffer target) {
		int count = Math.min(source.remaining(), target.remaining());
		int limit = source.limit();
		source.limit(source.position() + count);
		target.put(source);
		source.limit(limit);
	}

	private void handleMessage(Message message) throws WireException {
		if (this.peer != null) {
			this.listener.received(this, message);
		}
		else if (message instanceof Handshake.Hello hello) {
			acceptHello(hello);
		}
		else if (message instanceof Handshake.Proof proof && this.peerHello != null) {
			acceptProof(proof);
		}
		else {
			throw createNotAuthenticatedException();
		}
	}

	private void acceptHello(Handshake.Hello hello) throws WireException {
		if (hello.protocol() != PROTOCOL_VERSION) {
			throw new WireException(WireException.Kind.PROTOCOL_VERSION, "peer speaks protocol " + hello.protocol()
					+ " and this process " + PROTOCOL_VERSION + "; run compatible releases");
		}
		if (this.peerHello != null || ConstantTime.areEqual(hello.challenge(), this.ownHello.challenge())) {
			throw createNotAuthenticatedException();
		}
		this.peerHello = hello;
		send(new Handshake.Proof(this.key.computeProof(this.ownHello, hello)));
	}

	private void acceptProof(Handshake.Proof proof) throws WireException {
		if (!this.key.isValidProof(proof, this.peerHello, this.ownHello)) {
			throw createNotAuthenticatedException();
		}
		this.peer = this.peerHello.identity();
		this.listener.opened(this);
	}

	private static WireException createNotAuthenticatedException() {
		return new WireException(WireException.Kind.NOT_AUTHENTICATED,
				"peer has not proved the shared key; set the same [peers] shared-key on both sides");
	}

	private void checkHandshake() {
		if (this.peer == null) {
			closeWith("no handshake within " + FrameLimits.HANDSHAKE_TIMEOUT_MILLIS + " ms");
		}
	}

	private void closeWith(String reason) {
		if (this.closed.compareAndSet(false, true)) {
			execute(() -> {
				IoUtils.safeClose(this.stream);
				this.listener.closed(this, reason);
			});
		}
	}

	@Override
	public String toString() {
		Handshake.PeerIdentity identity = this.peer;
		return (identity != null) ? identity.instance().value() : String.valueOf(this.stream.getPeerAddress());
	}

}
