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
 * A TCP connection that carries messages in frames. A frame consists of the length of the
 * message (four bytes), its CRC-32C checksum (four bytes) and the message. Lengths are
 * checked before allocation, a frame with a wrong checksum closes the connection, and
 * only handshake messages are accepted until the peer has proved the shared key.
 * <p>
 * {@link #send} and {@link #close} may be called by any thread. Everything else,
 * including the calls of the listener, happens on the I/O thread of the connection.
 * Messages sent by one thread arrive in the order in which they were sent.
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

	private final HandshakeMessage.Hello ownHello;

	private final Queue<ByteBuffer> submitted = new ConcurrentLinkedQueue<>();

	private final ArrayDeque<ByteBuffer> writing = new ArrayDeque<>();

	private final AtomicLong queuedBytes = new AtomicLong();

	private final AtomicBoolean flushScheduled = new AtomicBoolean();

	private final AtomicBoolean closed = new AtomicBoolean();

	private final ByteBuffer header = ByteBuffer.allocate(FrameLimits.HEADER_BYTES);

	private ByteBuffer frame;

	private int expectedChecksum;

	private HandshakeMessage.Hello peerHello;

	private volatile HandshakeMessage.PeerIdentity peer;

	private boolean congested;

	private FrameConnection(StreamConnection stream, SharedKey key, HandshakeMessage.PeerIdentity ownIdentity,
			ConnectionListener listener, LongAdder sentBytes) {
		this.stream = stream;
		this.sentBytes = sentBytes;
		this.key = key;
		this.listener = listener;
		byte[] challenge = new byte[CHALLENGE_BYTES];
		RANDOM.nextBytes(challenge);
		this.ownHello = new HandshakeMessage.Hello(PROTOCOL_VERSION, ownIdentity, challenge);
	}

	static FrameConnection start(StreamConnection stream, SharedKey key, HandshakeMessage.PeerIdentity ownIdentity,
			ConnectionListener listener, LongAdder sentBytes) {
		FrameConnection connection = new FrameConnection(stream, key, ownIdentity, listener, sentBytes);
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
	 * Returns the identity of the peer.
	 * @return the authenticated identity, or null before
	 * {@link ConnectionListener#onOpened}
	 */
	public HandshakeMessage.PeerIdentity peer() {
		return this.peer;
	}

	/**
	 * Queues a message for sending, without blocking.
	 * @param message the message, never null
	 * @return {@code false} if the connection is closed, or has just been closed because
	 * its send queue is full; {@code true} does not guarantee delivery
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
	 * Returns whether the send queue exceeds the congestion threshold. When it has been
	 * emptied, {@link ConnectionListener#onSendQueueEmptied} is called.
	 * @return {@code true} if messages that can wait should be held back
	 */
	public boolean isCongested() {
		return this.queuedBytes.get() > FrameLimits.CONGESTION_THRESHOLD_BYTES;
	}

	/**
	 * Returns whether the connection is closed.
	 * @return {@code true} if no more messages can be sent
	 */
	public boolean isClosed() {
		return this.closed.get();
	}

	/**
	 * Closes the connection. Queued messages are discarded.
	 * @param reason the reason, for the log
	 */
	public void close(String reason) {
		closeWith(reason);
	}

	/**
	 * Runs a task on the I/O thread of the connection, after the current task. If the
	 * transport has been closed, the task is discarded.
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
			this.listener.onSendQueueEmptied(this);
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
					"received a frame whose checksum does not match; check the network between the instances");
		}
	}

	private static int checksum(byte[] bytes) {
		CRC32C checksum = new CRC32C();
		checksum.update(bytes);
		return (int) checksum.getValue();
	}

	private int checkedLength(int value) throws WireException {
		int limit = (this.peer != null) ? FrameLimits.MAX_FRAME_BYTES : FrameLimits.MAX_HANDSHAKE_BYTES;
		if (value <= 0 || value > limit) {
			throw new WireException(WireException.Kind.TOO_LONG, "received a frame of " + value
					+ " bytes where at most " + limit + " are allowed; check which process connects to this address");
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
			this.listener.onReceived(this, message);
		}
		else if (message instanceof HandshakeMessage.Hello hello) {
			acceptHello(hello);
		}
		else if (message instanceof HandshakeMessage.Proof proof && this.peerHello != null) {
			acceptProof(proof);
		}
		else {
			throw createNotAuthenticatedException();
		}
	}

	private void acceptHello(HandshakeMessage.Hello hello) throws WireException {
		if (hello.protocol() != PROTOCOL_VERSION) {
			throw new WireException(WireException.Kind.PROTOCOL_VERSION, "peer uses protocol version "
					+ hello.protocol() + " but this process uses " + PROTOCOL_VERSION + "; run compatible releases");
		}
		// a peer that repeats this side's challenge could also return its proof
		if (this.peerHello != null || ConstantTimeComparator.areEqual(hello.challenge(), this.ownHello.challenge())) {
			throw createNotAuthenticatedException();
		}
		this.peerHello = hello;
		send(new HandshakeMessage.Proof(this.key.computeProof(this.ownHello, hello)));
	}

	private void acceptProof(HandshakeMessage.Proof proof) throws WireException {
		if (!this.key.isValidProof(proof, this.peerHello, this.ownHello)) {
			throw createNotAuthenticatedException();
		}
		this.peer = this.peerHello.identity();
		this.listener.onOpened(this);
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
				this.listener.onClosed(this, reason);
			});
		}
	}

	@Override
	public String toString() {
		HandshakeMessage.PeerIdentity identity = this.peer;
		return (identity != null) ? identity.instance().value() : String.valueOf(this.stream.getPeerAddress());
	}

}
