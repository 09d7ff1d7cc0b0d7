package org.catkingate.runtime.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.function.Consumer;

import org.xnio.channels.StreamSinkChannel;

/**
 * Writes the body of a request and shuts the channel down for writing. For use on the I/O
 * thread of the connection only.
 */
final class BodyWriter {

	private final ByteBuffer body;

	private final Runnable onWritten;

	private final Consumer<IOException> onFailure;

	private boolean writesShutDown;

	private BodyWriter(byte[] body, Runnable onWritten, Consumer<IOException> onFailure) {
		this.body = ByteBuffer.wrap(body);
		this.onWritten = onWritten;
		this.onFailure = onFailure;
	}

	static void write(byte[] body, StreamSinkChannel channel, Runnable onWritten, Consumer<IOException> onFailure) {
		new BodyWriter(body, onWritten, onFailure).continueWriting(channel);
	}

	private void continueWriting(StreamSinkChannel channel) {
		try {
			if (!writeAll(channel)) {
				channel.getWriteSetter().set((writable) -> continueWriting(channel));
				channel.resumeWrites();
				return;
			}
			channel.suspendWrites();
			this.onWritten.run();
		}
		catch (IOException ex) {
			this.onFailure.accept(ex);
		}
	}

	private boolean writeAll(StreamSinkChannel channel) throws IOException {
		while (this.body.hasRemaining()) {
			if (channel.write(this.body) == 0) {
				return false;
			}
		}
		if (!this.writesShutDown) {
			channel.shutdownWrites();
			this.writesShutDown = true;
		}
		return channel.flush();
	}

}
