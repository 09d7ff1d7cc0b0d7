package org.catkingate.tests.harness;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;

import com.fasterxml.jackson.databind.JsonNode;
import org.awaitility.Awaitility;
import org.awaitility.core.ConditionTimeoutException;

import org.catkingate.standins.Addresses;
import org.catkingate.standins.HttpService;
import org.catkingate.standins.proxy.FaultInjectingProxy;

/**
 * An entry or agent in its own process, which can be restarted with the same settings.
 * Not thread-safe.
 */
public final class Member implements AutoCloseable {

	private static final Duration CALL_TIMEOUT = Duration.ofSeconds(5);

	private static final HttpClient CLIENT = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

	private final Path directory;

	private final String role;

	private final String instance;

	private final InetSocketAddress address;

	private final InetSocketAddress operatorAddress;

	private final FaultInjectingProxy proxy;

	private ChildProcess process;

	private Member(Path directory, String role, String instance, InetSocketAddress address, InetSocketAddress operators,
			FaultInjectingProxy proxy) {
		this.directory = directory;
		this.role = role;
		this.instance = instance;
		this.address = address;
		this.operatorAddress = operators;
		this.proxy = proxy;
	}

	static Member start(Path directory, String role, String instance, InetSocketAddress address,
			InetSocketAddress operators, FaultInjectingProxy proxy, String settings) throws IOException {
		Member member = new Member(directory, role, instance, address, operators, proxy);
		Files.writeString(member.settingsFile(), settings);
		member.restart();
		return member;
	}

	private Path settingsFile() {
		return this.directory.resolve(this.instance + ".ini");
	}

	/**
	 * Starts a new process with the same settings and without any state of the previous
	 * one.
	 */
	public void restart() {
		this.process = ChildProcess.start(this.directory, this.instance,
				ChildProcess.commandLine("catkingate", this.role, settingsFile().toString()));
	}

	public String instance() {
		return this.instance;
	}

	public InetSocketAddress address() {
		return this.address;
	}

	/**
	 * Returns the proxy through which other processes reach this agent, null for an
	 * entry.
	 */
	public FaultInjectingProxy proxy() {
		return this.proxy;
	}

	public ChildProcess process() {
		return this.process;
	}

	public boolean isReady() {
		try {
			return get("/readyz").statusCode() == 200;
		}
		catch (IOException ex) {
			return false;
		}
	}

	public void awaitReady() {
		try {
			Awaitility.await(this.instance + " ready").atMost(ChildProcess.TIMEOUT).until(() -> {
				if (!this.process.isAlive()) {
					throw new IllegalStateException(this.process.output() + this.process.errors());
				}
				return isReady();
			});
		}
		catch (ConditionTimeoutException ex) {
			throw new IllegalStateException(
					this.instance + " is not ready: " + this.process.output() + this.process.errors(), ex);
		}
	}

	public JsonNode state() throws IOException {
		return HttpService.JSON.readTree(get("/state").body());
	}

	public HttpResponse<String> get(String path) throws IOException {
		URI uri = URI.create("http://" + Addresses.format(this.operatorAddress) + path);
		try {
			return CLIENT.send(HttpRequest.newBuilder(uri).timeout(CALL_TIMEOUT).build(),
					HttpResponse.BodyHandlers.ofString());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IOException(ex);
		}
	}

	@Override
	public void close() {
		this.process.close();
	}

}
