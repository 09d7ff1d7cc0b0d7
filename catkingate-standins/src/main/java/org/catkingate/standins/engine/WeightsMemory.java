package org.catkingate.standins.engine;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.List;
import java.util.Set;

/**
 * The memory of an engine that contains the weights. A load overwrites the weights in
 * place: while it is in progress, and after one that was interrupted, the memory contains
 * a mixture of weights whose digest matches no version. Only digests are stored, not the
 * bytes. Safe for use by any thread.
 */
final class WeightsMemory {

	private final Set<LoadOperation> activeLoads = new HashSet<>();

	private final List<LoadOperation> overlappingLoads = new ArrayList<>();

	private String model;

	private String version;

	private String digest;

	private long fence;

	private long writeCount;

	WeightsMemory(String model, String version, String digest) {
		this.model = model;
		this.version = version;
		this.digest = digest;
	}

	synchronized LoadOperation begin(String newModel, String newVersion, long newFence, boolean checksFencing) {
		if (checksFencing && newFence < this.fence) {
			return null;
		}
		if (checksFencing) {
			this.activeLoads.forEach((load) -> load.superseded = true);
			this.activeLoads.clear();
			this.overlappingLoads.clear();
		}
		this.fence = newFence;
		this.digest = mixedDigest();
		this.model = null;
		this.version = null;
		LoadOperation load = new LoadOperation(newModel, newVersion);
		this.activeLoads.add(load);
		this.overlappingLoads.add(load);
		return load;
	}

	synchronized boolean write(LoadOperation load, byte[] bytes, int count) {
		if (load.superseded) {
			return false;
		}
		load.sha256.update(bytes, 0, count);
		this.writeCount++;
		return true;
	}

	synchronized boolean end(LoadOperation load, boolean complete) {
		if (load.superseded) {
			return false;
		}
		load.completeDigest = complete ? hex(load.sha256.digest()) : null;
		this.activeLoads.remove(load);
		this.digest = mixedDigest();
		if (this.activeLoads.isEmpty()) {
			finishOverlappingLoads(load);
		}
		return true;
	}

	/**
	 * Sets the contents after the last of several loads that overlapped, which is
	 * possible only if fencing numbers are not checked. The contents match a version only
	 * if all of these loads were complete and wrote the same bytes.
	 * @param last the load that ended last
	 */
	private void finishOverlappingLoads(LoadOperation last) {
		boolean identical = this.overlappingLoads.stream()
			.allMatch((load) -> last.completeDigest != null && last.completeDigest.equals(load.completeDigest));
		if (identical) {
			this.digest = last.completeDigest;
			this.model = last.model;
			this.version = last.version;
		}
		this.overlappingLoads.clear();
	}

	private String mixedDigest() {
		MessageDigest sha256 = sha256();
		sha256.update(("mixture " + this.digest + " " + this.writeCount).getBytes(StandardCharsets.UTF_8));
		return hex(sha256.digest());
	}

	synchronized Contents contents() {
		String currentDigest = this.activeLoads.isEmpty() ? this.digest : mixedDigest();
		return new Contents(this.model, this.version, currentDigest, this.fence);
	}

	private static String hex(byte[] bytes) {
		return HexFormat.of().formatHex(bytes);
	}

	private static MessageDigest sha256() {
		try {
			return MessageDigest.getInstance("SHA-256");
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("this Java runtime lacks SHA-256; install a complete one", ex);
		}
	}

	/**
	 * One load operation. Guarded by the memory.
	 */
	static final class LoadOperation {

		private final MessageDigest sha256 = sha256();

		private final String model;

		private final String version;

		private boolean superseded;

		private String completeDigest;

		private LoadOperation(String model, String version) {
			this.model = model;
			this.version = version;
		}

	}

	/**
	 * The contents of the memory. Immutable.
	 *
	 * @param model the model, or null if the contents match no version
	 * @param version the version, or null if the contents match no version
	 * @param digest the digest of the actual contents, or null if nothing was ever loaded
	 * @param fence the fencing number of the last load command
	 */
	record Contents(String model, String version, String digest, long fence) {

	}

}
