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

	private final Map<Integer, byte[]> stagedPieces = new ConcurrentHashMap<>();

	private final Set<Integer> piecesToCorrupt = ConcurrentHashMap.newKeySet();

	private volatile Map<ModelName, Long> servedVersions = Map.of();

	private volatile Map<Integer, byte[]> loadedPieces = Map.of();

	/**
	 * Corrupts a piece the next time it is staged.
	 * @param index the index of the piece
	 */
	void corruptOnce(int index) {
		this.piecesToCorrupt.add(index);
	}

	Map<ModelName, Long> servedVersions() {
		return this.servedVersions;
	}

	boolean hasLoaded(PieceDigests version) {
		for (int i = 0; i < version.digests().size(); i++) {
			byte[] piece = this.loadedPieces.get(i);
			if (piece == null || !Digest.of(piece).equals(version.digests().get(i))) {
				return false;
			}
		}
		return true;
	}

	@Override
	public CompletableFuture<RunnerReport> readReport() {
		return CompletableFuture.completedFuture(new RunnerReport(1, false, 0, 0, this.servedVersions));
	}

	@Override
	public CompletableFuture<Set<Integer>> listStaged(ModelName model) {
		return CompletableFuture.completedFuture(Set.copyOf(this.stagedPieces.keySet()));
	}

	@Override
	public CompletableFuture<byte[]> readStaged(ModelName model, int index) {
		return CompletableFuture.completedFuture(this.stagedPieces.getOrDefault(index, new byte[0]));
	}

	@Override
	public CompletableFuture<Void> stage(ModelName model, int index, byte[] piece) {
		byte[] stored = piece.clone();
		if (this.piecesToCorrupt.remove(index)) {
			stored[0]++;
		}
		this.stagedPieces.put(index, stored);
		return CompletableFuture.completedFuture(null);
	}

	@Override
	public CompletableFuture<LoadCommandResponse> load(ModelName model, long version) {
		this.loadedPieces = Map.copyOf(this.stagedPieces);
		this.servedVersions = Map.of(model, version);
		return CompletableFuture.completedFuture(LoadCommandResponse.BEGUN);
	}

}
