package org.catkingate.tests.faults;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.JsonNode;
import org.awaitility.Awaitility;

import org.catkingate.standins.Addresses;
import org.catkingate.standins.HttpService;
import org.catkingate.standins.engine.EngineRun;
import org.catkingate.tests.harness.ChildProcess;
import org.catkingate.tests.harness.FleetProcesses;
import org.catkingate.tests.harness.StandInProcess;

/**
 * An engine in its own process, which can be killed and restarted at the same address.
 * The runs of a process are read just before it is killed, since they are lost with it.
 * Not thread-safe.
 */
public final class EngineProcess {

	private final FleetProcesses processes;

	private final String name;

	private final String[] arguments;

	private final List<EngineRun> previousRuns = new ArrayList<>();

	private StandInProcess current;

	private EngineProcess(FleetProcesses processes, String name, String... arguments) {
		this.processes = processes;
		this.name = name;
		this.arguments = arguments;
		this.current = processes.startStandIn(name, arguments);
	}

	public static EngineProcess start(FleetProcesses processes, String name, String... options) {
		String[] arguments = Stream.concat(Stream.of("engine"), Stream.of(options)).toArray(String[]::new);
		return new EngineProcess(processes, name, arguments);
	}

	public InetSocketAddress address() {
		return this.current.address();
	}

	public StandInProcess standIn() {
		return this.current;
	}

	public void kill() throws IOException, InterruptedException {
		this.previousRuns.addAll(currentRuns());
		this.current.process().kill();
	}

	public void restart() {
		String[] argumentsWithAddress = Stream
			.concat(Stream.of(this.arguments), Stream.of("--listen", Addresses.format(this.current.address())))
			.toArray(String[]::new);
		this.current = this.processes.startStandIn(this.name, argumentsWithAddress);
	}

	public List<EngineRun> runs() throws IOException, InterruptedException {
		List<EngineRun> allRuns = new ArrayList<>(this.previousRuns);
		allRuns.addAll(currentRuns());
		return allRuns;
	}

	/**
	 * Waits until no request runs or waits, so that every run has been recorded.
	 */
	void awaitIdle() {
		Awaitility.await("engine idle").atMost(ChildProcess.TIMEOUT).ignoreExceptions().until(() -> {
			JsonNode state = this.current.get("/engine/state");
			return state.get("running").asInt() + state.get("waiting").asInt() == 0;
		});
	}

	private List<EngineRun> currentRuns() throws IOException, InterruptedException {
		JsonNode runs = this.current.readControl("runs").get("runs");
		return List.of(HttpService.JSON.convertValue(runs, EngineRun[].class));
	}

}
