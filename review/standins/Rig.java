import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * What the scripts of review/ share: the platform's store, the start of gateways with the
 * command and the template of the deploy file, HTTP over plain sockets, and the record.
 */
final class Rig implements AutoCloseable {

	static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

	static final int BROKEN = 1;

	static final int HELD = 0;

	static final int NOT_RUN = 2;

	private static final String LOOPBACK = "127.0.0.1";

	private static final int LOWEST_PORT = 15_000;

	private static final int PORT_COUNT = 15_000;

	private static final Random PORTS_RANDOM = new Random();

	private static final Set<Integer> GIVEN_PORTS = new HashSet<>();

	final Store store;

	private final Path folder;

	private final PrintWriter record;

	private final long startedNanos = System.nanoTime();

	private final List<Process> processes = new ArrayList<>();

	private final List<Integer> seeds = new ArrayList<>();

	/** Creates a rig whose record lies in a folder of review/. */
	Rig(String caseFolder, int gateways) throws IOException {
		this.folder = Files.createTempDirectory("catkingate-review");
		this.record = new PrintWriter(Files.newBufferedWriter(Path.of(caseFolder, "record.txt")), true);
		this.store = new Store();
		for (int i = 0; i < gateways; i++) {
			this.seeds.add(freePort());
		}
		Runtime.getRuntime().addShutdownHook(new Thread(this::close));
	}

	long millis() {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - this.startedNanos);
	}

	void note(String text) {
		synchronized (this.record) {
			this.record.println(String.format(Locale.ROOT, "%8d ms  %s", millis(), text));
		}
	}

	/** Finds a port below the range from which the system gives out ports. */
	static synchronized int freePort() throws IOException {
		for (int attempt = 0; attempt < 1000; attempt++) {
			int port = LOWEST_PORT + PORTS_RANDOM.nextInt(PORT_COUNT);
			try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(LOOPBACK))) {
				if (GIVEN_PORTS.add(port)) {
					return port;
				}
			}
			catch (IOException ex) {
				// another process has it
			}
		}
		throw new IOException("no free port");
	}

	/**
	 * Fills in the template of a role and starts its command from the deploy file.
	 * @param more further fields of the platform's settings
	 */
	Node start(String role, int index, Map<String, String> more) throws IOException {
		Map<String, String> fields = new LinkedHashMap<>();
		fields.put("NodeName", role + "-" + index);
		fields.put("Zone", "zone-a");
		fields.put("Region", "region-a");
		fields.put("Ip", LOOPBACK);
		fields.put("Platform.Address", LOOPBACK + ":" + this.store.port());
		fields.put("Listen.Frontend", LOOPBACK + ":" + freePort());
		fields.put("Listen.Ready", LOOPBACK + ":" + freePort());
		fields.put("Listen.ControlPlane", LOOPBACK + ":" + this.seeds.get(Math.min(index, this.seeds.size() - 1)));
		fields.put("PortRange.0", String.valueOf(freePort()));
		fields.put("SeedNodes",
				String.join(",", this.seeds.stream().map((port) -> LOOPBACK + ":" + port).toList()));
		fields.put("PolicyParams.RevokeMs", "5000");
		fields.put("PolicyParams.RetryRatio", "0.2");
		fields.put("PolicyParams.RetryAllowance", "100");
		fields.put("PolicyParams.RetryWindowS", "10");
		fields.put("PolicyParams.version_ms", "8000");
		fields.put("PolicyParams.ContactMs", "3000");
		fields.putAll(more);
		Node node = new Node(role, index, fields);
		node.start();
		return node;
	}

	/** A process of the project. */
	final class Node {

		final Map<String, String> fields;

		private final String role;

		private final Path settings;

		private final Path output;

		Process process;

		private Node(String role, int index, Map<String, String> fields) throws IOException {
			this.role = role;
			this.fields = fields;
			this.settings = Rig.this.folder.resolve(role + "-" + index + ".ini");
			this.output = Rig.this.folder.resolve(role + "-" + index + ".log");
		}

		void start() throws IOException {
			String deploy = Files.readString(Path.of("deploy/system.toml"));
			String section = deploy.substring(deploy.indexOf("[roles." + this.role + "]"));
			Files.writeString(this.settings,
					fill(Files.readString(Path.of(match(section, "template = \"([^\"]+)\""))), this.fields));
			ProcessBuilder builder = new ProcessBuilder(match(section, "run = \"([^\"]+)\"").split(" "));
			builder.environment().put("CATKINGATE_SETTINGS", this.settings.toString());
			builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(this.output.toFile()));
			this.process = builder.start();
			synchronized (Rig.this.processes) {
				Rig.this.processes.add(this.process);
			}
			note("started " + this.role + " with the command of the deploy file, process " + this.process.pid());
		}

		int port(String field) {
			return Integer.parseInt(this.fields.get(field).split(":")[1]);
		}

		/** Sends a signal to this process only. */
		void signal(String name) throws IOException, InterruptedException {
			note("signal " + name + " to process " + this.process.pid());
			new ProcessBuilder("kill", "-" + name, String.valueOf(this.process.pid())).inheritIO().start().waitFor();
		}

		boolean awaitReady(long withinMillis) throws InterruptedException {
			long until = millis() + withinMillis;
			while (millis() < until) {
				try (Channel channel = new Channel(port("Listen.Ready"), 500)) {
					if (channel.call("GET", "/readyz", Map.of("Host", "ready"), new byte[0]).status == 200) {
						note(this.fields.get("NodeName") + " is ready");
						return true;
					}
				}
				catch (IOException ex) {
					// it has not begun to listen
				}
				Thread.sleep(100);
			}
			return false;
		}

		String log() throws IOException {
			return Files.readString(this.output);
		}

	}

	private static String match(String text, String pattern) {
		Matcher matcher = Pattern.compile(pattern).matcher(text);
		if (!matcher.find()) {
			throw new IllegalStateException("the deploy file has no " + pattern);
		}
		return matcher.group(1);
	}

	private static String fill(String template, Map<String, String> fields) {
		String zones = template.replaceAll("(?s)\\{\\{#Zones}}.*?\\{\\{/Zones}}",
				"zone-a = region-a\nzone-b = region-b");
		return Pattern.compile("\\{\\{([A-Za-z_.0-9]+)}}")
			.matcher(zones)
			.replaceAll((found) -> Matcher.quoteReplacement(fields.getOrDefault(found.group(1), "")));
	}

	@Override
	public void close() {
		if (!Files.exists(this.folder)) {
			return;
		}
		synchronized (this.processes) {
			this.processes.forEach(Process::destroyForcibly);
		}
		this.store.close();
		String keep = System.getenv("KEEP_LOGS");
		if (keep == null) {
			try (Stream<Path> files = Files.walk(this.folder)) {
				files.sorted(Comparator.reverseOrder()).forEach((file) -> file.toFile().delete());
			}
			catch (IOException ex) {
				System.err.println("cannot remove " + this.folder + ": " + ex);
			}
		}
		else {
			System.err.println("logs in " + this.folder);
		}
	}

	/** The head and the body of a message. */
	static final class Message {

		String start;

		int status;

		final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);

		byte[] body = new byte[0];

		/** Whether the body ended as its head announces. */
		boolean complete;

		String header(String name) {
			return this.headers.getOrDefault(name, "");
		}

		String text() {
			return new String(this.body, StandardCharsets.UTF_8);
		}

	}

	/** Reads the head of a message; null at the end of the channel. */
	static Message readHead(InputStream in) throws IOException {
		String line = readLine(in);
		if (line == null) {
			return null;
		}
		Message message = new Message();
		message.start = line;
		for (line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
			int colon = line.indexOf(':');
			message.headers.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
		}
		if (line == null) {
			throw new EOFException("the head is cut short");
		}
		return message;
	}

	private static String readLine(InputStream in) throws IOException {
		ByteArrayOutputStream line = new ByteArrayOutputStream();
		for (int next = in.read(); next != '\n'; next = in.read()) {
			if (next < 0) {
				if (line.size() == 0) {
					return null;
				}
				throw new EOFException("a line is cut short");
			}
			line.write(next);
		}
		return line.toString(StandardCharsets.ISO_8859_1).stripTrailing();
	}

	static void readBody(Message message, InputStream in, boolean response) throws IOException {
		ByteArrayOutputStream body = new ByteArrayOutputStream();
		try {
			if (message.header("Transfer-Encoding").equalsIgnoreCase("chunked")) {
				for (int size = chunkSize(in); size > 0; size = chunkSize(in)) {
					body.write(readFully(in, size));
					readLine(in);
				}
				readLine(in);
				message.complete = true;
			}
			else if (message.headers.containsKey("Content-Length")) {
				int left = Integer.parseInt(message.header("Content-Length"));
				while (left > 0) {
					byte[] part = in.readNBytes(Math.min(left, 65536));
					if (part.length == 0) {
						throw new EOFException("the body is cut short");
					}
					body.write(part);
					left -= part.length;
				}
				message.complete = true;
			}
			else if (response && message.status != 204 && message.status != 304) {
				in.transferTo(body);
				message.complete = true;
			}
			else {
				message.complete = true;
			}
		}
		finally {
			message.body = body.toByteArray();
		}
	}

	private static int chunkSize(InputStream in) throws IOException {
		String line = readLine(in);
		if (line == null) {
			throw new EOFException("the chunks are cut short");
		}
		return Integer.parseInt(line.split(";")[0].trim(), 16);
	}

	private static byte[] readFully(InputStream in, int size) throws IOException {
		byte[] bytes = in.readNBytes(size);
		if (bytes.length < size) {
			throw new EOFException("a chunk is cut short");
		}
		return bytes;
	}

	/** A client's channel, which is kept for further requests. */
	static final class Channel implements AutoCloseable {

		final Socket socket = new Socket();

		final InputStream in;

		final OutputStream out;

		Channel(int port, int timeoutMillis) throws IOException {
			this.socket.setTcpNoDelay(true);
			this.socket.connect(new InetSocketAddress(LOOPBACK, port), Math.min(timeoutMillis, 1000));
			this.socket.setSoTimeout(timeoutMillis);
			this.in = new BufferedInputStream(this.socket.getInputStream());
			this.out = new BufferedOutputStream(this.socket.getOutputStream());
		}

		/** Sends a request and reads the whole answer. */
		Message call(String method, String target, Map<String, String> headers, byte[] body) throws IOException {
			send(method, target, headers, body);
			Message answer = readHead(this.in);
			if (answer == null) {
				throw new EOFException("the channel was closed without an answer");
			}
			answer.status = Integer.parseInt(answer.start.split(" ")[1]);
			readBody(answer, this.in, true);
			return answer;
		}

		void send(String method, String target, Map<String, String> headers, byte[] body) throws IOException {
			StringBuilder head = new StringBuilder(method + " " + target + " HTTP/1.1\r\n");
			headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
			if (!method.equals("GET")) {
				head.append("Content-Length: ").append(body.length).append("\r\n");
			}
			this.out.write(head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
			this.out.write(body);
			this.out.flush();
		}

		@Override
		public void close() throws IOException {
			this.socket.close();
		}

	}

	/** A server with a thread for each channel. */
	abstract static class Server implements AutoCloseable {

		final ServerSocket socket;

		Server() throws IOException {
			this.socket = new ServerSocket(0, 1024, InetAddress.getByName(LOOPBACK));
			thread("accept", () -> {
				while (!this.socket.isClosed()) {
					Socket channel = this.socket.accept();
					channel.setTcpNoDelay(true);
					thread("channel", () -> {
						try (channel) {
							serve(channel, new BufferedInputStream(channel.getInputStream()),
									new BufferedOutputStream(channel.getOutputStream()));
						}
					});
				}
			});
		}

		abstract void serve(Socket channel, InputStream in, OutputStream out) throws Exception;

		int port() {
			return this.socket.getLocalPort();
		}

		@Override
		public void close() {
			try {
				this.socket.close();
			}
			catch (IOException ex) {
				System.err.println(ex);
			}
		}

	}

	/** Work that ends with the channel that it uses. */
	interface Work {

		void run() throws Exception;

	}

	static Thread thread(String name, Work work) {
		Thread thread = new Thread(() -> {
			try {
				work.run();
			}
			catch (IOException ex) {
				// the channel has ended
			}
			catch (Exception ex) {
				ex.printStackTrace();
			}
		}, name);
		thread.setDaemon(true);
		thread.start();
		return thread;
	}

	static void write(OutputStream out, String status, Map<String, String> headers, byte[] body) throws IOException {
		StringBuilder head = new StringBuilder("HTTP/1.1 " + status + "\r\n");
		headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
		head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
		out.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
		out.write(body);
		out.flush();
	}

	/** The platform's store, as PROTOCOL.md has it, without faults of its own. */
	final class Store extends Server {

		private final TreeMap<String, Item> items = new TreeMap<>();

		private final List<Item> history = new ArrayList<>();

		private long revision = 100;

		Store() throws IOException {
		}

		/** Writes an item; its return is the ack. */
		synchronized long put(String key, String value) {
			return putBytes(key, value.getBytes(StandardCharsets.UTF_8));
		}

		synchronized long putBytes(String key, byte[] value) {
			this.revision++;
			Item known = this.items.get(key);
			Item item = new Item(key, value, this.revision, (known != null) ? known.created : this.revision);
			this.items.put(key, item);
			this.history.add(item);
			notifyAll();
			return this.revision;
		}

		synchronized void delete(String key) {
			this.revision++;
			this.items.remove(key);
			this.history.add(new Item(key, null, this.revision, 0));
			notifyAll();
		}

		@Override
		void serve(Socket channel, InputStream in, OutputStream out) throws Exception {
			for (Message request = readHead(in); request != null; request = readHead(in)) {
				String target = request.start.split(" ")[1];
				Map<String, String> query = new LinkedHashMap<>();
				String[] parts = target.split("\\?", 2);
				if (parts.length > 1) {
					for (String pair : parts[1].split("&")) {
						String[] field = pair.split("=", 2);
						query.put(field[0], URLDecoder.decode(field[1], StandardCharsets.UTF_8));
					}
				}
				String answer = parts[0].equals("/kv-watch") ? watch(query) : range(query);
				write(out, "200 OK", Map.of("Content-Type", "application/json"),
						answer.getBytes(StandardCharsets.UTF_8));
			}
		}

		private synchronized String range(Map<String, String> query) {
			String prefix = query.getOrDefault("PathPrefix", "");
			String after = query.getOrDefault("After", "");
			return "{\"Entries\":["
					+ String.join(",",
							this.items.values()
								.stream()
								.filter((item) -> item.key.startsWith(prefix) && item.key.compareTo(after) > 0)
								.map(Item::json)
								.toList())
					+ "],\"Truncated\":false,\"CurrentRev\":" + this.revision + "}";
		}

		private synchronized String watch(Map<String, String> query) throws InterruptedException {
			String prefix = query.getOrDefault("PathPrefix", "");
			long after = Long.parseLong(query.get("After"));
			long until = millis() + Long.parseLong(query.get("WaitMs"));
			List<String> events = events(prefix, after);
			while (events.isEmpty() && millis() < until) {
				wait(Math.max(1, until - millis()));
				events = events(prefix, after);
			}
			return "{\"events\":[" + String.join(",", events) + "],\"CurrentRev\":" + this.revision + "}";
		}

		private List<String> events(String prefix, long after) {
			return this.history.stream()
				.filter((item) -> item.revision > after && item.key.startsWith(prefix))
				.map(Item::json)
				.toList();
		}

	}

	private record Item(String key, byte[] value, long revision, long created) {

		String json() {
			return (this.value == null)
					? "{\"Key\":\"" + this.key + "\",\"Revision\":" + this.revision + ",\"Deleted\":true}"
					: "{\"Key\":\"" + this.key + "\",\"Value\":\"" + Base64.getEncoder().encodeToString(this.value)
							+ "\",\"Revision\":" + this.revision + ",\"Created\":" + this.created + ",\"Lease\":0}";
		}

	}

}
