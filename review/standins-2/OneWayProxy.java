import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;

/**
 * A proxy between two processes that can stop passing bytes in one direction. What
 * arrives meanwhile is held and passed on when the direction is open again, as TCP does
 * after a partition.
 */
final class OneWayProxy extends Rig2.Server {

	private final int target;

	private boolean toTargetCut;

	private boolean fromTargetCut;

	OneWayProxy(int target) throws IOException {
		this.target = target;
	}

	synchronized void cut(boolean toTarget, boolean fromTarget) {
		this.toTargetCut = toTarget;
		this.fromTargetCut = fromTarget;
		notifyAll();
	}

	private synchronized void awaitOpen(boolean toTarget) throws InterruptedException {
		while (toTarget ? this.toTargetCut : this.fromTargetCut) {
			wait();
		}
	}

	@Override
	void serve(Socket connection) throws IOException {
		try (Socket other = new Socket()) {
			other.connect(new InetSocketAddress("127.0.0.1", this.target), 1000);
			other.setTcpNoDelay(true);
			Rig2.thread(() -> pass(other, connection, false));
			pass(connection, other, true);
		}
	}

	private void pass(Socket from, Socket to, boolean toTarget) {
		try {
			InputStream in = from.getInputStream();
			OutputStream out = to.getOutputStream();
			byte[] bytes = new byte[65_536];
			for (int count = in.read(bytes); count >= 0; count = in.read(bytes)) {
				awaitOpen(toTarget);
				out.write(bytes, 0, count);
			}
			awaitOpen(toTarget);
		}
		catch (IOException | InterruptedException ex) {
			// one side has closed the connection
		}
		try {
			from.close();
			to.close();
		}
		catch (IOException ex) {
			// already closed
		}
	}

}
