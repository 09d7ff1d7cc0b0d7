package org.catkingate.tests.gateway;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;

import org.catkingate.model.DataCentreName;
import org.catkingate.model.ModelName;
import org.catkingate.model.RunnerId;
import org.catkingate.model.ServiceName;
import org.catkingate.model.registry.CallKind;
import org.catkingate.model.registry.RegisteredRunner;
import org.catkingate.model.registry.RegistryItem;
import org.catkingate.model.registry.RegistryPage;
import org.catkingate.model.registry.RegistryScope;
import org.catkingate.model.registry.RegistryValue;
import org.catkingate.model.registry.ServingConfiguration;
import org.catkingate.platform.PlatformRegistry;
import org.catkingate.runtime.platform.PlatformException;
import org.catkingate.runtime.registry.Registry;

/**
 * A registry with one route, whose content a test changes while it is watched. Safe for
 * use by any thread.
 */
final class ScriptedRegistry implements Registry {

	private static final long FIRST_REVISION = 100;

	/** Decodes entries; it makes no calls. */
	private static final Registry PLATFORM = PlatformRegistry.at(null, null, RegistryScope.EVERYTHING);

	private static final long WATCH_MILLIS = 50;

	private final List<RegistryItem> initialItems;

	private final List<RegistryItem> changes = new CopyOnWriteArrayList<>();

	private final AtomicLong revision = new AtomicLong(FIRST_REVISION);

	private final Map<String, RegistryValue> published = new ConcurrentHashMap<>();

	private volatile boolean away;

	private volatile boolean historyGone;

	private ScriptedRegistry(List<RegistryItem> initialItems) {
		this.initialItems = initialItems.stream().map(this::item).toList();
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
		return register(id, startedAtEpochMillis, address, "a");
	}

	/**
	 * Registers a runner as ready, or again.
	 * @param id the runner
	 * @param startedAtEpochMillis when it started
	 * @param address its address
	 * @param dataCentre its data centre
	 * @return this registry
	 */
	synchronized ScriptedRegistry register(String id, long startedAtEpochMillis, InetSocketAddress address,
			String dataCentre) {
		RegisteredRunner runner = new RegisteredRunner(new RunnerId(id), startedAtEpochMillis, new ServiceName("songs"),
				address, new DataCentreName(dataCentre), 4, false, Map.of(), 0);
		return add("runners/" + id, new RegistryValue.Runner(runner));
	}

	/**
	 * Registers a runner in data centre a that has just started.
	 * @param id the runner
	 * @param address its address
	 * @param coldLeftMillis the time for which it stays cold
	 * @return this registry
	 */
	synchronized ScriptedRegistry registerCold(String id, InetSocketAddress address, long coldLeftMillis) {
		RegisteredRunner runner = new RegisteredRunner(new RunnerId(id), 1, new ServiceName("songs"), address,
				new DataCentreName("a"), 4, false, Map.of(), coldLeftMillis);
		return add("runners/" + id, new RegistryValue.Runner(runner));
	}

	/**
	 * Publishes a configuration.
	 * @param configuration the configuration
	 * @return this registry
	 */
	synchronized ScriptedRegistry publish(ServingConfiguration configuration) {
		return add("configuration", new RegistryValue.Configuration(configuration));
	}

	/**
	 * Evacuates a data centre, or takes it back.
	 * @param dataCentre the data centre
	 * @param evacuated whether it is evacuated
	 * @return this registry
	 */
	synchronized ScriptedRegistry evacuate(String dataCentre, boolean evacuated) {
		return add("evacuations/" + dataCentre,
				evacuated ? new RegistryValue.Evacuation(new DataCentreName(dataCentre)) : null);
	}

	/**
	 * Writes an entry as another writer may have left it in the platform's store.
	 * @param key its key in the store
	 * @param content its content
	 * @return this registry
	 */
	synchronized ScriptedRegistry write(String key, String content) {
		return add(key, PLATFORM.decode(key, content.getBytes(StandardCharsets.UTF_8)));
	}

	/**
	 * Discards the history, so that the registry has to be read as a whole again.
	 */
	void discardHistory() {
		this.historyGone = true;
	}

	/**
	 * Removes the registration of a runner.
	 * @param id the runner
	 * @return this registry
	 */
	synchronized ScriptedRegistry remove(String id) {
		return add("runners/" + id, null);
	}

	private ScriptedRegistry add(String key, RegistryValue value) {
		this.changes.add(item(new RegistryItem(key, this.revision.get() + 1, value)));
		this.revision.incrementAndGet();
		return this;
	}

	/*
	 * Adds a content, by which a gateway that has lost the registry gets the item from
	 * another.
	 */
	private RegistryItem item(RegistryItem item) {
		if (item.isRemoved()) {
			return item;
		}
		String content = item.key() + "@" + item.revision();
		this.published.put(content, item.value());
		return new RegistryItem(item.key(), item.revision(), item.value(), content.getBytes(StandardCharsets.UTF_8));
	}

	/**
	 * Returns this registry as a gateway sees it that may lose it.
	 * @param reachable returns whether it is reachable now
	 * @return the registry with the same content
	 */
	Registry whileReachable(BooleanSupplier reachable) {
		return new Registry() {

			@Override
			public CompletableFuture<RegistryPage> read(String afterKey) {
				return reachable.getAsBoolean() ? ScriptedRegistry.this.read(afterKey) : failure();
			}

			@Override
			public CompletableFuture<RegistryPage> watch(long afterRevision, long waitMillis) {
				return reachable.getAsBoolean() ? ScriptedRegistry.this.watch(afterRevision, waitMillis) : failure();
			}

			@Override
			public RegistryValue decode(String key, byte[] content) {
				return ScriptedRegistry.this.decode(key, content);
			}

		};
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
				: CompletableFuture.completedFuture(new RegistryPage(currentItems(), false, this.revision.get()));
	}

	private synchronized List<RegistryItem> currentItems() {
		Map<String, RegistryItem> items = new TreeMap<>();
		this.initialItems.forEach((item) -> items.put(item.key(), item));
		this.changes.forEach((change) -> items.put(change.key(), change));
		return items.values().stream().filter((item) -> !item.isRemoved()).toList();
	}

	@Override
	public CompletableFuture<RegistryPage> watch(long afterRevision, long waitMillis) {
		if (this.historyGone) {
			this.historyGone = false;
			return CompletableFuture.failedFuture(
					new PlatformException(PlatformException.Kind.HISTORY_GONE, "the history has been discarded"));
		}
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
		return this.published.getOrDefault(new String(content, StandardCharsets.UTF_8),
				new RegistryValue.Unreadable("the content was not published"));
	}

}
