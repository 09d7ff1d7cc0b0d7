package org.catkingate.tests.gateway;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import org.catkingate.model.DataCentreName;
import org.catkingate.model.ModelName;
import org.catkingate.model.RunnerId;
import org.catkingate.model.ServiceName;
import org.catkingate.model.registry.CallKind;
import org.catkingate.model.registry.RegisteredRunner;
import org.catkingate.model.registry.RegistryItem;
import org.catkingate.model.registry.RegistryPage;
import org.catkingate.model.registry.RegistryValue;
import org.catkingate.runtime.registry.Registry;

/**
 * A registry with one route, whose runners a test changes while it is watched. Safe for
 * use by any thread.
 */
final class ScriptedRegistry implements Registry {

	private static final long FIRST_REVISION = 100;

	private static final long WATCH_MILLIS = 50;

	private final List<RegistryItem> initialItems;

	private final List<RegistryItem> changes = new CopyOnWriteArrayList<>();

	private final AtomicLong revision = new AtomicLong(FIRST_REVISION);

	private volatile boolean away;

	private ScriptedRegistry(List<RegistryItem> initialItems) {
		this.initialItems = initialItems;
	}

	static ScriptedRegistry withoutRunners(CallKind kind) {
		return new ScriptedRegistry(TestGateway.items(kind));
	}

	static ScriptedRegistry of(List<RegistryItem> initialItems) {
		return new ScriptedRegistry(initialItems);
	}

	/**
	 * Declares a version.
	 * @param model the model
	 * @param version the version
	 */
	synchronized void declare(ModelName model, long version) {
		this.changes.add(new RegistryItem("version", this.revision.get() + 1,
				new RegistryValue.DeclaredVersion(model, version)));
		this.revision.incrementAndGet();
	}

	/**
	 * Registers a runner as ready, or again.
	 * @param id the runner
	 * @param startedAtEpochMillis when it started
	 * @param address its address
	 * @return this registry
	 */
	synchronized ScriptedRegistry register(String id, long startedAtEpochMillis, InetSocketAddress address) {
		RegisteredRunner runner = new RegisteredRunner(new RunnerId(id), startedAtEpochMillis, new ServiceName("songs"),
				address, new DataCentreName("a"), 4, false, Map.of(), 0);
		return add(id, new RegistryValue.Runner(runner));
	}

	/**
	 * Removes the registration of a runner.
	 * @param id the runner
	 * @return this registry
	 */
	synchronized ScriptedRegistry remove(String id) {
		return add(id, null);
	}

	private ScriptedRegistry add(String id, RegistryValue value) {
		this.changes.add(new RegistryItem("runners/" + id, this.revision.get() + 1, value));
		this.revision.incrementAndGet();
		return this;
	}

	/**
	 * Makes all calls to the registry fail from now on.
	 */
	void disappear() {
		this.away = true;
	}

	@Override
	public CompletableFuture<RegistryPage> read(String afterKey) {
		return this.away ? failure()
				: CompletableFuture.completedFuture(new RegistryPage(this.initialItems, false, FIRST_REVISION));
	}

	@Override
	public CompletableFuture<RegistryPage> watch(long afterRevision, long waitMillis) {
		return this.away ? failure() : CompletableFuture.supplyAsync(() -> changesSince(afterRevision),
				CompletableFuture.delayedExecutor(WATCH_MILLIS, TimeUnit.MILLISECONDS));
	}

	private static CompletableFuture<RegistryPage> failure() {
		return CompletableFuture.failedFuture(new IOException("the registry is away"));
	}

	private synchronized RegistryPage changesSince(long afterRevision) {
		return new RegistryPage(this.changes.stream().filter((change) -> change.revision() > afterRevision).toList(),
				false, this.revision.get());
	}

	@Override
	public RegistryValue decode(String key, byte[] content) {
		return new RegistryValue.Unreadable("no item has a published content");
	}

}
