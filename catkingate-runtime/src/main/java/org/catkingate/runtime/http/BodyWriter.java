package org.catkingate.runtime.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.function.Consumer;

import org.xnio.channels.StreamSinkChannel;

/**
 * Writes the whole body of a request. Used on the I/O thread of the connection only.
 */
final class BodyWriter {

	private final ByteBuffer body;

	private final Runnable written;

	private final Consumer<IOException> failed;

	private boolean shut;

	private BodyWriter(byte[] body, Runnable written, Consumer<IOException> failed) {
		this.body = ByteBuffer.wrap(body);
		this.written = written;
		this.failed = failed;
	}

	static void write(byte[] body, StreamSinkChannel channel, Runnable written, Consumer<IOException> failed) {
		new BodyWriter(body, written, failed).proceed(channel);
	}

	private void proceed(StreamSinkChannel channel) {
		try {
			if (!writeAll(channel)) {
				channel.getWriteSetter().set((writable) -> proceed(channel));
				channel.resumeWrites();
				return;
			}
			channel.suspendWrites();
			this.written.run();
		}
		catch (IOException ex) {
			this.failed.accept(ex);
		}
	}

	private boolean writeAll(StreamSinkChannel channel) throws IOException {
		while (this.body.hasRemaining()) {
			if (channel.write(this.body) == 0) {
				return false;
			}
		}
		if (!this.shut) {
			channel.shutdownWrites();
			this.shut = true;
		}
		return channel.flush();
	}

}
