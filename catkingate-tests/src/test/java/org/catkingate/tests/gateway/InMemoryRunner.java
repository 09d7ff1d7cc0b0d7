package org.catkingate.tests.gateway;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

import org.catkingate.model.Digest;
import org.catkingate.model.ModelName;
import org.catkingate.model.registry.PieceDigests;
import org.catkingate.runtime.staging.LoadCommandResponse;
import org.catkingate.runtime.staging.LocalRunner;
import org.catkingate.runtime.staging.RunnerReport;

/**
 * An in-memory runner that loads all staged pieces on command. Safe for use by any
 * thread.
 */
final class InMemoryRunner implements LocalRunner {

	private final Map<Integer, byte[]> staged = new ConcurrentHashMap<>();

	private final Set<Integer> toCorrupt = ConcurrentHashMap.newKeySet();

	private volatile Map<ModelName, Long> serving = Map.of();

	private volatile Map<Integer, byte[]> loaded = Map.of();

	/**
	 * Corrupts a piece the next time it is staged.
	 * @param index the index of the piece
	 */
	void corruptOnce(int index) {
		this.toCorrupt.add(index);
	}

	Map<ModelName, Long> serving() {
		return this.serving;
	}

	boolean hasLoaded(PieceDigests version) {
		for (int i = 0; i < version.digests().size(); i++) {
			byte[] piece = this.loaded.get(i);
			if (piece == null || !Digest.of(piece).equals(version.digests().get(i))) {
				return false;
			}
		}
		return true;
	}

	@Override
	public CompletableFuture<RunnerReport> readReport() {
		return CompletableFuture.completedFuture(new RunnerReport(1, false, 0, 0, this.serving));
	}

	@Override
	public CompletableFuture<Set<Integer>> listStaged(ModelName model) {
		return CompletableFuture.completedFuture(Set.copyOf(this.staged.keySet()));
	}

	@Override
	public CompletableFuture<byte[]> readStaged(ModelName model, int index) {
		return CompletableFuture.completedFuture(this.staged.getOrDefault(index, new byte[0]));
	}

	@Override
	public CompletableFuture<Void> stage(ModelName model, int index, byte[] piece) {
		byte[] stored = piece.clone();
		if (this.toCorrupt.remove(index)) {
			stored[0]++;
		}
		this.staged.put(index, stored);
		return CompletableFuture.completedFuture(null);
	}

	@Override
	public CompletableFuture<LoadCommandResponse> load(ModelName model, long version) {
		this.loaded = Map.copyOf(this.staged);
		this.serving = Map.of(model, version);
		return CompletableFuture.completedFuture(LoadCommandResponse.BEGUN);
	}

}
